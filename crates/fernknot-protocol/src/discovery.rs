//! Node lists from discovery, and the long-polling watch that keeps them up to date.

mod list;
mod watch;

pub use list::{EntryError, ListError, ListedNode, NodeList, parse_list};
pub use watch::{Watch, WatchError, WatchUpdate};
