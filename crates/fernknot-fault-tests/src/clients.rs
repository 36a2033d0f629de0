//! Clients in an open loop: each request on a connection of its own, sent when its time has come, whatever became
//! of those before.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long a client waits for its answer, and after that for one that comes too late.
pub const WAIT: Duration = Duration::from_millis(3000);
pub const SLACK: Duration = Duration::from_millis(500);
/// Use cases by turns: may be repeated, has a key, must run once.
const USE_CASES: [&str; 3] = ["page", "mark", "buy"];

#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Got {
    Answer {
        status: u16,
        whole: bool,
    },
    /// The connection was refused, before anything was taken.
    Refused,
    /// It broke, or no answer came in time.
    Nothing,
}

/// One request as its client saw it; times from the start of the trial.
#[derive(Clone, Debug, Serialize)]
pub struct Request {
    pub id: String,
    pub use_case: &'static str,
    pub router: usize,
    pub sent: Duration,
    pub ended: Duration,
    pub got: Got,
    /// Final answers that came on the connection.
    pub answers: usize,
}

pub struct Clients {
    over: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
    seen: Arc<Mutex<Vec<Request>>>,
}

impl Clients {
    pub fn start(routers: Vec<SocketAddr>, per_s: f64, seed: u64, begun: Instant) -> Clients {
        let over = Arc::new(AtomicBool::new(false));
        let seen = Arc::new(Mutex::new(Vec::new()));
        let (until, into) = (over.clone(), seen.clone());
        let thread = thread::spawn(move || {
            let mut chance = ChaCha8Rng::seed_from_u64(seed);
            let mut open = Vec::new();
            let mut next = Instant::now();
            for number in 0u64.. {
                if until.load(Ordering::Relaxed) {
                    break;
                }
                thread::sleep(next.saturating_duration_since(Instant::now()));
                next += Duration::from_secs_f64(1.0 / per_s);
                let router = chance.random_range(0..routers.len());
                let use_case = USE_CASES[chance.random_range(0..USE_CASES.len())];
                let (address, into) = (routers[router], into.clone());
                open.push(thread::spawn(move || {
                    let id = format!("t{number}");
                    let sent = begun.elapsed();
                    let (got, answers) = ask(address, &id, use_case);
                    let ended = begun.elapsed();
                    let request = Request { id, use_case, router, sent, ended, got, answers };
                    into.lock().expect("no panic before").push(request);
                }));
                open.retain(|client| !client.is_finished());
            }
            open.into_iter().for_each(|client| drop(client.join()));
        });
        Clients { over, thread: Some(thread), seen }
    }

    /// Sends nothing further, waits for what is open, and tells all that was seen.
    pub fn finish(mut self) -> Vec<Request> {
        self.stop();
        std::mem::take(&mut *self.seen.lock().expect("no panic before"))
    }

    fn stop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        self.thread.take().into_iter().for_each(|thread| drop(thread.join()));
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.stop();
    }
}

fn ask(address: SocketAddr, id: &str, use_case: &str) -> (Got, usize) {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, WAIT) else { return (Got::Refused, 0) };
    let body = r#"{"buckets":[{"bucket":0,"part":0.5},{"bucket":1,"part":0.5}],"body":"x"}"#;
    let head = format!(
        "POST /{use_case} HTTP/1.1\r\nReq-Id: {id}\r\nReq-Deadline: {}\r\nIdempotency-Key: k{id}\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n",
        WAIT.as_secs_f64(),
        body.len()
    );
    if stream.write_all((head + body).as_bytes()).is_err() {
        return (Got::Nothing, 0);
    }
    let end = Instant::now() + WAIT + SLACK;
    let (mut answer, mut bytes) = (Vec::new(), [0; 4096]);
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
            break;
        }
        match stream.read(&mut bytes) {
            Ok(length) if length > 0 => answer.extend_from_slice(&bytes[..length]),
            _ => break,
        }
    }
    let text = String::from_utf8_lossy(&answer);
    let answers = text.matches("HTTP/1.1 ").count();
    let status = text.strip_prefix("HTTP/1.1 ").and_then(|rest| rest.get(..3)?.parse().ok());
    let whole = text.contains("\"finished\":true");
    (status.map_or(Got::Nothing, |status| Got::Answer { status, whole }), answers)
}
