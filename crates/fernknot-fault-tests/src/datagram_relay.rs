//! Relay for datagrams between routers, which can drop, duplicate or delay them.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io::Result;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Interval at which threads check whether the relay is stopped.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);
const MAX_DATAGRAM_BYTES: usize = 2048;
/// Panic message for a poisoned lock.
const LOCK_NOT_POISONED: &str = "no holder of the lock panics";

/// Faults of the link from one router to another.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct LinkFaults {
    /// Whether all datagrams are dropped.
    pub blocked: bool,
    /// Share of datagrams that is dropped, from 0 to 1.
    pub loss: f64,
    /// Share of datagrams that is delivered twice, from 0 to 1.
    pub duplication: f64,
    /// Upper bound of the random delay of each datagram; different delays reorder datagrams.
    pub max_delay: Duration,
}

/// Delayed datagram. The one that is due first is the greatest, because `BinaryHeap` is a max-heap.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DelayedDatagram {
    due: Reverse<Instant>,
    sequence: u64,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

struct State {
    /// Faults of each link, by the numbers of its sender and its receiver.
    links: Vec<Vec<LinkFaults>>,
    rng: ChaCha8Rng,
    delayed: BinaryHeap<DelayedDatagram>,
    delayed_count: u64,
    stopped: bool,
}

/// State shared by the threads of the relay.
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    /// Socket at each router's public address, by router number.
    public_sockets: Vec<UdpSocket>,
    broadcast_socket: UdpSocket,
    /// Address at which each router receives datagrams from the relay, by router number.
    private: Vec<SocketAddr>,
}

/// Relay of datagrams among all routers. It binds each router's public address and forwards a router's datagrams from
/// it, so that receivers see the sender at its listed address.
pub(crate) struct DatagramRelay {
    shared: Arc<Shared>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl DatagramRelay {
    /// Starts a relay. It forwards datagrams that arrive at a `public` address to the same router's `private` address,
    /// and those that arrive at `broadcast` to all routers but the sender. `seed` determines the random faults.
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

    /// Changes the faults of each link from a router in `from` to another one in `to`.
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
            // The panic hook has already printed a panic of the thread.
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
        self.state.lock().expect(LOCK_NOT_POISONED)
    }

    /// Relays the datagrams that arrive for one router, or at the broadcast address if `receiver` is `None`, until the
    /// relay is stopped.
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
                self.forward(&mut state, from, to, &buffer[..length]);
            }
        }
    }

    /// Forwards a datagram from one router to another, subject to the faults of the link between them.
    fn forward(&self, state: &mut State, from: usize, to: usize, bytes: &[u8]) {
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

    /// Sends a datagram. Errors are ignored: a router that is down receives nothing.
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
            state = waited.expect(LOCK_NOT_POISONED).0;
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
