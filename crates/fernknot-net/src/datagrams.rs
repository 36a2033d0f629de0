//! The process's UDP socket.

use crate::event::{ConnectionId, Event};
use mio::net::UdpSocket;
use std::io::ErrorKind;
use std::net::{SocketAddr, SocketAddrV4};

/// Maximum size of a received datagram, in bytes; a longer datagram is truncated.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// Maximum number of datagrams that one poll reads.
const MAX_DATAGRAMS_PER_POLL: usize = 256;

/// A UDP socket and its identifier in the event loop.
pub(crate) struct DatagramSocket {
    pub(crate) id: ConnectionId,
    pub(crate) socket: UdpSocket,
}

impl DatagramSocket {
    /// Sends a datagram, or drops it if the socket does not accept it now.
    pub(crate) fn send(&self, to: SocketAddrV4, bytes: &[u8]) {
        let _ = self.socket.send_to(bytes, to.into());
    }

    /// Reads the datagrams that have arrived.
    pub(crate) fn receive(&self, events: &mut Vec<Event>) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        // The limit keeps a flood of datagrams from blocking the loop. The socket reports the rest as readable when the
        // next datagram arrives.
        for _ in 0..MAX_DATAGRAMS_PER_POLL {
            match self.socket.recv_from(&mut buffer) {
                Ok((count, from)) => {
                    let bytes = buffer[..count].to_vec();
                    events.push(Event::Datagram { from: ipv4_addr(from), bytes });
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                // An earlier datagram was sent to a closed port.
                Err(_) => {}
            }
        }
    }
}

/// Converts an address to IPv4. All sockets are bound to IPv4 addresses, so IPv6 addresses do not occur.
pub(crate) fn ipv4_addr(addr: SocketAddr) -> SocketAddrV4 {
    match addr {
        SocketAddr::V4(addr) => addr,
        SocketAddr::V6(_) => SocketAddrV4::new(std::net::Ipv4Addr::UNSPECIFIED, addr.port()),
    }
}
