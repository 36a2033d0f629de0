//! SWIM membership among query routers: one router's view of which routers are live.
//!
//! This crate owns one router's view of the other routers' liveness, the failure detector that keeps the view up to
//! date, and the updates that disseminate it. It is a state machine without I/O and without a clock. The router
//! (`fernknot-router`) and the experiments in simulated time (`fernknot-experiments`) are its hosts: a host creates one
//! [`MembershipProtocol`] per process start, reports each iteration of its event loop
//! ([`wake`](MembershipProtocol::wake)), each datagram received ([`receive`](MembershipProtocol::receive)) and each
//! changed list of routers ([`set_routers`](MembershipProtocol::set_routers)), and then polls for actions
//! ([`poll_action`](MembershipProtocol::poll_action)) until none is left.
//!
//! The protocol is SWIM (Das, Gupta and Motivala, DSN 2002) with the local health awareness of Lifeguard (Dadgar,
//! Phillips and Currey, 2017). `docs/membership.md` lists the differences from SWIM and from Lifeguard, with reasons.

#![deny(missing_docs)]

mod action;
mod cause;
mod identity;
mod link;
mod local_health;
mod local_router;
mod member;
mod member_table;
mod message;
mod outbox;
mod probe;
mod probe_targets;
mod prober;
mod protocol;
mod receiver;
mod report;
mod sender;
mod settings;
mod state;
mod status;
mod suspicion;
mod update_queue;

pub use action::Action;
pub use cause::{Cause, EvidenceSource};
pub use identity::{Incarnation, RouterId};
pub use link::LinkState;
pub use member::Member;
pub use message::{DATAGRAM_PREFIX, MESSAGE_VERSION, Message, MessageBody, RejectReason, Update};
pub use protocol::{LiveCount, MembershipProtocol};
pub use report::{MemberReport, ReportedStatus};
pub use settings::{MembershipSettings, Variant};
pub use status::{Status, VersionedStatus};
