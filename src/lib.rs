//! fernknot: a co-ordinator of queries over replicated shards.

pub mod decide;
pub mod interface;
pub mod state;
