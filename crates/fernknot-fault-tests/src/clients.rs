//! Open-loop clients: requests are sent at a fixed rate, each on its own connection, regardless of the outcome of
//! earlier ones.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time for which a client waits for its answer.
pub const CLIENT_TIMEOUT: Duration = Duration::from_millis(3000);
/// Time after the time-out in which a late answer is still recorded.
pub const LATE_ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Use cases of the requests, which the configuration defines, in this order: idempotent, idempotent under a key, and
/// non-idempotent.
const USE_CASES: [&str; 3] = ["page", "mark", "buy"];

/// Panic message for a poisoned lock.
const LOCK_NOT_POISONED: &str = "no holder of the lock panics";

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestOutcome {
    /// An answer with a valid HTTP status was received.
    Answered {
        /// HTTP status of the answer.
        status: u16,
        /// Whether the answer claims that all parts of the request were answered.
        complete: bool,
    },
    /// The connection could not be established within the client's time-out; nothing was sent.
    ConnectionRefused,
    /// The connection broke, or no answer was received in time.
    NoAnswer,
}

/// Request as seen by its client; times count from the start of the run.
#[derive(Clone, Debug)]
pub struct Request {
    /// Request id, unique within the run.
    pub id: String,
    /// Name of the use case, which is also the path of the request.
    pub use_case: &'static str,
    /// Number of the router to which the request was sent.
    pub router: usize,
    /// Time at which the client began to connect.
    pub sent: Duration,
    /// Time at which the router closed the connection, or the client gave up.
    pub ended: Duration,
    /// Outcome of the request.
    pub outcome: RequestOutcome,
    /// Number of answers received on the connection, counted by their status lines.
    pub answers: usize,
}

/// Clients of a run, which send requests until the value is finished or dropped.
pub struct Clients {
    stopped: Arc<AtomicBool>,
    sender: Option<thread::JoinHandle<()>>,
    finished: Arc<Mutex<Vec<Request>>>,
}

impl Clients {
    /// Starts sending requests at this rate, to routers and use cases drawn from the seed. Recorded times count from
    /// `run_start`.
    pub fn start(routers: Vec<SocketAddr>, requests_per_s: f64, seed: u64, run_start: Instant) -> Clients {
        let stopped = Arc::new(AtomicBool::new(false));
        let finished = Arc::new(Mutex::new(Vec::new()));
        let generator = LoadGenerator {
            routers,
            interval: Duration::from_secs_f64(1.0 / requests_per_s),
            rng: ChaCha8Rng::seed_from_u64(seed),
            run_start,
            stopped: stopped.clone(),
            finished: finished.clone(),
        };
        Clients { stopped, sender: Some(thread::spawn(move || generator.run())), finished }
    }

    /// Stops sending, waits for the requests in flight, and returns all requests.
    pub fn finish(mut self) -> Vec<Request> {
        self.stop();
        std::mem::take(&mut *self.finished.lock().expect(LOCK_NOT_POISONED))
    }

    fn stop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        if let Some(sender) = self.sender.take() {
            // The panic hook has already printed a panic of the sender.
            let _ = sender.join();
        }
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.stop();
    }
}

/// State of the thread that starts a new thread for each request.
struct LoadGenerator {
    routers: Vec<SocketAddr>,
    interval: Duration,
    rng: ChaCha8Rng,
    run_start: Instant,
    stopped: Arc<AtomicBool>,
    finished: Arc<Mutex<Vec<Request>>>,
}

impl LoadGenerator {
    fn run(mut self) {
        let mut in_flight = Vec::new();
        let mut next_send = Instant::now();
        for number in 0u64.. {
            if self.stopped.load(Ordering::Relaxed) {
                break;
            }
            thread::sleep(next_send.saturating_duration_since(Instant::now()));
            next_send += self.interval;
            in_flight.push(self.send(number));
            in_flight.retain(|client| !client.is_finished());
        }
        for client in in_flight {
            // The panic hook has already printed a panic of the client.
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
            let (outcome, answers) = send_request(address, &id, use_case);
            let ended = run_start.elapsed();
            let request = Request { id, use_case, router, sent, ended, outcome, answers };
            finished.lock().expect(LOCK_NOT_POISONED).push(request);
        })
    }
}

/// Sends a request and returns its outcome and the number of answers received.
fn send_request(address: SocketAddr, id: &str, use_case: &str) -> (RequestOutcome, usize) {
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

/// Reads until the stream ends or fails, or until `deadline`.
fn read_until(stream: &mut TcpStream, deadline: Instant) -> Vec<u8> {
    let (mut received, mut buffer) = (Vec::new(), [0; 4096]);
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() || stream.set_read_timeout(Some(remaining)).is_err() {
            return received;
        }
        match stream.read(&mut buffer) {
            Ok(length) if length > 0 => received.extend_from_slice(&buffer[..length]),
            _ => return received,
        }
    }
}
