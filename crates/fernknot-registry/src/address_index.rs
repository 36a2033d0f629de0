//! Index of the incarnations that are up, by the address at which they accept requests.

use std::collections::HashMap;
use std::net::SocketAddrV4;

/// Ids of the incarnations that are up, by address.
#[derive(Clone, Debug, Default)]
pub(crate) struct AddressIndex {
    id_by_addr: HashMap<SocketAddrV4, String>,
}

impl AddressIndex {
    /// Returns the id of the incarnation that uses the address.
    pub fn incarnation_at(&self, addr: SocketAddrV4) -> Option<&str> {
        self.id_by_addr.get(&addr).map(String::as_str)
    }

    /// Assigns the address to an incarnation. Returns the previous user, if it is another incarnation, which can no
    /// longer be up.
    #[must_use]
    pub fn claim(&mut self, addr: SocketAddrV4, id: &str) -> Option<String> {
        self.id_by_addr.insert(addr, id.to_string()).filter(|previous| previous != id)
    }

    /// Releases the address if this incarnation uses it.
    pub fn release(&mut self, addr: SocketAddrV4, id: &str) {
        if self.incarnation_at(addr) == Some(id) {
            self.id_by_addr.remove(&addr);
        }
    }
}
