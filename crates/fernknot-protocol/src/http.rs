//! HTTP/1.1, both sides: requests read and responses written for clients, responses read from discovery and nodes.

mod head;
mod request;
mod response;
mod response_reader;

pub use crate::http_error::HttpError;
pub use request::{Request, RequestReader};
pub use response::{CONTINUE, ResponseHead};
pub use response_reader::{Response, ResponseReader};
