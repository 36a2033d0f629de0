//! The calls of nodes and operators, each with its answer.

use crate::ground::Ground;
use fernknot_http_api::{Asked, Body, Call, Reply};
use fernknot_schema::{Beat, Fault, RoutingConfig, digest};
use std::sync::Arc;

/// Longest name of a node's life, in bytes.
const LONGEST_ID: usize = 200;

fn faults(faults: &[Fault]) -> Reply {
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    Reply::refused(400, &lines.join("; "))
}

fn id(asked: Asked<'_>) -> Result<String, Reply> {
    match asked.segment.len() <= LONGEST_ID {
        true => Ok(asked.segment.to_string()),
        false => Err(Reply::refused(400, "the id in the path is too long")),
    }
}

/// A node lives, or says that it is about to leave.
pub struct Heartbeat {
    pub id: String,
    pub beat: Beat,
}

/// What becomes of a node's call.
pub enum NodeHeard {
    /// A plain beat: noted here, which promises nothing.
    Noted,
    /// That it leaves is known to a majority.
    Leaves(Ground),
    /// Not noted: the node is to call another registrar.
    No(&'static str),
}

impl From<NodeHeard> for Reply {
    fn from(heard: NodeHeard) -> Reply {
        match heard {
            NodeHeard::Noted | NodeHeard::Leaves(_) => Reply::done(),
            NodeHeard::No(why) => Reply::refused(503, why),
        }
    }
}

impl Call for Heartbeat {
    type Answer = NodeHeard;
    const METHOD: &'static str = "POST";
    const PATH: &'static str = "/-/nodes/*/heartbeat";

    fn read(asked: Asked<'_>) -> Result<Heartbeat, Reply> {
        let beat = Beat::read(&asked.request.body).map_err(|bad| faults(&bad))?;
        Ok(Heartbeat { id: id(asked)?, beat })
    }
}

/// A node ends.
pub struct Deregister {
    pub id: String,
}

impl Call for Deregister {
    type Answer = NodeHeard;
    const METHOD: &'static str = "POST";
    const PATH: &'static str = "/-/nodes/*/deregister";

    fn read(asked: Asked<'_>) -> Result<Deregister, Reply> {
        Ok(Deregister { id: id(asked)? })
    }
}

/// An operator's new configuration.
pub struct Replace {
    pub base: u64,
    pub epoch: u64,
    pub digest: u64,
    pub body: Vec<u8>,
}

/// The end of an operator's change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Replaced {
    Taken(Ground),
    /// Another version is in place.
    Other(String, Ground),
    /// Its number is not above the one in force.
    Invalid(String, Ground),
    /// Not known: it may be in force or not, and may be repeated unchanged.
    Unclear(&'static str),
}

impl Replaced {
    /// As it is told between registrars.
    pub fn status(&self) -> (u16, String) {
        match self {
            Replaced::Taken(_) => (200, String::new()),
            Replaced::Other(why, _) => (412, why.clone()),
            Replaced::Invalid(why, _) => (400, why.clone()),
            Replaced::Unclear(why) => (503, why.to_string()),
        }
    }
}

impl From<Replaced> for Reply {
    fn from(end: Replaced) -> Reply {
        match end.status() {
            (200, _) => Reply::done(),
            (status, why) => Reply::refused(status, &why),
        }
    }
}

impl Call for Replace {
    type Answer = Replaced;
    const METHOD: &'static str = "POST";
    const PATH: &'static str = "/-/config/replace";

    fn read(asked: Asked<'_>) -> Result<Replace, Reply> {
        let base = asked.request.header("Base-Epoch").map(str::trim);
        let base = base.and_then(|base| base.parse().ok());
        let plan = RoutingConfig::read(&asked.request.body);
        match (plan, base) {
            (Ok(plan), Some(base)) => {
                let body = asked.request.body.clone();
                Ok(Replace { base, epoch: plan.epoch, digest: digest(&body), body })
            }
            (Ok(_), None) => Err(Reply::refused(400, "Base-Epoch: is no whole number")),
            (Err(bad), _) => Err(faults(&bad)),
        }
    }
}

/// An operator asks for the newest configuration.
pub struct Read;

/// The newest configuration, as far as this registrar may speak for it.
pub enum Newest {
    Body(Arc<[u8]>, Ground),
    /// None was ever taken.
    None(Ground),
    /// A newer one may be known elsewhere.
    Unsure,
}

impl From<Newest> for Reply {
    fn from(newest: Newest) -> Reply {
        match newest {
            Newest::Body(body, _) => Reply::json(Body::Shared(body)),
            Newest::None(_) => Reply::refused(404, "no configuration has been taken yet"),
            Newest::Unsure => Reply::refused(503, "cut off from the others, who may know a newer one"),
        }
    }
}

impl Call for Read {
    type Answer = Newest;
    const METHOD: &'static str = "GET";
    const PATH: &'static str = "/-/config/read";

    fn read(_: Asked<'_>) -> Result<Read, Reply> {
        Ok(Read)
    }
}

/// Is this registrar of use?
pub struct Readiness;

/// In touch with a majority now, or not known to be.
pub struct Ready(pub Option<Ground>);

impl From<Ready> for Reply {
    fn from(ready: Ready) -> Reply {
        match ready.0 {
            Some(_) => Reply::done(),
            None => Reply::refused(503, "not in touch with the others"),
        }
    }
}

impl Call for Readiness {
    type Answer = Ready;
    const METHOD: &'static str = "GET";
    const PATH: &'static str = "/-/readiness";

    fn read(_: Asked<'_>) -> Result<Readiness, Reply> {
        Ok(Readiness)
    }
}

/// What has been counted.
pub struct Count;

pub struct Counted(pub String);

impl From<Counted> for Reply {
    fn from(counted: Counted) -> Reply {
        Reply::json(Body::Own(counted.0.into_bytes()))
    }
}

impl Call for Count {
    type Answer = Counted;
    const METHOD: &'static str = "GET";
    const PATH: &'static str = "/-/counters";

    fn read(_: Asked<'_>) -> Result<Count, Reply> {
        Ok(Count)
    }
}
