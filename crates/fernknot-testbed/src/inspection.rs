//! Operator commands to a running process: inspection reports and forced views. A view is the numbered set of
//! controllers that decide on changes of the configuration; an operator forces one if too many of its members are lost.

use crate::error::ConnectionError;
use crate::peer_stream::PeerStream;
use fernknot_rpc::{ControllerToGateway, GatewayToController, InspectionTopic};
use std::io::ErrorKind;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

/// Requests a human-readable report on a process's state.
///
/// # Errors
/// The process cannot be reached, or does not respond in time.
pub fn inspect(
    peer: SocketAddrV4,
    topic: InspectionTopic,
    timeout: Duration,
) -> Result<String, ConnectionError> {
    let report = |message| match message {
        ControllerToGateway::InspectionReport(report) => Some(report),
        _ => None,
    };
    exchange(peer, &GatewayToController::Inspect(topic), timeout, report)
}

/// Requests a controller to form a view without the members whose disks are lost. Returns the view's number, or the
/// reason for the rejection.
///
/// # Errors
/// The process cannot be reached, or does not respond in time.
pub fn force_view(
    peer: SocketAddrV4,
    lost: Vec<SocketAddrV4>,
    timeout: Duration,
) -> Result<Result<u64, String>, ConnectionError> {
    let result = |message| match message {
        ControllerToGateway::ForceViewResult(result) => Some(result),
        _ => None,
    };
    exchange(peer, &GatewayToController::ForceView { lost }, timeout, result)
}

/// Sends a message on a new connection and waits for the first message that `response` accepts, ignoring others.
fn exchange<T>(
    peer: SocketAddrV4,
    message: &GatewayToController,
    timeout: Duration,
    response: impl Fn(ControllerToGateway) -> Option<T>,
) -> Result<T, ConnectionError> {
    let until = Instant::now() + timeout;
    let mut stream = PeerStream::connect(peer, timeout, "query")?;
    stream.send(message)?;
    loop {
        let remaining = until.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(stream
                .error(ErrorKind::TimedOut, "no response in time; the port may belong to another service"));
        }
        stream.receive(remaining.max(Duration::from_millis(1)))?;
        while let Some((message, _)) = stream.next_message()? {
            if let Some(response) = response(message) {
                return Ok(response);
            }
        }
    }
}
