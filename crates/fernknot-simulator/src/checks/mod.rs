//! What was observed, and the rules that it is held against. Nothing here reads the state of what it judges.

pub(crate) mod history;
pub(crate) mod observations;
pub(crate) mod requests;
pub(crate) mod retry_budget;
pub(crate) mod rule;
pub(crate) mod sent_request;
