//! State of a replica, with one struct for each concern. None of these structs contains another; logic that involves
//! several of them is in [`crate::replica`] and the other modules of the crate root.

pub(crate) mod activation;
pub(crate) mod attempt;
pub(crate) mod clock;
pub(crate) mod disk;
pub(crate) mod heartbeat_timer;
pub(crate) mod outbox;
pub(crate) mod peers;
pub(crate) mod random;
pub(crate) mod read_indexes;
pub(crate) mod recovery;
pub(crate) mod replication;
