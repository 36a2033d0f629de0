//! The HTTP endpoints of nodes and operators, each with the outcomes of a call.

use crate::evidence::QuorumEvidence;
use fernknot_http_api::{Body, Endpoint, MatchedRequest, Reply};
use fernknot_schema::{NodeHeartbeat, RoutingConfig, ValidationError, json_digest};
use std::sync::Arc;

/// Status codes of HTTP, also used between controllers.
pub mod status {
    /// The call has done what it asks for.
    pub const OK: u16 = 200;
    /// The request is not valid, or its epoch too low.
    pub const BAD_REQUEST: u16 = 400;
    /// There is no configuration yet.
    pub const NOT_FOUND: u16 = 404;
    /// Another version is in force than the one that the change builds on.
    pub const PRECONDITION_FAILED: u16 = 412;
    /// Not known here, or not now: another controller may do.
    pub const SERVICE_UNAVAILABLE: u16 = 503;
}

/// The reason given with 503 where no majority is reachable.
pub const NO_QUORUM_REASON: &str = "cut off from the others; ask another";
/// The longest identifier of a node, in bytes.
const MAX_NODE_ID_BYTES: usize = 200;

fn bad_request(errors: &[ValidationError]) -> Reply {
    let lines: Vec<String> = errors.iter().map(ValidationError::to_string).collect();
    Reply::error(status::BAD_REQUEST, &lines.join("; "))
}

fn node_id(request: MatchedRequest<'_>) -> Result<String, Reply> {
    match request.segment.len() <= MAX_NODE_ID_BYTES {
        true => Ok(request.segment.to_string()),
        false => Err(Reply::error(status::BAD_REQUEST, "the id in the path is too long")),
    }
}

/// A node lives, or announces that it is about to leave.
pub struct Heartbeat {
    /// Identifies the incarnation of the node.
    pub id: String,
    /// What the node says of itself.
    pub heartbeat: NodeHeartbeat,
}

/// The outcome of a node's call.
pub enum NodeCallOutcome {
    /// Recorded here, which promises nothing beyond this controller.
    Recorded,
    /// A majority knows that the node leaves.
    DrainConfirmed(QuorumEvidence),
    /// Not recorded, or not known to the others: the node is to call another controller.
    Unavailable(&'static str),
}

impl From<NodeCallOutcome> for Reply {
    fn from(outcome: NodeCallOutcome) -> Reply {
        match outcome {
            NodeCallOutcome::Recorded | NodeCallOutcome::DrainConfirmed(_) => Reply::ok(),
            NodeCallOutcome::Unavailable(reason) => Reply::error(status::SERVICE_UNAVAILABLE, reason),
        }
    }
}

impl Endpoint for Heartbeat {
    type Answer = NodeCallOutcome;
    const METHOD: &'static str = "POST";
    const PATH: &'static str = "/-/nodes/*/heartbeat";

    fn parse(request: MatchedRequest<'_>) -> Result<Heartbeat, Reply> {
        let heartbeat = NodeHeartbeat::parse(&request.request.body).map_err(|errors| bad_request(&errors))?;
        Ok(Heartbeat { id: node_id(request)?, heartbeat })
    }
}

/// A node ends.
pub struct Deregister {
    /// Identifies the incarnation of the node.
    pub id: String,
}

impl Endpoint for Deregister {
    type Answer = NodeCallOutcome;
    const METHOD: &'static str = "POST";
    const PATH: &'static str = "/-/nodes/*/deregister";

