//! Clients of the control plane: operators, and nodes that report to it.
//!
//! Both follow the users' pages: any controller will do; another one is asked after a failure, a 5xx, 408 or 429 or a
//! second without a response; and a call without a clear response is sent again as it was.

mod configs;
mod events;
mod nodes;
mod operators;
mod outcomes;
mod requests;
pub(crate) mod state;
