//! Names of the statuses of other routers in a router's log and in `GET /fleet` (see `docs/operating-router.md`).

/// The router is considered running.
pub const ALIVE: &str = "alive";
/// The router is suspected of having failed, and may still refute this.
pub const SUSPECTED: &str = "doubted";
/// The router is declared failed.
pub const FAILED: &str = "lost";
/// The router announced its shutdown.
pub const LEFT: &str = "left";
