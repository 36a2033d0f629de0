//! What is said to a running process at its inner port.

use fernknot_ownership::{GatewayRecord, IncarnationId};
use fernknot_protocol::buffer::Buffer;
use fernknot_rpc::{
    ControllerToGateway, GatewayToController, InspectionTopic, Subscription, read_message, write_message,
};
use std::io::{Error, ErrorKind, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::time::{Duration, Instant};

use crate::wire::WireError;

/// The largest word that is read, in bytes.
const MOST: usize = 32 << 20;
/// How often a listener says that it lives.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(200);

fn open(peer: SocketAddrV4, within: Duration) -> Result<TcpStream, WireError> {
    let stream = TcpStream::connect_timeout(&SocketAddr::V4(peer), within);
    stream.map_err(|why| WireError { step: "connect to", peer, why })
}

/// Asks a process what it holds; the answer is for a person to read.
///
/// # Errors
/// Where it can't be reached, or says nothing within the time.
pub fn ask(peer: SocketAddrV4, question: InspectionTopic, within: Duration) -> Result<String, WireError> {
    let text = |word| match word {
        ControllerToGateway::InspectionReport(text) => Some(text),
        _ => None,
    };
    exchange(peer, &GatewayToController::Inspect(question), within, text)
}

/// Orders a registrar to make a view without those whose disks are lost: its number, or why it refuses.
///
/// # Errors
/// Where it can't be reached, or says nothing within the time.
pub fn force_view(
    peer: SocketAddrV4,
    lost: Vec<SocketAddrV4>,
    within: Duration,
) -> Result<Result<u64, String>, WireError> {
    let end = |word| match word {
        ControllerToGateway::ForceViewResult(end) => Some(end),
        _ => None,
    };
    exchange(peer, &GatewayToController::ForceView { lost }, within, end)
}

/// Says a word, and waits for the one that answers it.
fn exchange<T>(
    peer: SocketAddrV4,
    word: &GatewayToController,
    within: Duration,
    answer: impl Fn(ControllerToGateway) -> Option<T>,
) -> Result<T, WireError> {
    let until = Instant::now() + within;
    let mut stream = open(peer, within)?;
    let fail = |step| move |why| WireError { step, peer, why };
    let mut out = Buffer::default();
    write_message(&mut out, word);
    stream.write_all(out.data()).map_err(fail("write to"))?;
    let mut input = Buffer::default();
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            let why = Error::new(ErrorKind::TimedOut, "it does not answer questions there");
            return Err(WireError { step: "ask", peer, why });
        }
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).map_err(fail("read from"))?;
        match stream.read(input.space(16 * 1024)) {
            Ok(0) => {
                let why = Error::new(ErrorKind::UnexpectedEof, "it closed without an answer");
                return Err(WireError { step: "read from", peer, why });
            }
            Ok(count) => input.filled(count),
            Err(why) if matches!(why.kind(), ErrorKind::Interrupted | ErrorKind::WouldBlock) => {}
            Err(why) => return Err(fail("read from")(why)),
        }
        let bad = |why| WireError { step: "read from", peer, why: Error::new(ErrorKind::InvalidData, why) };
        while let Some(word) = read_message::<ControllerToGateway>(&mut input, MOST).map_err(bad)? {
            if let Some(answer) = answer(word) {
                return Ok(answer);
            }
        }
    }
}

/// What a listener got.
#[derive(Clone, Copy, Debug, Default)]
pub struct SubscriptionTraffic {
    /// Bytes of all it was told at first, up to the word that it is whole.
    pub snapshot_bytes: usize,
    /// Bytes and words after that, and for how long.
    pub update_bytes: usize,
    pub update_messages: usize,
    pub seconds: f64,
    /// How long it took until it was whole, in seconds.
    pub snapshot_s: f64,
}

/// Listens at a registrar or a home as a gateway does, and counts what comes for so long after it is whole.
/// `life` must be no other listener's.
///
/// # Errors
/// Where it can't be reached, or tells no whole within the time.
pub fn count_subscription_traffic(
    peer: SocketAddrV4,
    zone: &str,
    life: u64,
    span: Duration,
) -> Result<SubscriptionTraffic, WireError> {
    let mut stream = open(peer, span)?;
    let fail = |step| move |why| WireError { step, peer, why };
    let who = GatewayRecord {
        incarnation: IncarnationId(life),
        addr: SocketAddrV4::new([127, 0, 0, 1].into(), 9),
        zone: zone.into(),
    };
    let mut out = Buffer::default();
    write_message(
        &mut out,
        &GatewayToController::Subscribe {
            gateway: who,
            ready: false,
            subscription: Subscription::All,
            revision: 0,
        },
    );
    stream.write_all(out.data()).map_err(fail("write to"))?;
    out.consume(out.len());
    write_message(&mut out, &GatewayToController::Heartbeat { ready: false });
    let mut input = Buffer::default();
    let (begun, mut alive) = (Instant::now(), Instant::now());
    let mut told = SubscriptionTraffic::default();
    let mut whole_at: Option<Instant> = None;
    loop {
        let now = Instant::now();
        if whole_at.is_some_and(|at| now >= at + span) {
            told.seconds = span.as_secs_f64();
            return Ok(told);
        }
        if whole_at.is_none() && now >= begun + span {
            let why = Error::new(ErrorKind::TimedOut, "it never told that this was all");
            return Err(WireError { step: "listen to", peer, why });
        }
        if now >= alive + KEEPALIVE_INTERVAL {
            alive = now;
            stream.write_all(out.data()).map_err(fail("write to"))?;
        }
        stream.set_read_timeout(Some(Duration::from_millis(20))).map_err(fail("read from"))?;
        match stream.read(input.space(64 * 1024)) {
            Ok(0) => {
                let why = Error::new(ErrorKind::UnexpectedEof, "it closed");
                return Err(WireError { step: "listen to", peer, why });
            }
            Ok(count) => input.filled(count),
            Err(why) if matches!(why.kind(), ErrorKind::Interrupted | ErrorKind::WouldBlock) => {}
            Err(why) => return Err(fail("listen to")(why)),
        }
        loop {
            let before = input.len();
            let bad =
                |why| WireError { step: "listen to", peer, why: Error::new(ErrorKind::InvalidData, why) };
            let Some(word) = read_message::<ControllerToGateway>(&mut input, MOST).map_err(bad)? else {
                break;
            };
            let size = before - input.len();
            if whole_at.is_some() {
                told.update_bytes += size;
                told.update_messages += 1;
            } else {
                told.snapshot_bytes += size;
                if matches!(word, ControllerToGateway::SnapshotComplete) {
                    whole_at = Some(Instant::now());
                    told.snapshot_s = begun.elapsed().as_secs_f64();
                }
            }
        }
    }
}
