//! What goes over sockets, as state machines that are fed bytes and know no socket and no clock.

pub mod body;
pub mod buffer;
pub mod discovery;
pub mod frames;
pub mod http;
pub mod matches;
pub mod multiget;
pub mod news;
pub mod outbox;
pub mod report;
