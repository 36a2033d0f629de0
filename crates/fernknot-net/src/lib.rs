//! Connections of one process: accepted, opened, read, written and closed by one loop. Nothing here
//! knows what the bytes mean.
//!
//! A host turns the [`Dock`] and gets back what happened. Every connection has a [`Berth`], which is never
//! given to another connection, so that news of one that has gone cannot be taken for another's.

mod dock;
mod ports;
mod signals;

pub use dock::{ConnectionId, Event, EventLoop, EventLoopSettings, NetError};
pub use fernknot_protocol::buffer::Buffer;
pub use ports::Network;
pub use signals::Signals;
