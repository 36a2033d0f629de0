//! Stand-in of the platform's interface for usage reports. It records each call and answers as it is told to: at once,
//! slowly, never, with an error, or by a reset.

use crate::error::ConnectionError;
use crate::http::{Connection, Message, StartLine, encode_response};
use crate::sync::lock;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time within which a caller has to send its request, and for which a silent platform holds a connection.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which a connection that is held checks whether the stand-in ends.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// What the platform does with calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlatformBehavior {
    /// Accepts a call and answers at once.
    #[default]
    Accept,
    /// Accepts a call and answers after this time.
    Slow(Duration),
    /// Accepts a call and never answers.
    AcceptSilently,
    /// Reads a call, and neither accepts nor answers it.
    Silent,
    /// Accepts a call and closes the connection without an answer.
    AcceptAndClose,
    /// Answers a call with this status without accepting it.
    Reject(u16),
}

/// Call that the platform has read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedCall {
    /// Time since the start of the stand-in.
    pub at: Duration,
    /// Value of `Duty-Holder`.
    pub holder: String,
    /// Value of `Fence-Token`.
    pub token: u64,
    /// Number of the window.
    pub window: u64,
    /// Requests of each tenant.
    pub counts: BTreeMap<String, u64>,
    /// Decision of the platform.
    pub decision: CallDecision,
}

/// Decision of the platform on a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallDecision {
    /// Accepted, whether the caller learns it or not.
    Accepted,
    /// Refused with 409, because a higher token was seen.
    Fenced,
    /// Neither.
    Dropped,
}

#[derive(Default)]
struct State {
    behavior: PlatformBehavior,
    calls: Vec<ReceivedCall>,
    /// Descriptions of calls that can't be read.
    malformed: Vec<String>,
    highest_token: u64,
}

struct Shared {
    started_at: Instant,
    state: Mutex<State>,
    has_stopped: AtomicBool,
}

/// Stand-in of the platform on loopback, until it is dropped.
pub struct PlatformStandIn {
    addr: SocketAddrV4,
    shared: Arc<Shared>,
}

impl PlatformStandIn {
    /// Starts to accept calls.
    ///
    /// # Errors
    /// No port can be opened.
    pub fn start() -> Result<PlatformStandIn, ConnectionError> {
        let any_port = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        let to_error = ConnectionError::from_io("listen at", any_port);
        let listener = TcpListener::bind(any_port).map_err(&to_error)?;
        let port = listener.local_addr().map_err(&to_error)?.port();
        let shared = Arc::new(Shared {
            started_at: Instant::now(),
            state: Mutex::default(),
            has_stopped: AtomicBool::new(false),
        });
        let accepting = shared.clone();
        thread::spawn(move || accept(&accepting, &listener));
        Ok(PlatformStandIn { addr: SocketAddrV4::new(Ipv4Addr::LOCALHOST, port), shared })
    }

    /// Returns the address for calls.
    pub fn addr(&self) -> SocketAddrV4 {
        self.addr
    }

    /// Sets what the platform does with calls from now on.
    pub fn set_behavior(&self, behavior: PlatformBehavior) {
        lock(&self.shared.state).behavior = behavior;
    }

    /// Returns all calls so far, in the order received.
    pub fn calls(&self) -> Vec<ReceivedCall> {
        lock(&self.shared.state).calls.clone()
    }

    /// Returns descriptions of the calls so far that can't be read.
    pub fn malformed_calls(&self) -> Vec<String> {
        lock(&self.shared.state).malformed.clone()
    }
}

impl Drop for PlatformStandIn {
    fn drop(&mut self) {
        self.shared.has_stopped.store(true, Ordering::Relaxed);
        // Wakes the thread that accepts connections.
        let _ = TcpStream::connect(self.addr);
    }
}

