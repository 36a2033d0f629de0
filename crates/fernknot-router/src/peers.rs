//! Datagrams between query routers.

use crate::core::Core;
use crate::ids::Source;
use crate::link::{Handle, watch};
use fernknot::interface::{News, NodeId, PeerId};
use fernknot_membership::MARK;
use fernknot_protocol::news::Tags;
use fernknot_router_config::PeerAddresses;
use std::io::{ErrorKind, Result};
use std::net::UdpSocket;
use std::rc::Rc;

pub struct Peers {
    socket: Rc<UdpSocket>,
    told: PeerAddresses,
    own: usize,
}

impl Peers {
    pub fn new(handle: &Handle, told: PeerAddresses, own: usize) -> Result<Peers> {
        let socket = Rc::new(UdpSocket::bind(told.listen)?);
        socket.set_nonblocking(true)?;
        watch(handle, socket.clone(), Source::Peers)?;
        Ok(Peers { socket, told, own })
    }

    pub fn tell(&self, core: &mut Core, tags: &Tags, news: &[(NodeId, News)]) {
        for message in tags.write(news, core.limits.max_datagram_bytes) {
            match self.socket.send_to(&message, self.told.all_peers) {
                Ok(_) => core.counters.datagrams_sent += 1,
                // Datagrams may be lost anywhere; one that the system does not take is lost here.
                Err(_) => core.counters.datagrams_dropped += 1,
            }
        }
    }

    /// Sends what membership has to say.
    pub fn keep_track(&self, core: &mut Core) {
        let Some(fleet) = core.fleet.as_mut() else { return };
        while let Some((to, bytes)) = fleet.next(core.now, &core.log) {
            match self.socket.send_to(&bytes, to) {
                Ok(_) => fleet.counters.fleet_datagrams_sent += 1,
                Err(_) => fleet.counters.fleet_datagrams_dropped += 1,
            }
        }
        if let Some(routers) = fleet.newly_shared(core.now, &core.log) {
            core.engine.shared_by(core.now, routers);
        }
    }

    /// Takes another list of routers; numbers of those that tell of nodes follow it.
    pub fn list(&mut self, told: PeerAddresses, own: usize) {
        (self.told, self.own) = (told, own);
    }

    pub fn hear(&self, core: &mut Core, tags: &Tags) {
        let mut message = vec![0; core.limits.max_datagram_bytes + 1];
        // Guards the rest of the turn against a flood.
        for _ in 0..core.limits.max_datagrams_per_turn {
            match self.socket.recv_from(&mut message) {
                Ok((length, from)) => {
                    if let Some(fleet) =
                        core.fleet.as_mut().filter(|_| message[..length].starts_with(&[MARK]))
                    {
                        fleet.heard(core.now, from, &message[..length]);
                        continue;
                    }
                    let known = self.told.peers.iter().position(|peer| *peer == from);
                    let fits = |index: &usize| *index != self.own && length <= core.limits.max_datagram_bytes;
                    let from = known.filter(fits).map(|index| PeerId(index as u32));
                    match from.and_then(|from| Some((from, tags.read(&message[..length])?))) {
                        Some((from, news)) => {
                            core.counters.datagrams_taken += 1;
                            core.engine.told(core.now, from, &news);
                        }
                        None => core.counters.datagrams_dropped += 1,
                    }
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                // An earlier datagram could not be delivered, as ICMP tells; the next may be.
                Err(_) => {}
            }
        }
    }
}
