//! A subscriber that counts what it is sent.

use crate::error::ConnectionError;
use crate::peer_stream::PeerStream;
use fernknot_ownership::{GatewayRecord, IncarnationId};
use fernknot_rpc::{ControllerToGateway, GatewayToController, Subscription};
use std::io::ErrorKind;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

/// How often a subscriber says that it is alive.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// For so long it waits for more at one time.
const READ_TIMEOUT: Duration = Duration::from_millis(20);

/// What a subscriber received.
#[derive(Clone, Copy, Debug, Default)]
pub struct SubscriptionTraffic {
    /// Bytes of the first snapshot, up to the message that it is complete.
    pub snapshot_bytes: usize,
    /// Bytes after that.
    pub update_bytes: usize,
    /// Messages after that.
    pub update_messages: usize,
    /// For how long updates were counted, in seconds.
    pub seconds: f64,
    /// How long it took until the snapshot was complete, in seconds.
    pub snapshot_s: f64,
}

/// Subscribes to a controller or a relay as a gateway does, and counts what comes for so long after the snapshot is
/// complete. No other subscriber may have this incarnation.
///
/// # Errors
/// It can't be reached, or sends no complete snapshot within the time.
pub fn count_subscription_traffic(
    peer: SocketAddrV4,
    zone: &str,
    incarnation: u64,
    span: Duration,
) -> Result<SubscriptionTraffic, ConnectionError> {
    let mut stream = PeerStream::connect(peer, span, "subscribe to")?;
    stream.send(&subscribe_message(zone, incarnation))?;
    let started_at = Instant::now();
    let mut last_heartbeat = started_at;
    let mut counter =
        TrafficCounter { started_at, snapshot_at: None, traffic: SubscriptionTraffic::default() };
    loop {
        let now = Instant::now();
        match counter.snapshot_at {
            Some(snapshot_at) if now >= snapshot_at + span => return Ok(counter.finish(span)),
            None if now >= started_at + span => {
                return Err(stream.error(ErrorKind::TimedOut, "it sent no complete snapshot"));
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
    /// When the snapshot was complete.
    snapshot_at: Option<Instant>,
    traffic: SubscriptionTraffic,
}

impl TrafficCounter {
    fn count(&mut self, message: &ControllerToGateway, bytes: usize) {
        if self.snapshot_at.is_some() {
            self.traffic.update_bytes += bytes;
            self.traffic.update_messages += 1;
            return;
        }
        self.traffic.snapshot_bytes += bytes;
        if matches!(message, ControllerToGateway::SnapshotComplete) {
            self.snapshot_at = Some(Instant::now());
            self.traffic.snapshot_s = self.started_at.elapsed().as_secs_f64();
        }
    }

    fn finish(self, span: Duration) -> SubscriptionTraffic {
        SubscriptionTraffic { seconds: span.as_secs_f64(), ..self.traffic }
    }
}
