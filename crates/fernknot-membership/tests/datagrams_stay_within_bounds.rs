//! Arbitrary received datagrams are safe, and sent datagrams stay within their bounds.

mod common;

use common::{PROBE_PERIOD_NANOS, SETTINGS, gossip, message, poll_actions, start_router};
use fernknot::interface::Nanos;
use fernknot_membership::*;
use proptest::prelude::*;

const NANOS_PER_SECOND: u64 = 1_000_000_000;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]
    /// Received bytes cause no panic, and no member's incarnation decreases.
    #[test]
    fn arbitrary_bytes_cause_no_panic_and_no_older_incarnation(
        datagrams in prop::collection::vec((1u32..8, prop::collection::vec(any::<u8>(), 0..300)), 1..30),
    ) {
        let mut router = start_router(0, 6);
        for (from, mut bytes) in datagrams {
            bytes.insert(0, DATAGRAM_PREFIX);
            let before: Vec<Incarnation> = router.members().map(|member| member.state.incarnation).collect();
            let result = router.receive(Nanos(5), Some(RouterId(from)), &bytes);
            prop_assert!(from < 6 || result == Err(RejectReason::UnknownSender));
            let after = router.members().map(|member| member.state.incarnation);
            prop_assert!(before.iter().zip(after).all(|(before, after)| *before <= after));
            std::iter::from_fn(|| router.poll_action(Nanos(5))).take(1000).for_each(drop);
        }
    }

    /// Datagrams stay within the maximum size and rate, whatever is received.
    #[test]
    fn datagrams_sent_stay_within_size_and_rate(
        pings in prop::collection::vec((1u32..40, 0u64..3 * PROBE_PERIOD_NANOS), 0..200),
    ) {
        let settings = MembershipSettings { datagrams_per_s: 20.0, ..SETTINGS };
        let all = (0..40).map(RouterId);
        let mut router = MembershipProtocol::new(1, settings, RouterId(0), 1, 5, all, Nanos(0));
        let mut pings = pings;
        pings.sort_by_key(|(_, at)| *at);
        let idle_wakeups = (0..60).map(|index| (0, 3 * PROBE_PERIOD_NANOS + index * PROBE_PERIOD_NANOS / 4));
        let mut sent: Vec<u64> = Vec::new();
        let mut now = Nanos(0);
        for (from, at) in pings.into_iter().chain(idle_wakeups) {
            now = now.max(Nanos(at));
            router.wake(now);
            let ping = message(from, 9, MessageBody::Ping { number: 1 }, Vec::new());
            let _ = router.receive(now, Some(RouterId(from)), &ping);
            for action in poll_actions(&mut router, now) {
                if let Action::Send { bytes, .. } = action {
                    prop_assert!(bytes.len() <= 256);
                    sent.push(now.0);
                }
            }
        }
        for first in &sent {
            let within = sent.iter().filter(|at| (*first..*first + NANOS_PER_SECOND).contains(at)).count();
            prop_assert!(within <= 20, "{within} datagrams in a second");
        }
    }
}

#[test]
fn messages_of_another_version_are_distinguished_from_malformed_ones() {
    let mut router = start_router(0, 3);
    let mut bytes = gossip(1, Vec::new());
    bytes[1] = MESSAGE_VERSION + 1;
    assert_eq!(router.receive(Nanos(1), Some(RouterId(1)), &bytes), Err(RejectReason::UnsupportedVersion));
    assert_eq!(router.receive(Nanos(1), Some(RouterId(1)), &bytes[..1]), Err(RejectReason::Malformed));
}
