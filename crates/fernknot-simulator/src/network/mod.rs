//! Links: delays, connections between controllers, partitions, and who is in touch with whom.

mod connectivity;
pub(crate) mod peers;
pub(crate) mod state;
