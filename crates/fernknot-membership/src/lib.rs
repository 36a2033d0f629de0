//! Which query routers of a fleet live, by what each one hears of the others, without I/O or clock.
//!
//! The host makes one [`Fleet`] a process start, tells it of each turn of its loop (`woke`), of each datagram
//! (`heard`) and of a changed list (`list`), and pulls what is to be sent and said (`next`) until there is none.
//! The ways weighed, and what was kept of SWIM and Lifeguard, are in `docs/membership.md`.

mod facts;
mod fleet;
mod member;
mod message;
mod probe;
mod report;
mod rumours;

pub use facts::{FleetFacts, Variant};
pub use fleet::{Fleet, Step};
pub use member::{Cause, Incarnation, LinkState, Member, Path, RouterId, Standing, Verdict};
pub use message::{Body, MARK, Message, Refused, Rumour, VERSION};
pub use report::Line;
