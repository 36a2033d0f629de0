//! Soak of real processes: clients send requests, an operator changes the configuration, and processes are killed,
//! asked to exit, suspended and reloaded, in series that overlap, from a seed. A checker judges every response.
//!
//! Times on the wire are those of the machine, so that a seed repeats the faults and their order, not each message.

mod changes;
mod history;
mod lag;
mod observers;
mod run;
mod schedule;
mod settings;
mod verdict;

pub use lag::Lag;
pub use run::run_soak;
pub use schedule::{Fault, FaultKind, draw_schedule};
pub use settings::SoakSettings;
pub use verdict::SoakReport;
