//! Node lists from discovery, the service that lists the data nodes, and the watch that keeps the lists up to date by
//! calls that discovery answers once there is a change.

mod list;
mod watch;

pub use list::{EntryError, ListError, ListedNode, NodeList, parse_list};
pub use watch::{Watch, WatchError, WatchUpdate};
