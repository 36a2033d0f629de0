//! fernknot: a co-ordinator of queries over replicated shards.

#![deny(missing_docs)]

pub mod decide;
pub mod interface;
pub mod state;
