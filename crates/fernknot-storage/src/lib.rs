//! Durable storage of a process: a small set of values by key. The crate owns a directory and one thread that writes
//! and syncs, so that a hanging disk never delays the caller's event loop. Acknowledged writes survive a power loss.
//! `fernknot-controller` uses it. docs/storage.md describes the order of syncs and the possible failures.
//!
//! Terms: a store is a `fjall` database with one journal, the file to which it appends all writes. The directory
//! contains one store per generation, numbered from 1. A generation is sealed once a file in it marks it as complete;
//! the newest sealed one is in use, and the others are obsolete. An open store is trusted if this process has built
//! it and read it back, and no write to it has failed.
//!
//! | Module | Responsibility |
//! |---|---|
//! | `storage` | the storage thread, its bounded queue and its waker |
//! | `generation_manager` | decides what is written, which store is trusted and when it is rebuilt; no I/O |
//! | `directory`, `store` | execute the manager's actions on files, over `fjall` |
//! | `journal` | truncates an incomplete write at the end of a journal after a power loss |

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
