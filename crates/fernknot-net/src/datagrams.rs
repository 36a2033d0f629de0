//! The process's UDP socket.

use crate::event::{ConnectionId, Event};
use mio::net::UdpSocket;
use std::io::ErrorKind;
use std::net::{SocketAddr, SocketAddrV4};

/// Bytes of one datagram; the rest of a longer one is cut off.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// Datagrams that one poll reads.
const MAX_DATAGRAMS_PER_POLL: usize = 256;

/// A UDP socket and its identifier in the event loop.
pub(crate) struct DatagramSocket {
    pub(crate) id: ConnectionId,
    pub(crate) socket: UdpSocket,
}

impl DatagramSocket {
    /// Sends a datagram. One that the socket does not take now is dropped.
    pub(crate) fn send(&self, to: SocketAddrV4, bytes: &[u8]) {
        let _ = self.socket.send_to(bytes, to.into());
    }

    /// Reads the datagrams that were received.
    pub(crate) fn receive(&self, events: &mut Vec<Event>) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        // What is left beyond the limit waits for the next datagram: a flood does not stop the loop.
        for _ in 0..MAX_DATAGRAMS_PER_POLL {
            match self.socket.recv_from(&mut buffer) {
                Ok((count, from)) => {
                    let bytes = buffer[..count].to_vec();
                    events.push(Event::Datagram { from: ipv4_addr(from), bytes });
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                // A datagram that was sent earlier met a closed port.
                Err(_) => {}
            }
        }
    }
}

/// The address as an IPv4 one. All sockets are bound to IPv4 addresses, so that no other kind is met.
pub(crate) fn ipv4_addr(addr: SocketAddr) -> SocketAddrV4 {
    match addr {
        SocketAddr::V4(addr) => addr,
        SocketAddr::V6(_) => SocketAddrV4::new(std::net::Ipv4Addr::UNSPECIFIED, addr.port()),
    }
}
