//! What a process tells of itself, and others of it.

use bitcode::{Decode, Encode};
use std::net::SocketAddrV4;

/// What a process serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum Role {
    Gateway,
    Controller,
}

/// A process as it was known `age` ago.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PeerDescriptor {
    /// Where other processes of the system reach it.
    pub addr: SocketAddrV4,
    pub role: Role,
    pub zone: String,
    /// Another after each start.
    pub incarnation: u64,
    /// Milliseconds since it told this itself.
    pub age_ms: u32,
}

impl PeerDescriptor {
    /// Takes in what is known of the same address: the younger word counts. Returns whether it did.
    pub(crate) fn merge_younger(&mut self, other: &PeerDescriptor) -> bool {
        let younger = other.age_ms < self.age_ms;
        if younger {
            self.clone_from(other);
        }
        younger
    }
}
