//! Observations and the rules checked against them. The checkers do not read the state of the system under test.

pub(crate) mod history;
pub(crate) mod observations;
pub(crate) mod requests;
pub(crate) mod retry_budget;
pub(crate) mod route_versions;
pub(crate) mod rule;
pub(crate) mod sent_request;
