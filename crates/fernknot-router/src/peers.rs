//! Datagrams between query routers.

use crate::core::Core;
use crate::ids::Source;
use crate::link::{Handle, watch};
use fernknot::interface::{News, NodeId, PeerId};
use fernknot_config::Told;
use fernknot_protocol::news::Tags;
use std::io::{ErrorKind, Result};
use std::net::UdpSocket;
use std::rc::Rc;

pub struct Peers {
    socket: Rc<UdpSocket>,
    told: Told,
    own: usize,
}

impl Peers {
    pub fn new(handle: &Handle, told: Told, own: usize) -> Result<Peers> {
        let socket = Rc::new(UdpSocket::bind(told.listen)?);
        socket.set_nonblocking(true)?;
        watch(handle, socket.clone(), Source::Peers)?;
        Ok(Peers { socket, told, own })
    }

    pub fn tell(&self, core: &mut Core, tags: &Tags, news: &[(NodeId, News)]) {
        for message in tags.write(news, core.limits.datagram) {
            match self.socket.send_to(&message, self.told.all) {
                Ok(_) => core.counters.datagrams_sent += 1,
                // Datagrams may be lost anywhere; one that the system does not take is lost here.
                Err(_) => core.counters.datagrams_dropped += 1,
            }
        }
    }

    pub fn hear(&self, core: &mut Core, tags: &Tags) {
        let mut message = vec![0; core.limits.datagram + 1];
        // Guards the rest of the turn against a flood.
        for _ in 0..core.limits.datagrams {
            match self.socket.recv_from(&mut message) {
                Ok((length, from)) => {
                    let known = self.told.peers.iter().position(|peer| *peer == from);
                    let fits = |index: &usize| *index != self.own && length <= core.limits.datagram;
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
