//! Which nodes own which range of block keys, by epoch, as far as one router knows. No I/O, no clock.
//!
//! A [`Map`] is a view: it may be old, have gaps, and hear of changes in any order. The owner has the
//! last word; a view that is wrong costs a hop, never a wrong answer. [`Map::pieces`] says where a span of
//! keys is to be asked, [`Map::moved`] what to make of an owner that says it no longer is one, and
//! [`cover`] whether parts cover what was asked just once. [`snapshot`] keeps a map over a restart.

mod map;
mod route;
pub mod snapshot;
mod span;

pub use map::{Change, Entry, Epoch, Map, Move, Owners, Piece, Stage, Taken, Told};
pub use route::{Hop, Route};
pub use span::{Cover, Span, cover};
