//! HTTP endpoints for nodes and operators, with the outcomes of their calls.

use crate::evidence::QuorumEvidence;
use fernknot_http_api::{Body, Endpoint, MatchedRequest, Reply};
use fernknot_schema::{NodeHeartbeat, SystemConfig, ValidationError, json_digest};
use std::sync::Arc;

/// HTTP status codes, also used in messages between controllers.
pub mod status {
    /// The call succeeded: what it asked for is recorded, committed or in the body.
    pub const OK: u16 = 200;
    /// The request is invalid, or its epoch is not above the active one.
    pub const BAD_REQUEST: u16 = 400;
    /// No configuration has been committed yet.
    pub const NOT_FOUND: u16 = 404;
    /// The change builds on a version other than the active one.
    pub const PRECONDITION_FAILED: u16 = 412;
    /// This controller cannot serve the call now; another one may.
    pub const SERVICE_UNAVAILABLE: u16 = 503;
}

/// Reason in a 503 reply of a controller that reaches no majority of the voters, or to a drain that none confirmed in
/// time.
pub const NO_QUORUM_REASON: &str = "cut off from the others; ask another";
/// Maximum length of a node's identifier, in bytes.
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

/// Heartbeat of a node, which may announce that the node drains.
pub struct Heartbeat {
    /// Identifier of the node's incarnation.
    pub id: String,
    /// State and description that the node reports.
    pub heartbeat: NodeHeartbeat,
}

/// Outcome of a node's heartbeat or deregistration.
pub enum NodeCallOutcome {
    /// Recorded by this controller, without waiting for the others.
    Recorded,
    /// A majority has recorded that the node drains or is gone.
    DrainConfirmed(QuorumEvidence),
    /// Not recorded, or not confirmed by a majority: the node has to call another controller.
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

/// Deregistration of a node: its incarnation ends for good.
pub struct Deregister {
    /// Identifier of the node's incarnation.
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

/// An operator's request to replace the configuration.
pub struct ReplaceConfig {
    /// Epoch that must be active for the change to be accepted.
    pub base_epoch: u64,
    /// Epoch of the new configuration, chosen by the operator.
    pub epoch: u64,
    /// Hash of the parsed configuration, independent of its formatting.
    pub digest: u64,
    /// Configuration as the operator sent it.
    pub body: Vec<u8>,
}

/// Outcome of an operator's change. The texts are reasons for the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// Committed, by this call or an earlier one.
    Committed(QuorumEvidence),
    /// The change builds on a version other than the active one.
    VersionConflict(String, QuorumEvidence),
    /// The epoch is not above the active one.
    StaleEpoch(String, QuorumEvidence),
    /// Unknown: the change may or may not be committed, and may be retried unchanged.
    Unknown(&'static str),
}

impl ChangeOutcome {
    /// Returns the HTTP status and, for any status other than 200, the reason.
    pub fn status_and_reason(&self) -> (u16, String) {
        match self {
            ChangeOutcome::Committed(_) => (status::OK, String::new()),
            ChangeOutcome::VersionConflict(reason, _) => (status::PRECONDITION_FAILED, reason.clone()),
            ChangeOutcome::StaleEpoch(reason, _) => (status::BAD_REQUEST, reason.clone()),
            ChangeOutcome::Unknown(reason) => (status::SERVICE_UNAVAILABLE, reason.to_string()),
        }
    }

    /// Returns the outcome for the status and reason that another controller sent.
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
        match (SystemConfig::validate(&request.body), base_epoch) {
            (Ok(config), Some(base_epoch)) => {
                let body = request.body.clone();
                Ok(ReplaceConfig {
                    base_epoch,
                    epoch: config.routing.epoch,
                    digest: json_digest(&body),
                    body,
                })
            }
            (Ok(_), None) => Err(Reply::error(status::BAD_REQUEST, "Base-Epoch: is no whole number")),
            (Err(errors), _) => Err(bad_request(&errors)),
        }
    }
}

/// An operator's request to read the newest configuration.
pub struct ReadConfig;

/// Outcome of a request to read the configuration.
pub enum ReadConfigOutcome {
    /// The active configuration, as its operator sent it.
    Current(Arc<[u8]>, QuorumEvidence),
    /// No configuration was ever committed.
    NeverConfigured(QuorumEvidence),
    /// No majority confirmed that the local configuration is the newest.
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

/// Call that asks whether this controller is ready: it is not shutting down, and a majority confirms its view.
pub struct CheckReadiness;

/// Outcome of a readiness check: the evidence that a majority is reachable, or None if the controller is not ready.
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

/// Request for the counters and gauges of this controller.
pub struct ReadCounters;

/// Counters and gauges of this controller, as a JSON object.
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
