//! The control state of the controllers: a register of whole states in one total order, kept in
//! numbered views. No I/O and no clock: the host feeds what is heard and stored, and pulls orders
//! with `next` until there is none. The rules and their reasons: docs/views.md.

mod ballots;
mod confirm;
mod forced;
mod past;
mod standing;
mod types;
mod views;

pub use types::*;
pub use views::Consensus;
