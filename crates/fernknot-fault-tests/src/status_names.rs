//! The names by which a router's log and `GET /fleet` give another router's status (`docs/operating-router.md`).

/// It runs.
pub const ALIVE: &str = "alive";
/// It is suspected of having failed.
pub const SUSPECTED: &str = "doubted";
/// It has failed.
pub const FAILED: &str = "lost";
/// It announced its shutdown.
pub const LEFT: &str = "left";
