//! Identity of replicas.

use std::net::SocketAddrV4;

use bitcode::{Decode, Encode};

/// Identifier of one incarnation of a disk. The host draws it at random when the disk is empty, and stores it there.
///
/// 0 identifies no disk: it stands for the founders before view 1, whose ids are not known yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct MemberId(pub u64);

/// A replica: a controller with its disk.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Member {
    /// The incarnation of its disk.
    pub id: MemberId,
    /// Address on which it listens for other controllers.
    pub addr: SocketAddrV4,
    /// Its failure domain.
    pub zone: String,
}
