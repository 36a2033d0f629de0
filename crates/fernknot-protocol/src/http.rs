//! HTTP/1.1: reads requests of clients and writes the responses; reads responses of discovery and of nodes.

mod head;
mod header_fields;
mod request;
mod response;
mod response_reader;

pub use crate::http_error::HttpError;
pub use header_fields::HeaderFields;
pub use request::{Request, RequestReader};
pub use response::{CONTINUE, ResponseHead};
pub use response_reader::{Response, ResponseReader};
