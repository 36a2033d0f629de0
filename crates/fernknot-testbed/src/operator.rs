//! An operator that sends configurations and reads them back, by the users' pages: any controller will do, another one
//! after a failure, and a call without a clear response is repeated unchanged.

use crate::error::ConnectionError;
use crate::http::{Message, encode_request, exchange_once};
use std::net::SocketAddrV4;
use std::thread;
use std::time::{Duration, Instant};
use thiserror::Error;

/// A controller without a response for so long is passed over; a large body may take longer.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes that a body may take a second more for.
const BYTES_PER_S: f64 = 1_000_000.0;
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(1);
const BACKOFF_FACTOR: f64 = 1.6;
const MAX_REDIRECTS: usize = 2;
/// A rejection that may not be final ends a call only when it comes so often.
const MAX_REJECTIONS: usize = 3;

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// A final response.
    Completed {
        /// Its status.
        status: u16,
        /// Its body.
        body: Vec<u8>,
        /// Who gave it.
        controller: SocketAddrV4,
    },
    /// No clear response in time; what each controller answered last, for a person to read. A change may be in force or
    /// not.
    Unclear(Vec<String>),
}

/// Why one controller gave no response.
#[derive(Debug, Error)]
enum CallError {
    #[error(transparent)]
    Connection(#[from] ConnectionError),
    #[error("{0} redirects to no address")]
    BadRedirect(SocketAddrV4),
    #[error("{0} redirects once more after {MAX_REDIRECTS} times")]
    TooManyRedirects(SocketAddrV4),
}

/// One call, as it is sent to any controller.
struct Call<'call> {
    method: &'static str,
    path: &'static str,
    /// Whole header lines.
    headers: &'call [String],
    body: &'call [u8],
}

/// The operator.
#[derive(Clone, Debug)]
pub struct Operator {
    /// Control addresses of controllers.
    pub addrs: Vec<SocketAddrV4>,
    /// How long a call goes on.
    pub timeout: Duration,
}

impl Operator {
    /// Sends a configuration that builds on the version `base`, 0 for the first.
    pub fn replace(&self, body: &[u8], base: u64) -> CallOutcome {
        let headers = [format!("Base-Epoch: {base}"), "Content-Type: application/json".into()];
        self.call(&Call { method: "POST", path: "/-/config/replace", headers: &headers, body })
    }

    /// Asks for the newest configuration.
    pub fn read(&self) -> CallOutcome {
        self.call(&Call { method: "GET", path: "/-/config/read", headers: &[], body: b"" })
    }

    fn call(&self, call: &Call<'_>) -> CallOutcome {
        let started_at = Instant::now();
        let mut answers: Vec<String> = vec![String::new(); self.addrs.len()];
        let mut rejections = 0;
        let mut backoff = INITIAL_BACKOFF;
        for index in (0..self.addrs.len()).cycle() {
            match call_one(self.addrs[index], call) {
                Ok((response, controller)) => {
                    let status = response.status();
                    rejections += usize::from(is_rejection(status));
                    if is_final(status) || rejections >= MAX_REJECTIONS {
                        return CallOutcome::Completed { status, body: response.body, controller };
                    }
                    let text = String::from_utf8_lossy(&response.body);
                    answers[index] = format!("{controller} says {status} {}", text.trim());
                }
                Err(error) => answers[index] = error.to_string(),
            }
            if started_at.elapsed() + backoff > self.timeout {
                break;
            }
            thread::sleep(backoff);
            backoff = backoff.mul_f64(BACKOFF_FACTOR).min(MAX_BACKOFF);
        }
        answers.retain(|answer| !answer.is_empty());
        CallOutcome::Unclear(answers)
    }
}

/// Whether a status rejects the call, though perhaps not for good.
fn is_rejection(status: u16) -> bool {
    matches!(status, 400..500) && !matches!(status, 408 | 429)
}

/// Whether a status ends the call.
fn is_final(status: u16) -> bool {
    matches!(status, 200..300 | 400 | 409 | 412 | 413 | 422)
}

/// A response of one controller, or of one that it redirects to, and who gave it.
fn call_one(addr: SocketAddrV4, call: &Call<'_>) -> Result<(Message, SocketAddrV4), CallError> {
    let timeout = RESPONSE_TIMEOUT + Duration::from_secs_f64(call.body.len() as f64 / BYTES_PER_S);
    let (mut addr, mut path) = (addr, call.path.to_string());
    for _ in 0..=MAX_REDIRECTS {
        let mut headers = vec![format!("Host: {addr}")];
        headers.extend_from_slice(call.headers);
        let request = encode_request(call.method, &path, &headers, call.body);
        let response = exchange_once(addr, &request, timeout)?;
        if response.status() != 307 {
            return Ok((response, addr));
        }
        (addr, path) = redirect_target(&response).ok_or(CallError::BadRedirect(addr))?;
    }
    Err(CallError::TooManyRedirects(addr))
}

fn redirect_target(response: &Message) -> Option<(SocketAddrV4, String)> {
    let (host, path) = response.header("location")?.strip_prefix("http://")?.split_once('/')?;
    Some((host.parse().ok()?, format!("/{path}")))
}