    fn parse(request: MatchedRequest<'_>) -> Result<Deregister, Reply> {
        Ok(Deregister { id: node_id(request)? })
    }
}

/// An operator's new configuration.
pub struct ReplaceConfig {
    /// The epoch that must be in force for the change to be accepted.
    pub base_epoch: u64,
    /// The operator's number of the configuration.
    pub epoch: u64,
    /// A hash of the configuration by its value.
    pub digest: u64,
    /// The configuration as the operator sent it.
    pub body: Vec<u8>,
}

/// The outcome of an operator's change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// Committed, now or before.
    Committed(QuorumEvidence),
    /// Another version is in force than the one it builds on.
    VersionConflict(String, QuorumEvidence),
    /// Its epoch is not above the one in force.
    StaleEpoch(String, QuorumEvidence),
    /// Not known: it may be committed or not, and may be repeated unchanged.
    Unknown(&'static str),
}

impl ChangeOutcome {
    /// The status that is replied, and the reason for any but 200.
    pub fn status_and_reason(&self) -> (u16, String) {
        match self {
            ChangeOutcome::Committed(_) => (status::OK, String::new()),
            ChangeOutcome::VersionConflict(reason, _) => (status::PRECONDITION_FAILED, reason.clone()),
            ChangeOutcome::StaleEpoch(reason, _) => (status::BAD_REQUEST, reason.clone()),
            ChangeOutcome::Unknown(reason) => (status::SERVICE_UNAVAILABLE, reason.to_string()),
        }
    }

    /// The known outcome that another controller replied.
    pub fn from_status(reply_status: u16, reason: String, evidence: QuorumEvidence) -> ChangeOutcome {
        match reply_status {
            status::OK => ChangeOutcome::Committed(evidence),
            status::PRECONDITION_FAILED => ChangeOutcome::VersionConflict(reason, evidence),
            _ => ChangeOutcome::StaleEpoch(reason, evidence),
        }
    }
}

impl From<ChangeOutcome> for Reply {
    fn from(outcome: ChangeOutcome) -> Reply {
        match outcome.status_and_reason() {
            (status::OK, _) => Reply::ok(),
            (status, reason) => Reply::error(status, &reason),
        }
    }
}

impl Endpoint for ReplaceConfig {
    type Answer = ChangeOutcome;
    const METHOD: &'static str = "POST";
    const PATH: &'static str = "/-/config/replace";

    fn parse(request: MatchedRequest<'_>) -> Result<ReplaceConfig, Reply> {
        let request = request.request;
        let base_epoch = request.header("Base-Epoch").map(str::trim);
        let base_epoch = base_epoch.and_then(|epoch| epoch.parse().ok());
        match (RoutingConfig::parse(&request.body), base_epoch) {
            (Ok(config), Some(base_epoch)) => {
                let body = request.body.clone();
                Ok(ReplaceConfig { base_epoch, epoch: config.epoch, digest: json_digest(&body), body })
            }
            (Ok(_), None) => Err(Reply::error(status::BAD_REQUEST, "Base-Epoch: is no whole number")),
            (Err(errors), _) => Err(bad_request(&errors)),
        }
    }
}

/// An operator reads the newest configuration.
pub struct ReadConfig;

/// The newest configuration, as far as this controller may speak for it.
pub enum ReadConfigOutcome {
    /// The configuration in force, as its operator sent it.
    Current(Arc<[u8]>, QuorumEvidence),
    /// None was ever committed.
    NeverConfigured(QuorumEvidence),
    /// A newer one may be known elsewhere.
    Unavailable,
}

impl From<ReadConfigOutcome> for Reply {
    fn from(outcome: ReadConfigOutcome) -> Reply {
        match outcome {
            ReadConfigOutcome::Current(body, _) => Reply::json(Body::Shared(body)),
            ReadConfigOutcome::NeverConfigured(_) => {
                Reply::error(status::NOT_FOUND, "no configuration has been taken yet")
            }
            ReadConfigOutcome::Unavailable => {
                Reply::error(status::SERVICE_UNAVAILABLE, "cut off from the others, who may know a newer one")
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

/// Asks whether this controller is of use.
pub struct CheckReadiness;

/// The evidence that a majority is reachable; None where that is not known.
pub struct ReadinessOutcome(pub Option<QuorumEvidence>);

impl From<ReadinessOutcome> for Reply {
    fn from(outcome: ReadinessOutcome) -> Reply {
        match outcome.0 {
            Some(_) => Reply::ok(),
            None => Reply::error(status::SERVICE_UNAVAILABLE, "not in touch with the others"),
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

/// Reads the counters.
pub struct ReadCounters;

/// All counters and gauges, as JSON.
pub struct CountersReport(pub String);

impl From<CountersReport> for Reply {
    fn from(report: CountersReport) -> Reply {
        Reply::json(Body::Owned(report.0.into_bytes()))
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
