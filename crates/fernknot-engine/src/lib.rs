//! One query router without sockets or a clock.
//!
//! A host feeds an [`Engine`] calls with a time (`take`, `ended`, `answered`, `list`, ...), which only
//! update what is known, and then pulls orders with `next` until there are none. `due` tells when it
//! wants to be pulled again without news. The router in real time, the lab in simulated time and the
//! tests run this same code.

mod counters;
mod engine;
mod table;

pub use counters::Counters;
pub use engine::{Ended, Engine, Order, Verdict};
pub use table::{AskerId, HandOffState, Held, PartOf, PartState, Table};
