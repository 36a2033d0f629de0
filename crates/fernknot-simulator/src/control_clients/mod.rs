//! Clients of the control plane: operators, and nodes that report to it.
//!
//! Both follow the documented client protocol: they may call any controller; they call another one after a failure, a
//! 5xx, 408 or 429, or a second without a response; and they resend a call without a definitive response unchanged.

mod configs;
mod events;
mod nodes;
mod operators;
mod outcomes;
mod requests;
pub(crate) mod state;
