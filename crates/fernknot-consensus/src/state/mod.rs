//! The state of one replica, one struct for each concern. None of them knows of another; what concerns several of them
//! stands in [`crate::replica`] and the modules above it.

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
