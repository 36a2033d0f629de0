//! Durable storage of a process: a few values by key. It owns a directory and one thread that writes and syncs, so that
//! a disk that hangs never delays the caller's loop; what is reported as stored outlives a loss of power.
//! `fernknot-controller` is its user. The order of syncs and what may fail are described in docs/storage.md.
//!
//! | Module | Responsibility |
//! |---|---|
//! | `storage` | the thread, its bounded queue and its waker |
//! | `generation_manager` | decides what is written, what is trusted and when a store is rebuilt; no I/O |
//! | `directory`, `store` | execute the manager's actions on files, over `fjall` |
//! | `journal` | truncates what a loss of power left of a write at the end of a journal |

#![deny(missing_docs)]

mod directory;
mod error;
mod generation;
mod generation_manager;
mod journal;
mod limits;
mod storage;
mod store;

pub use directory::StoreDirectory;
pub use error::{Operation, StorageError};
pub use generation::{Action, CompletedWrite, Generation, ListedGeneration, Outcome, Values};
pub use generation_manager::GenerationManager;
pub use limits::{Limits, MAX_KEY_BYTES};
pub use storage::{Capacity, QueueFull, Storage, Waker};
