//! Identity of replicas.

use std::net::SocketAddrV4;

use bitcode::{Decode, Encode};

/// Identifier of one incarnation of a disk: of its content from the time it was empty until it is emptied or declared
/// invalid. The host draws the id at random when the disk is empty, and stores it there.
///
/// 0 identifies no disk: it stands for the founders before view 1, whose ids are not known yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct MemberId(pub u64);

/// A replica: a controller with its disk.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Member {
    /// Identifier of the current incarnation of the controller's disk.
    pub id: MemberId,
    /// Address on which it listens for other controllers.
    pub addr: SocketAddrV4,
    /// Name of the failure domain that the controller runs in, at most 256 bytes. It plays no part in choosing
    /// members.
    pub zone: String,
}
