//! Which incarnation uses an address.

use std::collections::HashMap;
use std::net::SocketAddrV4;

/// The incarnation that is up at each address, by its id.
#[derive(Clone, Debug, Default)]
pub(crate) struct AddressIndex {
    id_by_addr: HashMap<SocketAddrV4, String>,
}

impl AddressIndex {
    /// The incarnation that uses the address.
    pub fn user_of(&self, addr: SocketAddrV4) -> Option<&str> {
        self.id_by_addr.get(&addr).map(String::as_str)
    }

    /// Gives the address to an incarnation. Returns another one that used it until now: it can't be up any more.
    #[must_use]
    pub fn claim(&mut self, addr: SocketAddrV4, id: &str) -> Option<String> {
        self.id_by_addr.insert(addr, id.to_string()).filter(|previous| previous != id)
    }

    /// Frees the address if this incarnation uses it.
    pub fn release(&mut self, addr: SocketAddrV4, id: &str) {
        if self.user_of(addr) == Some(id) {
            self.id_by_addr.remove(&addr);
        }
    }
}
