//! The host of the program: sockets, clock, signals, settings file and disk around one
//! [`Controller`](crate::Controller), which performs no I/O itself.
//!
//! `state` defines [`Host`], `events` passes inputs to the controller, `actions` executes its actions, and `run` is
//! the main loop.

mod actions;
mod connections;
mod events;
mod limits;
mod platform_calls;
mod run;
mod settings;
mod state;

pub use settings::{UnsuitableSetting, UnsuitableSettings, check_settings};
pub use state::Host;
