//! Open-loop clients: each request has a connection of its own and is sent when its time has come, whatever became of
//! those before.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long a client waits for its answer.
pub const CLIENT_TIMEOUT: Duration = Duration::from_millis(3000);
/// How long after that it still takes notice of an answer that is late.
pub const LATE_ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Idempotent, idempotent under a key, and non-idempotent.
const USE_CASES: [&str; 3] = ["page", "mark", "buy"];

/// Why a lock can be taken: whoever holds it does nothing that panics.
const NO_PANIC: &str = "no holder of the lock panics";

/// What became of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestOutcome {
    /// It was answered.
    Answered {
        /// The HTTP status.
        status: u16,
        /// Whether the answer claims to be complete.
        complete: bool,
    },
    /// The connection was refused, before anything was sent.
    ConnectionRefused,
    /// The connection broke, or no answer came in time.
    NoAnswer,
}

/// One request as its client saw it; times from the start of the run.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id, unique within the run.
    pub id: String,
    /// Its use case.
    pub use_case: &'static str,
    /// The router that it was sent to.
    pub router: usize,
    /// When it was sent.
    pub sent: Duration,
    /// When its client was done with it.
    pub ended: Duration,
    /// What became of it.
    pub outcome: RequestOutcome,
    /// Final answers that came on the connection.
    pub answers: usize,
}

/// The clients of a run.
pub struct Clients {
    stopped: Arc<AtomicBool>,
    sender: Option<thread::JoinHandle<()>>,
    finished: Arc<Mutex<Vec<Request>>>,
}

impl Clients {
    /// Sends requests at this rate to these routers, drawn by the seed. `run_start` is where times count from.
    pub fn start(routers: Vec<SocketAddr>, requests_per_s: f64, seed: u64, run_start: Instant) -> Clients {
        let stopped = Arc::new(AtomicBool::new(false));
        let finished = Arc::new(Mutex::new(Vec::new()));
        let load = Load {
            routers,
            interval: Duration::from_secs_f64(1.0 / requests_per_s),
            rng: ChaCha8Rng::seed_from_u64(seed),
            run_start,
            stopped: stopped.clone(),
            finished: finished.clone(),
        };
        Clients { stopped, sender: Some(thread::spawn(move || load.run())), finished }
    }

    /// Sends nothing more, waits for the requests in flight, and returns all of them.
    pub fn finish(mut self) -> Vec<Request> {
        self.stop();
        std::mem::take(&mut *self.finished.lock().expect(NO_PANIC))
    }

    fn stop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        if let Some(sender) = self.sender.take() {
            // A panic of the sender has been printed.
            let _ = sender.join();
        }
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.stop();
    }
}

/// What the sending thread needs.
struct Load {
    routers: Vec<SocketAddr>,
    interval: Duration,
    rng: ChaCha8Rng,
    run_start: Instant,
    stopped: Arc<AtomicBool>,
    finished: Arc<Mutex<Vec<Request>>>,
}

impl Load {
    fn run(mut self) {
        let mut in_flight = Vec::new();
        let mut next = Instant::now();
        for number in 0u64.. {
            if self.stopped.load(Ordering::Relaxed) {
                break;
            }
            thread::sleep(next.saturating_duration_since(Instant::now()));
            next += self.interval;
            in_flight.push(self.send(number));
            in_flight.retain(|client| !client.is_finished());
        }
        for client in in_flight {
            // A panic of a client has been printed.
            let _ = client.join();
        }
    }

    fn send(&mut self, number: u64) -> thread::JoinHandle<()> {
        let router = self.rng.random_range(0..self.routers.len());
        let use_case = USE_CASES[self.rng.random_range(0..USE_CASES.len())];
        let (address, run_start, finished) = (self.routers[router], self.run_start, self.finished.clone());
        thread::spawn(move || {
            let id = format!("t{number}");
            let sent = run_start.elapsed();
            let (outcome, answers) = exchange(address, &id, use_case);
            let ended = run_start.elapsed();
            let request = Request { id, use_case, router, sent, ended, outcome, answers };
            finished.lock().expect(NO_PANIC).push(request);
        })
    }
}

/// Sends a request; what became of it, and how many final answers came.
fn exchange(address: SocketAddr, id: &str, use_case: &str) -> (RequestOutcome, usize) {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, CLIENT_TIMEOUT) else {
        return (RequestOutcome::ConnectionRefused, 0);
    };
    if stream.write_all(request_text(id, use_case).as_bytes()).is_err() {
        return (RequestOutcome::NoAnswer, 0);
    }
    let answer = read_until(&mut stream, Instant::now() + CLIENT_TIMEOUT + LATE_ANSWER_GRACE);
    let text = String::from_utf8_lossy(&answer);
    let answers = text.matches("HTTP/1.1 ").count();
    let status = text.strip_prefix("HTTP/1.1 ").and_then(|rest| rest.get(..3)?.parse().ok());
    let complete = text.contains("\"finished\":true");
    let outcome =
        status.map_or(RequestOutcome::NoAnswer, |status| RequestOutcome::Answered { status, complete });
    (outcome, answers)
}

fn request_text(id: &str, use_case: &str) -> String {
    let body = r#"{"buckets":[{"bucket":0,"part":0.5},{"bucket":1,"part":0.5}],"body":"x"}"#;
    format!(
        "POST /{use_case} HTTP/1.1\r\nReq-Id: {id}\r\nReq-Deadline: {}\r\nIdempotency-Key: k{id}\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        CLIENT_TIMEOUT.as_secs_f64(),
        body.len()
    )
}

/// All bytes until the stream ends, or this time has come.
fn read_until(stream: &mut TcpStream, end: Instant) -> Vec<u8> {
    let (mut received, mut buffer) = (Vec::new(), [0; 4096]);
    loop {
        let remaining = end.saturating_duration_since(Instant::now());
        if remaining.is_zero() || stream.set_read_timeout(Some(remaining)).is_err() {
            return received;
        }
        match stream.read(&mut buffer) {
            Ok(length) if length > 0 => received.extend_from_slice(&buffer[..length]),
            _ => return received,
        }
    }
}
