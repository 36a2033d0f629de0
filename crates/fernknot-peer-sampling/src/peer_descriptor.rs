//! Descriptors that processes send of themselves and of others.

use bitcode::{Decode, Encode};
use std::net::SocketAddrV4;

/// Role of a process in the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum Role {
    /// Process of the data plane.
    Gateway,
    /// Process of the control plane.
    Controller,
}

/// Description of a process, created by that process itself at an earlier time.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PeerDescriptor {
    /// Address at which other processes of the system reach it.
    pub addr: SocketAddrV4,
    /// Role of the process.
    pub role: Role,
    /// Zone (failure domain) of its machine.
    pub zone: String,
    /// Incarnation of the process; a restart changes it.
    pub incarnation: u64,
    /// Estimated time since the process itself sent this description or was reached, in milliseconds. Failed calls to a
    /// controller add to it.
    pub age_ms: u32,
}

impl PeerDescriptor {
    /// Replaces this description by another one of the same address if that is younger.
    pub(crate) fn merge_younger(&mut self, other: &PeerDescriptor) {
        if other.age_ms < self.age_ms {
            self.clone_from(other);
        }
    }
}
