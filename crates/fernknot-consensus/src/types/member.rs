//! The replicas that take part.

use std::net::SocketAddrV4;

use bitcode::{Decode, Encode};

/// Identifies one incarnation of a disk: drawn at random by the host when the disk is empty, and stored on it.
///
/// 0 is no identity; it stands for founders before view 1, whose disks are not known yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct MemberId(pub u64);

/// A replica: a controller with its disk.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Member {
    /// The incarnation of its disk.
    pub id: MemberId,
    /// Where it listens for other controllers.
    pub addr: SocketAddrV4,
    /// Its failure domain.
    pub zone: String,
}
