//! README: what a process keeps on its disk. One thread of its own writes and syncs, so a disk that
//! hangs never holds up the caller's loop; what is reported as stored is stored.
//!
//! | Part | Does |
//! |---|---|
//! | [`cistern`] | a thread over `fjall` |

pub mod cistern;
pub mod error;

pub use cistern::{Cistern, Full, Space};
pub use error::{Step, StoreError};
