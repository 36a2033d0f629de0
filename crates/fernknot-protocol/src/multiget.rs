//! A client's multiget, read from its request, and the response to it.

mod body;
mod error;
mod request;
mod response;

pub use error::RequestError;
pub use request::{MultigetRequest, RequestedPart, SecondPhaseRequest, parse_multiget};
pub use response::{BlockState, response_body};
