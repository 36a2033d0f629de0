//! Discovery's lists of data nodes, and the watch that follows them.

mod list;
mod watch;

pub use list::{EntryError, ListError, ListedNode, NodeList, parse_list};
pub use watch::{Watch, WatchError, WatchUpdate};
