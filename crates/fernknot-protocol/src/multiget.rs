//! Parsing of a client's multiget from its HTTP request, and the body of the response.

mod body;
mod error;
mod request;
mod response;

pub use error::RequestError;
pub use request::{MultigetRequest, RequestedPart, SecondPhaseRequest, parse_multiget};
pub use response::{BlockState, response_body};
