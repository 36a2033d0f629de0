//! Stand-in of the operator: replaces and reads the configuration at any controller, as PROTOCOL.md says.

use crate::http::{Message, call};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Acknowledged,
    /// The call stopped with this status.
    Refused(u16),
    /// No clear answer until the time was over; the last answer.
    Unclear(String),
}

pub struct Operator {
    pub controllers: Vec<SocketAddrV4>,
    /// Time without an answer after which the next controller is called.
    pub silence: Duration,
    next: usize,
}

impl Operator {
    pub fn new(controllers: Vec<SocketAddrV4>) -> Operator {
        Operator { controllers, silence: Duration::from_secs(1), next: 0 }
    }

    /// Sends a whole configuration until there is a clear answer or the time is over.
    pub fn replace(&mut self, base: u64, body: &[u8], within: Duration) -> Outcome {
        let started_at = Instant::now();
        let mut pause = Duration::from_millis(50);
        let mut last = String::from("no answer");
        let mut other_refusals = 0;
        while started_at.elapsed() < within {
            let to = self.controllers[self.next % self.controllers.len()];
            let fields = [("Base-Epoch", base.to_string()), ("Content-Type", "application/json".to_string())];
            match call(to, "POST", "/-/config/replace", &fields, body, self.silence) {
                Ok(answer) => match answer.status() {
                    200 => return Outcome::Acknowledged,
                    status @ (400 | 409 | 412 | 413 | 422) => return Outcome::Refused(status),
                    status => {
                        last = format!("{to}: {status} {}", String::from_utf8_lossy(&answer.body).trim());
                        if (400..500).contains(&status) && status != 408 && status != 429 {
                            other_refusals += 1;
                            if other_refusals == 3 {
                                return Outcome::Refused(status);
                            }
                        }
                    }
                },
                Err(error) => last = format!("{to}: {error}"),
            }
            self.next += 1;
            std::thread::sleep(pause);
            pause = (pause * 2).min(Duration::from_millis(500));
        }
        Outcome::Unclear(last)
    }

    /// Reads the configuration back, at one controller after the other, until one answers 200 or the time is over.
    pub fn read(&mut self, within: Duration) -> Result<Message, String> {
        let started_at = Instant::now();
        let mut last = String::from("no answer");
        while started_at.elapsed() < within {
            let to = self.controllers[self.next % self.controllers.len()];
            self.next += 1;
            match call(to, "GET", "/-/config/read", &[], b"", self.silence) {
                Ok(answer) if answer.status() == 200 => return Ok(answer),
                Ok(answer) => {
                    last = format!("{to}: {} {}", answer.status(), String::from_utf8_lossy(&answer.body).trim())
                }
                Err(error) => last = format!("{to}: {error}"),
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err(last)
    }
}

/// Returns the number that stands behind `"epoch":` at the start of a configuration.
pub fn epoch_of(body: &[u8]) -> Option<u64> {
    let head = String::from_utf8_lossy(&body[..body.len().min(400)]).into_owned();
    let rest = head.split("\"epoch\":").nth(1)?;
    rest.trim_start().chars().take_while(char::is_ascii_digit).collect::<String>().parse().ok()
}
