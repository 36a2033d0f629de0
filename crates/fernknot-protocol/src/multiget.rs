//! Parsing of a client's multiget from its HTTP request, and the body of the response. A multiget is a query to
//! several shards, with a part for each. A block is the set of records of one shard; a two-phase query first asks
//! blocks which blocks hold matches, and then fetches those blocks.

mod body;
mod error;
mod request;
mod response;

pub use error::RequestError;
pub use request::{MultigetRequest, RequestedPart, SecondPhaseRequest, parse_multiget};
pub use response::{BlockState, response_body};