fn accept(shared: &Arc<Shared>, listener: &TcpListener) {
    while let Ok((stream, from)) = listener.accept() {
        if shared.has_stopped.load(Ordering::Relaxed) {
            return;
        }
        let (SocketAddr::V4(from), Ok(handle)) = (from, stream.try_clone()) else { continue };
        let shared = shared.clone();
        thread::spawn(move || {
            serve(&shared, Connection::from_stream(stream, from));
            let _ = handle.shutdown(Shutdown::Both);
        });
    }
}

fn serve(shared: &Shared, mut connection: Connection) {
    let deadline = Instant::now() + CONNECTION_TIMEOUT;
    while let Ok(Some(request)) = connection.read_request(deadline) {
        let Some((status, wait)) = receive(shared, &request) else {
            return;
        };
        if wait_or_stop(shared, wait) {
            return;
        }
        let Some(status) = status else { return };
        if connection.send(&encode_response(status, &[], b""), deadline).is_err() {
            return;
        }
    }
}

/// Waits for this time. Returns true if the stand-in ends meanwhile.
fn wait_or_stop(shared: &Shared, wait: Duration) -> bool {
    let until = Instant::now() + wait;
    while Instant::now() < until {
        if shared.has_stopped.load(Ordering::Relaxed) {
            return true;
        }
        thread::sleep(POLL_INTERVAL.min(until.saturating_duration_since(Instant::now())));
    }
    false
}

/// Records a call. Returns the status of the answer, none for no answer, and the time until then; None if the connection
/// is to be closed at once.
fn receive(shared: &Shared, request: &Message) -> Option<(Option<u16>, Duration)> {
    let mut state = lock(&shared.state);
    let mut call = match parse_call(request) {
        Ok(call) => call,
        Err(reason) => {
            state.malformed.push(reason);
            return Some((Some(400), Duration::ZERO));
        }
    };
    call.at = shared.started_at.elapsed();
    let behavior = state.behavior;
    let is_read_only = matches!(behavior, PlatformBehavior::Silent | PlatformBehavior::Reject(_));
    call.decision = match is_read_only {
        true => CallDecision::Dropped,
        false if call.token < state.highest_token => CallDecision::Fenced,
        false => CallDecision::Accepted,
    };
    if call.decision == CallDecision::Accepted {
        state.highest_token = call.token;
    }
    let status = if call.decision == CallDecision::Fenced { 409 } else { 200 };
    state.calls.push(call);
    match behavior {
        PlatformBehavior::Accept => Some((Some(status), Duration::ZERO)),
        PlatformBehavior::Slow(wait) => Some((Some(status), wait)),
        PlatformBehavior::AcceptSilently | PlatformBehavior::Silent => Some((None, CONNECTION_TIMEOUT)),
        PlatformBehavior::AcceptAndClose => None,
        PlatformBehavior::Reject(status) => Some((Some(status), Duration::ZERO)),
    }
}

fn parse_call(request: &Message) -> Result<ReceivedCall, String> {
    let StartLine::Request { method, target } = &request.start_line else {
        return Err("not a request".into());
    };
    if (method.as_str(), target.as_str()) != ("POST", "/usage") {
        return Err(format!("{method} {target}: unknown call"));
    }
    let header = |name: &str| request.header(name).ok_or(format!("{name}: missing"));
    let token = header("Fence-Token")?.parse().map_err(|_| "Fence-Token: not a number".to_string())?;
    let holder = header("Duty-Holder")?.to_string();
    if header("Content-Type")? != "application/json" {
        return Err("Content-Type: not application/json".into());
    }
    let body: serde_json::Value =
        serde_json::from_slice(&request.body).map_err(|error| format!("body: {error}"))?;
    let window = body["window"].as_u64().ok_or("window: not a number")?;
    let counts = body["counts"].as_object().ok_or("counts: not an object")?;
    let counts = counts.iter().map(|(tenant, count)| {
        let count = count.as_u64().ok_or(format!("counts.{tenant}: not a number"))?;
        Ok((tenant.clone(), count))
    });
    let counts = counts.collect::<Result<BTreeMap<String, u64>, String>>()?;
    Ok(ReceivedCall { at: Duration::ZERO, holder, token, window, counts, decision: CallDecision::Dropped })
}
