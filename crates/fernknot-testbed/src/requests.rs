//! Requests of clients, as these saw them.

/// What a client asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// The greatest records of all shards.
    Gather,
    /// The records of one node.
    Single,
    /// An order, which may not run twice.
    Mutating,
}

impl RequestKind {
    /// The prefix of its route.
    pub fn prefix(self) -> &'static str {
        match self {
            RequestKind::Gather => "/gather/",
            RequestKind::Single => "/one/",
            RequestKind::Mutating => "/order/",
        }
    }

    /// Whether it may run more than once.
    pub fn is_idempotent(self) -> bool {
        self != RequestKind::Mutating
    }
}

/// A whole response, as far as it is judged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientResponse {
    /// Its status.
    pub status: u16,
    /// The seals of its parts, or its own.
    pub seals: Vec<String>,
    /// Parts that it says are missing.
    pub missing: usize,
    /// Its body.
    pub body: Vec<u8>,
}

impl ClientResponse {
    /// Whether the request succeeded.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// How one attempt ended for the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A whole response.
    Response(ClientResponse),
    /// No connection, or one that ended before any of the response came; why.
    Disconnected(String),
    /// A response that began and did not end, or bytes that are none; why.
    Malformed(String),
}

/// One attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Its id, which no other attempt has.
    pub id: String,
    /// The whole request was written.
    pub was_sent: bool,
    /// How it ended.
    pub outcome: AttemptOutcome,
}

/// One request of a client with all its attempts.
#[derive(Clone, Debug)]
pub struct Request {
    /// What it asks for.
    pub kind: RequestKind,
    /// Its target.
    pub target: String,
    /// All attempts, in their order.
    pub attempts: Vec<Attempt>,
    /// From the first attempt's beginning to the last one's end, in milliseconds.
    pub duration_ms: f64,
}

impl Request {
    /// The response to its last attempt, if that succeeded.
    pub fn success(&self) -> Option<&ClientResponse> {
        match &self.attempts.last()?.outcome {
            AttemptOutcome::Response(response) if response.is_success() => Some(response),
            _ => None,
        }
    }

    /// Whether its last attempt succeeded.
    pub fn is_served(&self) -> bool {
        self.success().is_some()
    }
}
