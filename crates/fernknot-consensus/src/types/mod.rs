//! Types exchanged with the host and with other replicas, and stored on disk.

pub(crate) mod action;
pub(crate) mod error;
pub(crate) mod member;
pub(crate) mod message;
pub(crate) mod persistent_state;
pub(crate) mod seeded_bug;
pub(crate) mod settings;
pub(crate) mod status;
pub(crate) mod view;

pub use action::{Action, ReadIndexId, WriteId};
pub use error::ForceViewError;
pub use member::{Member, MemberId};
pub use message::{HeartbeatEcho, Message, PeerHeartbeat};
pub use persistent_state::{
    AcceptedView, DurableProgress, KnownProgress, PersistentState, ProposalInView, ProposalNumber,
    StatePosition,
};
pub use seeded_bug::SeededBug;
pub use settings::ConsensusSettings;
pub use status::{Ineligibility, ReplicaStatus, ViewStatus};
pub use view::{ChosenView, Revision, View, ViewNumber, ViewStart};
pub(crate) use view::{MAX_MEMBERS, MAX_VIEW_STARTS, VIEWS_PER_ERA};
