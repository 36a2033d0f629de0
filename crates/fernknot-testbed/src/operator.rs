//! One who sends configurations and reads them back, as PROTOCOL says of the operator: any registrar will do,
//! another one after a failure, and a call without a clear end is repeated unchanged.

use crate::wire::{self, Message};
use std::net::SocketAddrV4;
use std::thread;
use std::time::{Duration, Instant};

/// A registrar that says nothing for so long is passed over; a large body may take longer.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes that a body may take a second more for.
const BYTES_PER_S: f64 = 1_000_000.0;
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(1);
const MAX_REDIRECTS: usize = 2;
/// A refusal that is none of the final ones ends a call only when it comes so often.
const MAX_REJECTIONS: usize = 3;

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// A final answer: the status, its body, and who gave it.
    Completed { status: u16, body: Vec<u8>, controller: SocketAddrV4 },
    /// No clear answer in time; what each said last. A change may be in force or not.
    Unclear(Vec<String>),
}

/// The operator.
#[derive(Clone, Debug)]
pub struct Operator {
    /// Control addresses of registrars.
    pub addrs: Vec<SocketAddrV4>,
    /// How long a call goes on.
    pub timeout: Duration,
}

impl Operator {
    /// Sends a configuration that builds on the version `base`, 0 for the first.
    pub fn replace(&self, body: &[u8], base: u64) -> CallOutcome {
        let lines = [format!("Base-Epoch: {base}"), "Content-Type: application/json".into()];
        self.call("POST", "/-/config/replace", &lines, body)
    }

    /// Asks for the newest configuration.
    pub fn read(&self) -> CallOutcome {
        self.call("GET", "/-/config/read", &[], b"")
    }

    fn call(&self, method: &str, path: &str, lines: &[String], body: &[u8]) -> CallOutcome {
        let begun = Instant::now();
        let mut said: Vec<String> = vec![String::new(); self.addrs.len()];
        let mut refusals = 0;
        let mut pause = INITIAL_BACKOFF;
        for at in (0..self.addrs.len()).cycle() {
            let addr = self.addrs[at];
            match self.call_one(addr, method, path, lines, body) {
                Ok((answer, by)) => {
                    let status = answer.status();
                    refusals += usize::from(matches!(status, 400..500) && !matches!(status, 408 | 429));
                    let clear = matches!(status, 200..300 | 400 | 409 | 412 | 413 | 422);
                    if clear || refusals >= MAX_REJECTIONS {
                        return CallOutcome::Completed { status, body: answer.body, controller: by };
                    }
                    said[at] = format!("{by} says {status} {}", String::from_utf8_lossy(&answer.body).trim());
                }
                Err(why) => said[at] = why,
            }
            if begun.elapsed() + pause > self.timeout {
                break;
            }
            thread::sleep(pause);
            pause = pause.mul_f64(1.6).min(MAX_BACKOFF);
        }
        said.retain(|said| !said.is_empty());
        CallOutcome::Unclear(said)
    }

    fn call_one(
        &self,
        addr: SocketAddrV4,
        method: &str,
        path: &str,
        lines: &[String],
        body: &[u8],
    ) -> Result<(Message, SocketAddrV4), String> {
        let silence = RESPONSE_TIMEOUT + Duration::from_secs_f64(body.len() as f64 / BYTES_PER_S);
        let (mut addr, mut path) = (addr, path.to_string());
        for _ in 0..=MAX_REDIRECTS {
            let mut all = vec![format!("Host: {addr}")];
            all.extend_from_slice(lines);
            let bytes = wire::encode_request(method, &path, &all, body);
            let answer = wire::exchange_once(addr, &bytes, silence).map_err(|why| why.to_string())?;
            if answer.status() != 307 {
                return Ok((answer, addr));
            }
            let place = answer.header("location").and_then(|place| place.strip_prefix("http://"));
            let (host, rest) = place.and_then(|place| place.split_once('/')).unwrap_or_default();
            addr = host.parse().map_err(|_| format!("{addr} names no place to go on at"))?;
            path = format!("/{rest}");
        }
        Err(format!("{addr} sends on once more after {MAX_REDIRECTS} times"))
    }
}
