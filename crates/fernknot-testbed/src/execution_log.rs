//! What nodes ran.

use std::collections::HashMap;

/// One execution of a request at a node.
#[derive(Clone, Debug)]
pub struct Execution {
    /// The service of the node.
    pub service: String,
    /// The request's target.
    pub target: String,
    /// The seal of the response; none where it failed.
    pub seal: Option<String>,
    /// The body of the response.
    pub body: Vec<u8>,
}

/// What nodes ran, by the ids of attempts. What they rejected is only counted.
#[derive(Debug, Default)]
pub struct ExecutionLog {
    /// Executions by the ids of attempts.
    pub executions: HashMap<String, Vec<Execution>>,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Those of them that were meant for another incarnation.
    pub misdirected: u64,
}
