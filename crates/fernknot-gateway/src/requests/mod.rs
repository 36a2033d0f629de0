//! Requests of clients that are in flight, and the responses to them.

mod completed_request;
mod execution_start;
mod pending_request;
mod request_table;
mod response;

pub(crate) use completed_request::CompletedRequest;
pub use execution_start::ExecutionStart;
pub use pending_request::{PendingRequest, StartedRequest};
pub(crate) use request_table::RequestTable;
pub use response::{FinalResponse, ResponseClass, classify_response};
