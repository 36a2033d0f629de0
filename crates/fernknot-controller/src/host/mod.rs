//! The host of the program: sockets, clock, signals, settings file and disk around one
//! [`Controller`](crate::Controller).
//!
//! `state` holds [`Host`]; `events` hands inputs to the controller, `actions` carries out what it asks for, and `run`
//! is the loop around both.

mod actions;
mod connections;
mod events;
mod limits;
mod run;
mod settings;
mod state;

pub use settings::{UnsuitableSetting, UnsuitableSettings, check_settings};
pub use state::Host;
