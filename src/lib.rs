//! fernknot: the decision module of a query router over replicated shards.

#![deny(missing_docs)]

pub mod decide;
pub mod interface;
pub mod state;
