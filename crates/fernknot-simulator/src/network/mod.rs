//! Network links: delays, connections between controllers, partitions, and connectivity.

mod connectivity;
pub(crate) mod peers;
pub(crate) mod state;
