//! Subscriber that counts the messages and bytes that it receives. A controller or relay (a gateway that passes updates
//! on to others) first sends a subscriber a snapshot: the configuration and all nodes, up to a message that completes
//! it.

use crate::error::ConnectionError;
use crate::peer_stream::PeerStream;
use fernknot_ownership::{GatewayRecord, IncarnationId};
use fernknot_rpc::{ControllerToGateway, GatewayToController, Subscription};
use std::io::ErrorKind;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

/// Time between heartbeats of the subscriber.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Time-out of one read, after which heartbeats and the end of the measurement are checked.
const READ_TIMEOUT: Duration = Duration::from_millis(20);

/// Traffic that a subscriber received.
#[derive(Clone, Copy, Debug, Default)]
pub struct SubscriptionTraffic {
    /// Size of the first snapshot, up to and including the message that completes it, in bytes.
    pub snapshot_bytes: usize,
    /// Number of bytes received after the snapshot.
    pub update_bytes: usize,
    /// Number of messages received after the snapshot.
    pub update_messages: usize,
    /// Time after the snapshot for which updates were counted, in seconds.
    pub seconds: f64,
    /// Time from the subscription until the snapshot was complete, in seconds.
    pub snapshot_s: f64,
}

/// Subscribes to a controller or a relay as a gateway does, and counts the received traffic until `duration` after the
/// snapshot. No other subscriber may use the same incarnation.
///
/// # Errors
/// The process cannot be reached, or sends no complete snapshot within `duration`.
pub fn count_subscription_traffic(
    peer: SocketAddrV4,
    zone: &str,
    incarnation: u64,
    duration: Duration,
) -> Result<SubscriptionTraffic, ConnectionError> {
    let mut stream = PeerStream::connect(peer, duration, "subscribe to")?;
    stream.send(&subscribe_message(zone, incarnation))?;
    let started_at = Instant::now();
    let mut last_heartbeat = started_at;
    let mut counter =
        TrafficCounter { started_at, snapshot_completed_at: None, traffic: SubscriptionTraffic::default() };
    loop {
        let now = Instant::now();
        match counter.snapshot_completed_at {
            Some(completed_at) if now >= completed_at + duration => return Ok(counter.finish(duration)),
            None if now >= started_at + duration => {
                return Err(stream.error(ErrorKind::TimedOut, "no complete snapshot received in time"));
            }
            _ => {}
        }
        if now >= last_heartbeat + HEARTBEAT_INTERVAL {
            last_heartbeat = now;
            stream.send(&GatewayToController::Heartbeat { ready: false })?;
        }
        stream.receive(READ_TIMEOUT)?;
        while let Some((message, bytes)) = stream.next_message()? {
            counter.count(&message, bytes);
        }
    }
}

fn subscribe_message(zone: &str, incarnation: u64) -> GatewayToController {
    let gateway = GatewayRecord {
        incarnation: IncarnationId(incarnation),
        addr: SocketAddrV4::new([127, 0, 0, 1].into(), 9),
        zone: zone.into(),
    };
    GatewayToController::Subscribe { gateway, ready: false, subscription: Subscription::All, revision: 0 }
}

struct TrafficCounter {
    started_at: Instant,
    /// Time at which the snapshot was complete; none before.
    snapshot_completed_at: Option<Instant>,
    traffic: SubscriptionTraffic,
}

impl TrafficCounter {
    fn count(&mut self, message: &ControllerToGateway, bytes: usize) {
        if self.snapshot_completed_at.is_some() {
            self.traffic.update_bytes += bytes;
            self.traffic.update_messages += 1;
            return;
        }
        self.traffic.snapshot_bytes += bytes;
        if matches!(message, ControllerToGateway::SnapshotComplete) {
            self.snapshot_completed_at = Some(Instant::now());
            self.traffic.snapshot_s = self.started_at.elapsed().as_secs_f64();
        }
    }

    fn finish(self, duration: Duration) -> SubscriptionTraffic {
        SubscriptionTraffic { seconds: duration.as_secs_f64(), ..self.traffic }
    }
}
