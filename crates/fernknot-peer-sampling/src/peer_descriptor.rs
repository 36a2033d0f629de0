//! What processes send of themselves and of others.

use bitcode::{Decode, Encode};
use std::net::SocketAddrV4;

/// What a process does in the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum Role {
    /// It belongs to the data plane.
    Gateway,
    /// It belongs to the control plane.
    Controller,
}

/// A process as it described itself some time ago.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PeerDescriptor {
    /// Where other processes of the system reach it.
    pub addr: SocketAddrV4,
    /// What it does in the system.
    pub role: Role,
    /// The zone (failure domain) of its machine.
    pub zone: String,
    /// Identifies the process from its start to its end; a restarted one has another.
    pub incarnation: u64,
    /// Milliseconds since the process sent this itself.
    pub age_ms: u32,
}

impl PeerDescriptor {
    /// Takes over another description of the same address if that is younger.
    pub(crate) fn merge_younger(&mut self, other: &PeerDescriptor) {
        if other.age_ms < self.age_ms {
            self.clone_from(other);
        }
    }
}
