//! The network between routers: each datagram passes a relay that may drop, duplicate or delay it.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io::Result;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// How often threads look whether the relay is stopped.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);
const MAX_DATAGRAM_BYTES: usize = 2048;
/// Why a lock can be taken: whoever holds it does nothing that panics.
const NO_PANIC: &str = "no holder of the lock panics";

/// What happens to datagrams from one router to another.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct LinkFaults {
    /// Whether all datagrams are dropped.
    pub blocked: bool,
    /// The share of datagrams that is dropped, from 0 to 1.
    pub loss: f64,
    /// The share of datagrams that is delivered twice, from 0 to 1.
    pub duplication: f64,
    /// Each datagram is delayed at random up to this, so that they overtake each other.
    pub max_delay: Duration,
}

/// A datagram on its way; the one that is due first is the greatest.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DelayedDatagram {
    due: Reverse<Instant>,
    sequence: u64,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

struct State {
    /// By sender and receiver.
    links: Vec<Vec<LinkFaults>>,
    rng: ChaCha8Rng,
    delayed: BinaryHeap<DelayedDatagram>,
    delayed_count: u64,
    stopped: bool,
}

/// What the threads share.
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    /// The socket at each router's public address.
    public_sockets: Vec<UdpSocket>,
    broadcast_socket: UdpSocket,
    /// Where each router receives.
    private: Vec<SocketAddr>,
}

/// Relays datagrams among all routers. Each router's public address is a socket of the relay, so that a receiver sees
/// the sender at its listed address.
pub(crate) struct DatagramRelay {
    shared: Arc<Shared>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl DatagramRelay {
    /// `public`: where the list names each router; `private`: where each receives; `broadcast`: what goes to all.
    pub fn start(
        public: &[SocketAddr],
        private: &[SocketAddr],
        broadcast: SocketAddr,
        seed: u64,
    ) -> Result<DatagramRelay> {
        let routers = private.len();
        let state = State {
            links: vec![vec![LinkFaults::default(); routers]; routers],
            rng: ChaCha8Rng::seed_from_u64(seed),
            delayed: BinaryHeap::new(),
            delayed_count: 0,
            stopped: false,
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            changed: Condvar::new(),
            public_sockets: public.iter().map(bind).collect::<Result<_>>()?,
            broadcast_socket: bind(&broadcast)?,
            private: private.to_vec(),
        });
        let receivers = (0..routers).map(Some).chain([None]);
        let mut threads: Vec<thread::JoinHandle<()>> = receivers
            .map(|to| {
                let shared = shared.clone();
                thread::spawn(move || shared.relay(to))
            })
            .collect();
        let delayed = shared.clone();
        threads.push(thread::spawn(move || delayed.send_delayed()));
        Ok(DatagramRelay { shared, threads })
    }

    /// Changes the links from these to those routers.
    pub fn change_links(&self, from: &[usize], to: &[usize], change: impl Fn(&mut LinkFaults)) {
        let mut state = self.shared.lock();
        for from in from {
            for to in to.iter().filter(|to| *to != from) {
                change(&mut state.links[*from][*to]);
            }
        }
    }
}

impl Drop for DatagramRelay {
    fn drop(&mut self) {
        self.shared.lock().stopped = true;
        self.shared.changed.notify_all();
        for thread in self.threads.drain(..) {
            // A panic of the thread has been printed.
            let _ = thread.join();
        }
    }
}

fn bind(address: &SocketAddr) -> Result<UdpSocket> {
    let socket = UdpSocket::bind(address)?;
    socket.set_read_timeout(Some(STOP_CHECK_INTERVAL))?;
    Ok(socket)
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect(NO_PANIC)
    }

    /// Relays what arrives for one router, or for all, until the relay is stopped.
    fn relay(&self, receiver: Option<usize>) {
        let socket = receiver.map_or(&self.broadcast_socket, |router| &self.public_sockets[router]);
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            let received = socket.recv_from(&mut buffer);
            let mut state = self.lock();
            if state.stopped {
                return;
            }
            let Ok((length, sender)) = received else { continue };
            let Some(from) = self.private.iter().position(|address| *address == sender) else { continue };
            let receivers = receiver.map_or(0..self.private.len(), |router| router..router + 1);
            for to in receivers.filter(|to| *to != from) {
                self.pass(&mut state, from, to, &buffer[..length]);
            }
        }
    }

    /// Delivers a datagram under the faults of its link.
    fn pass(&self, state: &mut State, from: usize, to: usize, bytes: &[u8]) {
        let faults = state.links[from][to];
        if faults.blocked || state.rng.random_bool(faults.loss) {
            return;
        }
        let copies = 1 + usize::from(state.rng.random_bool(faults.duplication));
        for _ in 0..copies {
            if faults.max_delay.is_zero() {
                self.send(from, to, bytes);
            } else {
                let delay = faults.max_delay.mul_f64(state.rng.random());
                state.delay(delay, from, to, bytes);
                self.changed.notify_all();
            }
        }
    }

    /// A router that is down receives nothing, as a dead machine would not: errors are ignored.
    fn send(&self, from: usize, to: usize, bytes: &[u8]) {
        let _ = self.public_sockets[from].send_to(bytes, self.private[to]);
    }

    fn send_delayed(&self) {
        let mut state = self.lock();
        while !state.stopped {
            let now = Instant::now();
            let wait = state.delayed.peek().map(|datagram| datagram.due.0.saturating_duration_since(now));
            if wait.is_some_and(|wait| wait.is_zero()) {
                if let Some(datagram) = state.delayed.pop() {
                    self.send(datagram.from, datagram.to, &datagram.bytes);
                }
                continue;
            }
            let wait = wait.unwrap_or(STOP_CHECK_INTERVAL);
            let waited = self.changed.wait_timeout(state, wait);
            state = waited.expect(NO_PANIC).0;
        }
    }
}

impl State {
    fn delay(&mut self, delay: Duration, from: usize, to: usize, bytes: &[u8]) {
        self.delayed_count += 1;
        let due = Reverse(Instant::now() + delay);
        let sequence = self.delayed_count;
        self.delayed.push(DelayedDatagram { due, sequence, from, to, bytes: bytes.to_vec() });
    }
}
