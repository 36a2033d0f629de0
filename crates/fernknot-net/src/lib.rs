//! Sockets of a process. An [`EventLoop`] accepts, opens, reads, writes and closes connections, and reports their
//! [`Event`]s. It does not interpret the bytes.
//!
//! The crate owns the sockets, their buffers and the signal flags; [`process`] contains the code that the programs
//! around an event loop share. The host processes of `fernknot-gateway` and `fernknot-controller` drive an event loop;
//! the state machines that they host only need connections and borrow a [`Network`], which simulations implement too. A
//! [`ConnectionId`] is never reused, so that an event of a closed connection cannot be mistaken for one of another
//! connection.

#![deny(missing_docs)]

mod connection;
mod connection_table;
mod counters;
mod datagrams;
mod error;
mod event;
mod event_loop;
mod network;
pub mod process;
mod signals;

pub use counters::EventLoopCounters;
pub use error::NetError;
pub use event::{ConnectionId, Event};
pub use event_loop::{EventLoop, EventLoopSettings};
pub use fernknot_protocol::buffer::Buffer;
pub use network::Network;
pub use signals::Signals;
