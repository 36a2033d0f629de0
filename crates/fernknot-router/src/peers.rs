//! Datagrams between routers.

use crate::context::Context;
use crate::events::Source;
use crate::tcp_connection::{EventLoopHandle, watch};
use fernknot::interface::{NodeId, PeerId, Update};
use fernknot_membership::DATAGRAM_PREFIX;
use fernknot_protocol::peer_updates::NodeTags;
use fernknot_router_config::PeerAddresses;
use std::io::{ErrorKind, Result};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

/// Socket for datagrams between routers.
pub struct Peers {
    socket: Rc<UdpSocket>,
    addresses: PeerAddresses,
    /// Index of this router among the addresses.
    own_position: usize,
}

impl Peers {
    /// Opens the socket at the router's own address.
    pub fn new(event_loop: &EventLoopHandle, addresses: PeerAddresses, own_position: usize) -> Result<Peers> {
        let socket = Rc::new(UdpSocket::bind(addresses.listen)?);
        socket.set_nonblocking(true)?;
        watch(event_loop, socket.clone(), Source::Peers)?;
        Ok(Peers { socket, addresses, own_position })
    }

    /// Sends updates about nodes to the address whose datagrams reach all routers.
    pub fn send_updates(&self, context: &mut Context, tags: &NodeTags, updates: &[(NodeId, Update)]) {
        for message in tags.write(updates, context.limits.max_datagram_bytes) {
            match self.socket.send_to(&message, self.addresses.all_peers) {
                Ok(_) => context.counters.datagrams_sent += 1,
                // Datagrams may be lost; one that the operating system rejects is not sent again.
                Err(_) => context.counters.datagrams_dropped += 1,
            }
        }
    }

    /// Sends the pending datagrams of membership, and reports a changed number of routers that share the customers'
    /// quotas to the engine.
    pub fn send_membership(&self, context: &mut Context) {
        let Some(membership) = context.membership.as_mut() else { return };
        while let Some((to, bytes)) = membership.next_datagram(context.now, &context.log) {
            match self.socket.send_to(&bytes, to) {
                Ok(_) => membership.counters.fleet_datagrams_sent += 1,
                Err(_) => membership.counters.fleet_datagrams_dropped += 1,
            }
        }
        if let Some(routers) = membership.take_quota_sharers_change(context.now, &context.log) {
            context.engine.set_sharing_routers(context.now, routers);
        }
    }

    /// Replaces the list of routers, whose positions are the ids of the peers.
    pub fn change_addresses(&mut self, addresses: PeerAddresses, own_position: usize) {
        (self.addresses, self.own_position) = (addresses, own_position);
    }

    /// Reads the received datagrams.
    pub fn receive(&self, context: &mut Context, tags: &NodeTags) {
        let mut message = vec![0; context.limits.max_datagram_bytes + 1];
        // The limit keeps a flood of datagrams from blocking the rest of the iteration.
        for _ in 0..context.limits.max_datagrams_per_iteration {
            match self.socket.recv_from(&mut message) {
                Ok((length, from)) => self.handle_datagram(context, tags, from, &message[..length]),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                // An ICMP message reported that an earlier datagram could not be delivered; sending and receiving go
                // on.
                Err(_) => {}
            }
        }
    }

    fn handle_datagram(&self, context: &mut Context, tags: &NodeTags, from: SocketAddr, message: &[u8]) {
        if message.starts_with(&[DATAGRAM_PREFIX])
            && let Some(membership) = &mut context.membership
        {
            return membership.receive(context.now, from, message);
        }
        let position = self.addresses.peers.iter().position(|peer| *peer == from);
        let is_valid = message.len() <= context.limits.max_datagram_bytes;
        let peer = position.filter(|position| *position != self.own_position && is_valid);
        let updates = peer.and_then(|position| Some((position, tags.read(message)?)));
        match updates {
            Some((position, updates)) => {
                context.counters.datagrams_taken += 1;
                context.engine.apply_peer_updates(context.now, PeerId(position as u32), &updates);
            }
            None => context.counters.datagrams_dropped += 1,
        }
    }
}
