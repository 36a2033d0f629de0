//! Datagrams between query routers.

use crate::app::{App, Source};
use crate::counters::Counters;
use crate::link::{Handle, watch};
use fernknot::interface::{News, NodeId, PeerId};
use fernknot_config::{Limits, Told};
use fernknot_protocol::news::Tags;
use std::io::{ErrorKind, Result};
use std::net::UdpSocket;
use std::rc::Rc;

pub struct Peers {
    socket: Rc<UdpSocket>,
    told: Told,
    own: usize,
    pub tags: Tags,
}

impl Peers {
    pub fn new(handle: &Handle, told: Told, own: usize) -> Result<Peers> {
        let socket = Rc::new(UdpSocket::bind(told.listen)?);
        socket.set_nonblocking(true)?;
        watch(handle, socket.clone(), Source::Peers)?;
        Ok(Peers { socket, told, own, tags: Tags::default() })
    }

    pub fn tell(&mut self, news: &[(NodeId, News)], limits: &Limits, counters: &mut Counters) {
        for message in self.tags.write(news, limits.datagram) {
            match self.socket.send_to(&message, self.told.all) {
                Ok(_) => counters.datagrams_sent += 1,
                // Datagrams may be lost anywhere; one that the system does not take is lost here.
                Err(_) => counters.datagrams_dropped += 1,
            }
        }
    }
}

impl App {
    pub fn hear_peers(&mut self) {
        let Some(peers) = &mut self.peers else { return };
        let mut message = vec![0; self.limits.datagram + 1];
        // Guards the rest of the turn against a flood.
        for _ in 0..self.limits.datagrams {
            match peers.socket.recv_from(&mut message) {
                Ok((length, from)) => {
                    let known = peers.told.peers.iter().position(|peer| *peer == from);
                    let fits = |index: &usize| *index != peers.own && length <= self.limits.datagram;
                    let from = known.filter(fits).map(|index| PeerId(index as u32));
                    match from.and_then(|from| Some((from, peers.tags.read(&message[..length])?))) {
                        Some((from, news)) => {
                            self.counters.datagrams_taken += 1;
                            self.module.told(self.now, from, &news);
                        }
                        None => self.counters.datagrams_dropped += 1,
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
