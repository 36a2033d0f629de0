//! The sockets of one process. An [`EventLoop`] accepts, begins, reads, writes and closes its connections, and reports
//! what happened as [`Event`]s; nothing here knows what the bytes mean.
//!
//! The package owns the sockets, their buffers and the signal flags; [`process`] has what the programs around an event
//! loop share. The hosts of `fernknot-gateway` and
//! `fernknot-controller` drive an event loop; a state machine that only needs connections is lent a [`Network`], which
//! simulations implement too. Every connection has a [`ConnectionId`] that is never given to another one, so that an
//! event of a closed connection cannot be mistaken for another's.

#![deny(missing_docs)]

mod connection;
mod connection_table;
mod datagrams;
mod error;
mod event;
mod event_loop;
mod network;
pub mod process;
mod signals;

pub use error::NetError;
pub use event::{ConnectionId, Event};
pub use event_loop::{EventLoop, EventLoopSettings};
pub use fernknot_protocol::buffer::Buffer;
pub use network::Network;
pub use signals::Signals;
