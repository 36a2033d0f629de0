//! Duties that one process does, without I/O or clock.
//!
//! A [`Cut`] says which gateways live; it gives every key one holder by rendezvous hashing, so that a change of one
//! gateway moves only the keys of that one. Cuts stand under a [`Fence`] that rises, also over changes of the view.
//! Controllers make them ([`Keeper`]); gateways take them and hand over ([`Holder`]). The ways weighed are in
//! `docs/news.md`.

mod cut;
mod holder;
mod keeper;

pub use cut::{
    Assignment, AssignmentChange, FencingToken, GatewayRecord, IncarnationId, key_hash, splitmix64,
};
pub use holder::{Action, ApplyOutcome, OwnedKeys, OwnedKeysSettings, OwnershipState};
pub use keeper::{Assigner, AssignerSettings, confirmation_timeout, presumed_alive_timeout};
