//! Decisions on multigets in two phases, without I/O or a clock.
//!
//! A first phase asks blocks what they hold; its answers name the blocks that a second one fetches.
//! [`Phases`] is told of each such multiget (`begin`), of the match answers (`matched`), of the end of
//! the first phase (`open`) and of the whole (`over`). It answers how the goal time is split
//! (`expectation`), which blocks are fetched and which are ruled out (`open`), and what the final
//! answer says of each block (`account`). Which node, whether to retry and what to turn away stay with
//! the decision module, which is handed these as facts.

mod phases;
mod sketches;
mod spans;

pub use phases::{BadMatch, Block, Fetch, Phases, Query};
pub use sketches::{Says, Sketch, Sketches, print_of};
pub use spans::Spans;
