//! Ownership of keys by live gateways, without I/O or clock.
//!
//! This crate defines the owner of every key, the name of a role that one gateway has at a time, such as the relay of a
//! group of topics. An [`Assignment`] lists the live gateways, and rendezvous hashing selects the owner of a key among
//! them, so that a gateway that joins or leaves moves only its own keys. Assignments are ordered by a [`FencingToken`]
//! that also increases across consensus views, the terms of the leaders of the controllers.
//!
//! The leader among the controllers makes assignments with an [`Assigner`]. Each gateway applies them to its
//! [`OwnedKeys`], which hands keys over and determines whether the gateway may use its share of a budget that all
//! gateways spend together, such as the retry budget. The relays of `fernknot-distribution` are the owners of topic
//! groups. `docs/distribution.md` compares the alternatives.

#![deny(missing_docs)]

mod assigner;
mod assignment;
mod budget_share;
mod gateway_liveness;
mod hashing;
mod identifiers;
mod key_handover;
mod lease;
mod owned_keys;

pub use assigner::{Assigner, AssignerSettings, confirmation_timeout, presumed_alive_timeout};
pub use assignment::{Assignment, AssignmentChange, GatewayRecord};
pub use hashing::{key_hash, splitmix64};
pub use identifiers::{FencingToken, IncarnationId};
pub use key_handover::{Action, OwnershipState};
pub use lease::lease_duration;
pub use owned_keys::{ApplyOutcome, OwnedKeys, OwnedKeysSettings};
