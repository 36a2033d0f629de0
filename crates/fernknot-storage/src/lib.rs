//! README: what a process keeps on its disk. One thread of its own writes and syncs, so a disk that
//! hangs never holds up the caller's loop; what is reported as stored is stored.
//!
//! | Part | Does |
//! |---|---|
//! | [`keeper`] | decides what is written, what is trusted and when a folder is built anew; no I/O |
//! | [`folder`] | carries out the keeper's orders on files, over `fjall` |
//! | [`journal`] | cuts off what a loss of power left of a write at the end of a journal |
//! | [`cistern`] | the thread, its bounded queue and its waker |

pub mod cistern;
pub mod error;
pub mod folder;
pub mod journal;
pub mod keeper;

pub use cistern::{Capacity, QueueFull, Storage};
pub use error::{Operation, StorageError};
