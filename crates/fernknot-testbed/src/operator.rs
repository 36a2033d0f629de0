//! Operator that replaces and reads the configuration. A call goes to the first controller of the operator's list,
//! after each failure or response that is not final to the next one, and is repeated unchanged until a response is
//! final.

use crate::error::ConnectionError;
use crate::http::{Message, encode_request, exchange_once};
use std::net::SocketAddrV4;
use std::thread;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Time-out for the response of one controller, extended for large bodies by [`BYTES_PER_S`].
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Request body bytes for which the time-out is extended by one second.
const BYTES_PER_S: f64 = 1_000_000.0;
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(1);
const BACKOFF_FACTOR: f64 = 1.6;
const MAX_REDIRECTS: usize = 2;
/// Number of rejections (4xx other than 408 and 429) that end a call although their status is not final.
const MAX_REJECTIONS: usize = 3;

/// Outcome of a call to the controllers, retries included.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// A controller gave a final response.
    Completed {
        /// Status of the response.
        status: u16,
        /// Body of the response.
        body: Vec<u8>,
        /// Controller that responded.
        controller: SocketAddrV4,
    },
    /// No controller gave a final response in time: a change may be in force or not. Contains the last response or error of
    /// each controller, for a person to read.
    Unclear(Vec<String>),
}

/// Error of a call to one controller.
#[derive(Debug, Error)]
enum CallError {
    #[error(transparent)]
    Connection(#[from] ConnectionError),
    #[error("{0} sent a redirect without a valid address")]
    BadRedirect(SocketAddrV4),
    #[error("more than {MAX_REDIRECTS} redirects, the last one to {0}")]
    TooManyRedirects(SocketAddrV4),
}

/// Call that can be sent to any controller.
struct Call<'call> {
    method: &'static str,
    path: &'static str,
    /// Header lines without their line ends, `Host` excepted.
    headers: &'call [String],
    body: &'call [u8],
}

/// Client of the controllers' configuration interface.
#[derive(Clone, Debug)]
pub struct Operator {
    /// Control addresses of controllers.
    pub addrs: Vec<SocketAddrV4>,
    /// Time-out of a call, retries included.
    pub timeout: Duration,
}

impl Operator {
    /// Replaces the configuration of version `base` (0 if there is none yet) with a new one, given as JSON.
    pub fn replace(&self, body: &[u8], base: u64) -> CallOutcome {
        let headers = [format!("Base-Epoch: {base}"), "Content-Type: application/json".into()];
        self.call(&Call { method: "POST", path: "/-/config/replace", headers: &headers, body })
    }

    /// Reads the newest configuration.
    pub fn read(&self) -> CallOutcome {
        self.call(&Call { method: "GET", path: "/-/config/read", headers: &[], body: b"" })
    }

    fn call(&self, call: &Call<'_>) -> CallOutcome {
        let started_at = Instant::now();
        let mut last_results: Vec<String> = vec![String::new(); self.addrs.len()];
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
                    last_results[index] = format!("{controller} returned {status} {}", text.trim());
                }
                Err(error) => last_results[index] = error.to_string(),
            }
            if started_at.elapsed() + backoff > self.timeout {
                break;
            }
            thread::sleep(backoff);
            backoff = backoff.mul_f64(BACKOFF_FACTOR).min(MAX_BACKOFF);
        }
        last_results.retain(|result| !result.is_empty());
        CallOutcome::Unclear(last_results)
    }
}

/// Whether a status rejects the call. Another controller may still accept the call.
fn is_rejection(status: u16) -> bool {
    matches!(status, 400..500) && !matches!(status, 408 | 429)
}

/// Whether a status ends the call at once.
fn is_final(status: u16) -> bool {
    matches!(status, 200..300 | 400 | 409 | 412 | 413 | 422)
}

/// Sends a call to one controller and follows its redirects. Returns the response and the controller that gave it.
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
