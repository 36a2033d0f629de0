//! Log of the requests that nodes executed.

use std::collections::HashMap;
use std::time::Duration;

/// Execution of a request by a node.
#[derive(Clone, Debug)]
pub struct Execution {
    /// Service of the node.
    pub service: String,
    /// Target of the request.
    pub target: String,
    /// Seal of the response, a unique token that the node adds to it; none if the execution failed.
    pub seal: Option<String>,
    /// Body of the response; empty if the execution failed.
    pub body: Vec<u8>,
    /// Time since the acknowledgement of the node's drain; none if the drain was not acknowledged.
    pub since_drain: Option<Duration>,
}

/// Executions and numbers of rejected requests of all nodes.
#[derive(Debug, Default)]
pub struct ExecutionLog {
    /// Executions by the client's attempt id, the header `Attempt-Id`.
    pub executions: HashMap<String, Vec<Execution>>,
    /// Number of requests that nodes rejected without executing them.
    pub rejected: u64,
    /// Number of requests rejected because they were for another incarnation than that of the receiving node; included
    /// in `rejected`.
    pub misdirected: u64,
}
