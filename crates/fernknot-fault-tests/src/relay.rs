//! The network between processes: each datagram and each connection passes a relay that may spoil it.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io::{ErrorKind, Read, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What happens to datagrams from one router to another.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Way {
    pub cut: bool,
    pub lose: f64,
    pub repeat: f64,
    /// Each is late by chance up to this, so that they overtake each other.
    pub delay: Duration,
}

type Late = (Reverse<Instant>, u64, usize, usize, Vec<u8>);

struct State {
    ways: Vec<Vec<Way>>,
    chance: ChaCha8Rng,
    late: BinaryHeap<Late>,
    count: u64,
    over: bool,
}

/// Datagrams among all routers. Each router's public address is a socket of the relay, so that whoever receives
/// sees the sender at the address of the list.
pub struct Datagrams {
    state: Arc<(Mutex<State>, Condvar)>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Datagrams {
    /// `public`: where the list names each router; `own`: where each listens; `all`: what reaches every one.
    pub fn start(public: &[SocketAddr], own: &[SocketAddr], all: SocketAddr, seed: u64) -> Result<Datagrams> {
        let ways = vec![vec![Way::default(); own.len()]; own.len()];
        let chance = ChaCha8Rng::seed_from_u64(seed);
        let state = State { ways, chance, late: BinaryHeap::new(), count: 0, over: false };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let bind = |address: &SocketAddr| {
            let socket = UdpSocket::bind(address)?;
            socket.set_read_timeout(Some(Duration::from_millis(100)))?;
            Ok(Arc::new(socket))
        };
        let sockets: Vec<Arc<UdpSocket>> = public.iter().map(bind).collect::<Result<_>>()?;
        let own = Arc::new(own.to_vec());
        let mut threads = Vec::new();
        let heard = sockets.iter().cloned().enumerate().map(|(to, socket)| (Some(to), socket));
        let heard: Vec<_> = heard.chain([(None, bind(&all)?)]).collect();
        for (to, socket) in heard {
            let (state, sockets, own) = (state.clone(), sockets.clone(), own.clone());
            threads.push(thread::spawn(move || pass_on(to, &socket, &state, &sockets, &own)));
        }
        let (late, own) = (state.clone(), own.clone());
        threads.push(thread::spawn(move || send_late(&late, &sockets, &own)));
        Ok(Datagrams { state, threads })
    }

    /// Changes the ways from these to those routers.
    pub fn set(&self, from: &[usize], to: &[usize], change: impl Fn(&mut Way)) {
        let mut state = self.state.0.lock().expect("no panic before");
        for from in from {
            for to in to.iter().filter(|to| *to != from) {
                change(&mut state.ways[*from][*to]);
            }
        }
    }
}

impl Drop for Datagrams {
    fn drop(&mut self) {
        self.state.0.lock().expect("no panic before").over = true;
        self.state.1.notify_all();
        for thread in self.threads.drain(..) {
            // A relay's thread that has panicked has told so already.
            let _ = thread.join();
        }
    }
}

fn pass_on(
    to: Option<usize>,
    socket: &UdpSocket,
    state: &(Mutex<State>, Condvar),
    sockets: &[Arc<UdpSocket>],
    own: &[SocketAddr],
) {
    let mut bytes = [0; 2048];
    loop {
        let received = socket.recv_from(&mut bytes);
        let mut held = state.0.lock().expect("no panic before");
        if held.over {
            return;
        }
        let Ok((length, from)) = received else { continue };
        let Some(from) = own.iter().position(|address| *address == from) else { continue };
        let receivers = to.map_or(0..own.len(), |to| to..to + 1);
        for to in receivers.filter(|to| *to != from) {
            let way = held.ways[from][to];
            if way.cut || held.chance.random_bool(way.lose) {
                continue;
            }
            for _ in 0..1 + usize::from(held.chance.random_bool(way.repeat)) {
                if way.delay.is_zero() {
                    // A router that is down takes nothing, as a dead machine would.
                    let _ = sockets[from].send_to(&bytes[..length], own[to]);
                } else {
                    let after = way.delay.mul_f64(held.chance.random());
                    held.count += 1;
                    let count = held.count;
                    held.late.push((
                        Reverse(Instant::now() + after),
                        count,
                        from,
                        to,
                        bytes[..length].to_vec(),
                    ));
                    state.1.notify_all();
                }
            }
        }
    }
}

fn send_late(state: &(Mutex<State>, Condvar), sockets: &[Arc<UdpSocket>], own: &[SocketAddr]) {
    let mut held = state.0.lock().expect("no panic before");
    while !held.over {
        let now = Instant::now();
        let due = held.late.peek().map(|(Reverse(at), ..)| at.saturating_duration_since(now));
        match due {
            Some(wait) if wait.is_zero() => {
                if let Some((_, _, from, to, bytes)) = held.late.pop() {
                    let _ = sockets[from].send_to(&bytes, own[to]);
                }
            }
            wait => {
                let wait = wait.unwrap_or(Duration::from_millis(100));
                held = state.1.wait_timeout(held, wait).expect("no panic before").0;
            }
        }
    }
}

/// What a relay of connections does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stream {
    Passes = 0,
    /// Open and quiet: nothing gets through either way, and nothing is closed.
    Silent = 1,
    /// All are reset, and new ones closed.
    Resets = 2,
}

/// Connections from one process to another.
pub struct Connections {
    pub address: SocketAddr,
    mode: Arc<AtomicU8>,
}

impl Connections {
    pub fn start(to: SocketAddr) -> Result<Connections> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let mode = Arc::new(AtomicU8::new(Stream::Passes as u8));
        let held = mode.clone();
        // It ends with the process, as the stand-ins' threads do.
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                if held.load(Ordering::Relaxed) == Stream::Resets as u8 {
                    continue;
                }
                let Ok(far) = TcpStream::connect(to) else { continue };
                let (Ok(near_again), Ok(far_again)) = (near.try_clone(), far.try_clone()) else { continue };
                let (there, back) = (held.clone(), held.clone());
                thread::spawn(move || copy(near, far, &there));
                thread::spawn(move || copy(far_again, near_again, &back));
            }
        });
        Ok(Connections { address, mode })
    }

    pub fn set(&self, mode: Stream) {
        self.mode.store(mode as u8, Ordering::Relaxed);
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, mode: &AtomicU8) {
    let mut bytes = [0; 16 * 1024];
    let _ = from.set_read_timeout(Some(Duration::from_millis(50)));
    let _ = to.set_nodelay(true);
    loop {
        let read = from.read(&mut bytes);
        while mode.load(Ordering::Relaxed) == Stream::Silent as u8 {
            thread::sleep(Duration::from_millis(5));
        }
        let resets = mode.load(Ordering::Relaxed) == Stream::Resets as u8;
        match read {
            Ok(length) if length > 0 && !resets => {
                if to.write_all(&bytes[..length]).is_err() {
                    break;
                }
            }
            Err(error) if !resets && matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            _ => break,
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
