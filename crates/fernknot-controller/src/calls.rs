//! The calls of nodes and operators, each with its answer.

use crate::ground::QuorumEvidence;
use fernknot_http_api::{Body, Endpoint, MatchedRequest, Reply};
use fernknot_schema::{NodeHeartbeat, RoutingConfig, ValidationError, json_digest};
use std::sync::Arc;

/// Longest name of a node's life, in bytes.
const MAX_NODE_ID_BYTES: usize = 200;

fn bad_request(faults: &[ValidationError]) -> Reply {
    let lines: Vec<String> = faults.iter().map(ValidationError::to_string).collect();
    Reply::error(400, &lines.join("; "))
}

fn node_id(asked: MatchedRequest<'_>) -> Result<String, Reply> {
    match asked.segment.len() <= MAX_NODE_ID_BYTES {
        true => Ok(asked.segment.to_string()),
        false => Err(Reply::error(400, "the id in the path is too long")),
    }
}

/// A node lives, or says that it is about to leave.
pub struct Heartbeat {
    pub id: String,
    pub heartbeat: NodeHeartbeat,
}

/// What becomes of a node's call.
pub enum NodeCallOutcome {
    /// A plain beat: noted here, which promises nothing.
    Recorded,
    /// That it leaves is known to a majority.
    DrainConfirmed(QuorumEvidence),
    /// Not noted: the node is to call another controller.
    Unavailable(&'static str),
}

impl From<NodeCallOutcome> for Reply {
    fn from(heard: NodeCallOutcome) -> Reply {
        match heard {
            NodeCallOutcome::Recorded | NodeCallOutcome::DrainConfirmed(_) => Reply::ok(),
            NodeCallOutcome::Unavailable(why) => Reply::error(503, why),
        }
    }
}

impl Endpoint for Heartbeat {
    type Answer = NodeCallOutcome;
    const METHOD: &'static str = "POST";
    const PATH: &'static str = "/-/nodes/*/heartbeat";

    fn parse(asked: MatchedRequest<'_>) -> Result<Heartbeat, Reply> {
        let beat = NodeHeartbeat::parse(&asked.request.body).map_err(|bad| bad_request(&bad))?;
        Ok(Heartbeat { id: node_id(asked)?, heartbeat: beat })
    }
}

/// A node ends.
pub struct Deregister {
    pub id: String,
}

impl Endpoint for Deregister {
    type Answer = NodeCallOutcome;
    const METHOD: &'static str = "POST";
    const PATH: &'static str = "/-/nodes/*/deregister";

    fn parse(asked: MatchedRequest<'_>) -> Result<Deregister, Reply> {
        Ok(Deregister { id: node_id(asked)? })
    }
}

/// An operator's new configuration.
pub struct ReplaceConfig {
    pub base_epoch: u64,
    pub epoch: u64,
    pub digest: u64,
    pub body: Vec<u8>,
}

/// The end of an operator's change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    Committed(QuorumEvidence),
    /// Another version is in place.
    VersionConflict(String, QuorumEvidence),
    /// Its number is not above the one in force.
    StaleEpoch(String, QuorumEvidence),
    /// Not known: it may be in force or not, and may be repeated unchanged.
    Unknown(&'static str),
}

impl ChangeOutcome {
    /// As it is told between controllers.
    pub fn status_and_reason(&self) -> (u16, String) {
        match self {
            ChangeOutcome::Committed(_) => (200, String::new()),
            ChangeOutcome::VersionConflict(why, _) => (412, why.clone()),
            ChangeOutcome::StaleEpoch(why, _) => (400, why.clone()),
            ChangeOutcome::Unknown(why) => (503, why.to_string()),
        }
    }
}

impl From<ChangeOutcome> for Reply {
    fn from(end: ChangeOutcome) -> Reply {
        match end.status_and_reason() {
            (200, _) => Reply::ok(),
            (status, why) => Reply::error(status, &why),
        }
    }
}

impl Endpoint for ReplaceConfig {
    type Answer = ChangeOutcome;
    const METHOD: &'static str = "POST";
    const PATH: &'static str = "/-/config/replace";

    fn parse(asked: MatchedRequest<'_>) -> Result<ReplaceConfig, Reply> {
        let base = asked.request.header("Base-Epoch").map(str::trim);
        let base = base.and_then(|base| base.parse().ok());
        let plan = RoutingConfig::parse(&asked.request.body);
        match (plan, base) {
            (Ok(plan), Some(base)) => {
                let body = asked.request.body.clone();
                Ok(ReplaceConfig { base_epoch: base, epoch: plan.epoch, digest: json_digest(&body), body })
            }
            (Ok(_), None) => Err(Reply::error(400, "Base-Epoch: is no whole number")),
            (Err(bad), _) => Err(bad_request(&bad)),
        }
    }
}

/// An operator asks for the newest configuration.
pub struct ReadConfig;

/// The newest configuration, as far as this controller may speak for it.
pub enum ReadConfigOutcome {
    Current(Arc<[u8]>, QuorumEvidence),
    /// None was ever taken.
    NeverConfigured(QuorumEvidence),
    /// A newer one may be known elsewhere.
    Unavailable,
}

impl From<ReadConfigOutcome> for Reply {
    fn from(newest: ReadConfigOutcome) -> Reply {
        match newest {
            ReadConfigOutcome::Current(body, _) => Reply::json(Body::Shared(body)),
            ReadConfigOutcome::NeverConfigured(_) => Reply::error(404, "no configuration has been taken yet"),
            ReadConfigOutcome::Unavailable => {
                Reply::error(503, "cut off from the others, who may know a newer one")
            }
        }
    }
}

impl Endpoint for ReadConfig {
    type Answer = ReadConfigOutcome;
    const METHOD: &'static str = "GET";
    const PATH: &'static str = "/-/config/read";

    fn parse(_: MatchedRequest<'_>) -> Result<ReadConfig, Reply> {
        Ok(ReadConfig)
    }
}

/// Is this controller of use?
pub struct CheckReadiness;

/// In touch with a majority now, or not known to be.
pub struct ReadinessOutcome(pub Option<QuorumEvidence>);

impl From<ReadinessOutcome> for Reply {
    fn from(ready: ReadinessOutcome) -> Reply {
        match ready.0 {
            Some(_) => Reply::ok(),
            None => Reply::error(503, "not in touch with the others"),
        }
    }
}

impl Endpoint for CheckReadiness {
    type Answer = ReadinessOutcome;
    const METHOD: &'static str = "GET";
    const PATH: &'static str = "/-/readiness";

    fn parse(_: MatchedRequest<'_>) -> Result<CheckReadiness, Reply> {
        Ok(CheckReadiness)
    }
}

/// What has been counted.
pub struct ReadCounters;

pub struct CountersReport(pub String);

impl From<CountersReport> for Reply {
    fn from(counted: CountersReport) -> Reply {
        Reply::json(Body::Owned(counted.0.into_bytes()))
    }
}

impl Endpoint for ReadCounters {
    type Answer = CountersReport;
    const METHOD: &'static str = "GET";
    const PATH: &'static str = "/-/counters";

    fn parse(_: MatchedRequest<'_>) -> Result<ReadCounters, Reply> {
        Ok(ReadCounters)
    }
}
