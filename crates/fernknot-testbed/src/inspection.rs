//! Questions of an operator to a running process.

use crate::error::ConnectionError;
use crate::peer_stream::PeerStream;
use fernknot_rpc::{ControllerToGateway, GatewayToController, InspectionTopic};
use std::io::ErrorKind;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

/// Asks a process what it holds; the report is for a person to read.
///
/// # Errors
/// It can't be reached, or doesn't answer within the time.
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

/// Asks a controller to make a view without those whose disks are lost: its number, or why it refuses.
///
/// # Errors
/// It can't be reached, or doesn't answer within the time.
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

/// Sends a message, and waits for the one that answers it.
fn exchange<T>(
    peer: SocketAddrV4,
    message: &GatewayToController,
    timeout: Duration,
    answer: impl Fn(ControllerToGateway) -> Option<T>,
) -> Result<T, ConnectionError> {
    let until = Instant::now() + timeout;
    let mut stream = PeerStream::connect(peer, timeout, "ask")?;
    stream.send(message)?;
    loop {
        let remaining = until.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(stream.error(ErrorKind::TimedOut, "it does not answer questions there"));
        }
        stream.receive(remaining.max(Duration::from_millis(1)))?;
        while let Some((message, _)) = stream.next_message()? {
            if let Some(answer) = answer(message) {
                return Ok(answer);
            }
        }
    }
}
