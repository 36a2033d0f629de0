//! Views from words in any order, and what one router makes of silence, lateness and strangers.

use fernknot::interface::Nanos;
use fernknot_membership::*;
use proptest::prelude::*;
use test_case::test_case;

const PERIOD: u64 = 100_000_000;
const FACTS: FleetFacts =
    FleetFacts { period: Nanos(PERIOD), datagrams_per_s: 100.0, datagram: 256, variant: Variant::Fleet };

fn fleet(own: u32, routers: u32) -> Fleet {
    Fleet::new(7, FACTS, RouterId(own), own + 100, 5_000, (0..routers).map(RouterId), Nanos(0))
}

fn message(from: u32, incarnation: u64, body: Body, rumours: Vec<Rumour>) -> Vec<u8> {
    let (name, started) = (from + 100, 1_000);
    Message { version: VERSION, name, started, incarnation: Incarnation(incarnation), body, rumours }
        .write(256)
        .0
}

fn rumour(of: u32, incarnation: u64, verdict: Verdict, by: u32) -> Rumour {
    let standing = Standing { incarnation: Incarnation(incarnation), verdict };
    Rumour { of: RouterId(of), standing, by: Some(RouterId(by)) }
}

/// Lets time pass in turns; what is sent gets lost.
fn pass(fleet: &mut Fleet, from: Nanos, periods: u64) -> (Nanos, Vec<Step>) {
    let (mut now, mut steps) = (from, Vec::new());
    for _ in 0..periods * 5 {
        now = now + Nanos(PERIOD / 5);
        fleet.woke(now);
        steps.extend(std::iter::from_fn(|| fleet.next(now)));
    }
    (now, steps)
}

fn verdict() -> impl Strategy<Value = Verdict> {
    prop_oneof![
        Just(Verdict::Alive),
        (0u8..3).prop_map(|round| Verdict::Doubted { round }),
        Just(Verdict::Lost),
        Just(Verdict::Left)
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]
    /// Promise: the same words, in any order and however often, end in the same view.
    #[test]
    fn any_order_and_repetition_ends_in_the_same_view(
        words in prop::collection::vec((1u32..4, 1u64..4, verdict(), 1u32..4), 1..12),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..24),
    ) {
        let hear = |fleet: &mut Fleet, (of, incarnation, verdict, by): &(u32, u64, Verdict, u32)| {
            let bytes = message(4, 1, Body::News, vec![rumour(*of, *incarnation, *verdict, *by)]);
            fleet.heard(Nanos(1), Some(RouterId(4)), &bytes).unwrap();
        };
        let (mut one, mut other) = (fleet(0, 6), fleet(0, 6));
        words.iter().for_each(|word| hear(&mut one, word));
        order.iter().for_each(|index| hear(&mut other, index.get(&words)));
        words.iter().rev().for_each(|word| hear(&mut other, word));
        // A verdict of others is a doubt until its time is over, so that both are looked at after it.
        let view = |fleet: &mut Fleet| {
            let (mut now, mut ended) = (Nanos(0), Vec::new());
            for _ in 0..450 {
                let bytes = message(4, 1, Body::News, Vec::new());
                now = pass(fleet, now, 1).0;
                fleet.heard(now, Some(RouterId(4)), &bytes).unwrap();
            }
            for member in fleet.members().filter(|member| (1..4).contains(&member.id.0)) {
                let lives = member.standing.lives();
                ended.push((member.id, member.standing.incarnation, lives, member.standing.verdict == Verdict::Left));
            }
            ended
        };
        prop_assert_eq!(view(&mut one), view(&mut other));
    }

    /// Promise: no bytes make it panic, and a verdict never goes back to an older incarnation.
    #[test]
    fn strange_bytes_are_refused_or_taken_without_harm(
        datagrams in prop::collection::vec((1u32..8, prop::collection::vec(any::<u8>(), 0..300)), 1..30),
    ) {
        let mut fleet = fleet(0, 6);
        for (from, mut bytes) in datagrams {
            bytes.insert(0, MARK);
            let before: Vec<Incarnation> = fleet.members().map(|member| member.standing.incarnation).collect();
            let taken = fleet.heard(Nanos(5), Some(RouterId(from)), &bytes);
            prop_assert!(from < 6 || taken == Err(Refused::Stranger));
            let after = fleet.members().map(|member| member.standing.incarnation);
            prop_assert!(before.iter().zip(after).all(|(before, after)| *before <= after));
            std::iter::from_fn(|| fleet.next(Nanos(5))).take(1000).for_each(drop);
        }
    }

    /// Promise: datagrams stay within their size and the stated number, whatever comes.
    #[test]
    fn what_is_sent_stays_within_its_bounds(
        probes in prop::collection::vec((1u32..40, 0u64..3 * PERIOD), 0..200),
    ) {
        let facts = FleetFacts { datagrams_per_s: 20.0, ..FACTS };
        let mut fleet = Fleet::new(1, facts, RouterId(0), 1, 5, (0..40).map(RouterId), Nanos(0));
        let mut probes = probes;
        probes.sort_by_key(|(_, at)| *at);
        let mut sent: Vec<u64> = Vec::new();
        let mut now = Nanos(0);
        for (from, at) in probes.into_iter().chain((0..60).map(|step| (0, 3 * PERIOD + step * PERIOD / 4))) {
            now = now.max(Nanos(at));
            fleet.woke(now);
            let _ = fleet.heard(now, Some(RouterId(from)), &message(from, 9, Body::Probe { no: 1 }, Vec::new()));
            while let Some(step) = fleet.next(now) {
                if let Step::Send { bytes, .. } = step {
                    prop_assert!(bytes.len() <= 256);
                    sent.push(now.0);
                }
            }
        }
        for first in &sent {
            let within = sent.iter().filter(|at| (*first..*first + 1_000_000_000).contains(at)).count();
            prop_assert!(within <= 20, "{within} in a second");
        }
    }
}

/// A router that hears only this one other, which answers nothing.
fn hears_one(fleet: &mut Fleet, periods: u64) -> Vec<Step> {
    let (mut now, mut steps) = (Nanos(0), Vec::new());
    for _ in 0..periods {
        let (later, more) = pass(fleet, now, 1);
        now = later;
        steps.extend(more);
        fleet.heard(now, Some(RouterId(1)), &message(1, 9, Body::Trying { no: 0 }, Vec::new())).unwrap();
    }
    steps
}

#[test]
fn whoever_hears_nobody_accuses_nobody() {
    let mut fleet = fleet(0, 5);
    for other in 1..5 {
        fleet.heard(Nanos(1), Some(RouterId(other)), &message(other, 9, Body::News, Vec::new())).unwrap();
    }
    let (now, steps) = pass(&mut fleet, Nanos(1), 100);
    assert!(
        !steps.iter().any(|step| matches!(step, Step::Changed { to: "doubted" | "lost", .. })),
        "{steps:?}"
    );
    assert!(fleet.is_alone(now) && !fleet.has_majority(now));
    assert_eq!(fleet.sharers(now), 5, "alone, it goes by the whole fleet");
}

#[test]
fn one_that_speaks_is_never_held_for_lost_though_it_answers_nothing() {
    let mut fleet = fleet(0, 2);
    hears_one(&mut fleet, 100);
    let member = fleet.member(RouterId(1)).unwrap();
    assert!(member.standing.lives(), "{member:?}");
    assert_eq!(member.link, LinkState::OnlyIn, "it does not hear this one");
}

#[test_case(1, 1; "doubted")]
#[test_case(3, 1; "doubted by three at once")]
fn a_refutation_is_said_once_however_often_the_doubt_comes(doubters: u32, refutations: usize) {
    let mut fleet = fleet(0, 5);
    let own = fleet.own().1.0;
    for _ in 0..5 {
        for by in 1..=doubters {
            let doubt = rumour(0, own, Verdict::Doubted { round: 0 }, by);
            fleet.heard(Nanos(1), Some(RouterId(by)), &message(by, 9, Body::News, vec![doubt])).unwrap();
        }
    }
    let steps: Vec<Step> = std::iter::from_fn(|| fleet.next(Nanos(1))).collect();
    let refuted = steps.iter().filter(|step| matches!(step, Step::Refuted { .. })).count();
    assert_eq!((refuted, fleet.own().1.0), (refutations, own + 1));
}

/// Guards a restart whose clock stepped back: it is known by a higher incarnation than its own start.
#[test]
fn a_start_with_a_clock_that_stepped_back_goes_past_what_is_known_of_it() {
    let mut fleet = fleet(0, 5);
    let known = rumour(0, 1_000_000, Verdict::Lost, 1);
    fleet.heard(Nanos(1), Some(RouterId(1)), &message(1, 9, Body::News, vec![known])).unwrap();
    assert_eq!(fleet.own().1, Incarnation(1_000_001));
}

/// Guards against an echo of what was missed: after a stop nobody is accused until others were listened to.
#[test]
fn whoever_wakes_from_a_stop_listens_first() {
    let mut fleet = fleet(0, 3);
    let news = |other| message(other, 9, Body::News, Vec::new());
    for other in [1, 2] {
        fleet.heard(Nanos(1), Some(RouterId(other)), &news(other)).unwrap();
    }
    let doubt = rumour(2, 9, Verdict::Doubted { round: 0 }, 1);
    fleet.heard(Nanos(2), Some(RouterId(1)), &message(1, 9, Body::News, vec![doubt])).unwrap();
    std::iter::from_fn(|| fleet.next(Nanos(3))).for_each(drop);
    let woke = Nanos(100 * PERIOD);
    fleet.woke(woke);
    fleet.heard(woke, Some(RouterId(1)), &news(1)).unwrap();
    let steps: Vec<Step> = std::iter::from_fn(|| fleet.next(woke)).collect();
    assert!(!steps.iter().any(|step| matches!(step, Step::Changed { to: "lost", .. })), "{steps:?}");
    assert!(fleet.is_young(woke) && fleet.lateness() > 0);
}

/// Guards a router that ran well for long against doubts that last many times as long for what once was, and one
/// that starts again and again against the same.
#[test_case(false, 1; "a refutation long ago")]
#[test_case(true, 0; "starts")]
fn what_once_was_does_not_lengthen_a_doubt(starts: bool, rests: u64) {
    let lost_after = |before: u64| {
        let mut fleet = fleet(0, 5);
        let mut now = Nanos(1);
        let mut incarnation = 9;
        let says = |fleet: &mut Fleet, now, incarnation, started| {
            let (name, body, rumours) = (101, Body::News, Vec::new());
            let message = Message {
                version: VERSION,
                name,
                started,
                incarnation: Incarnation(incarnation),
                body,
                rumours,
            };
            fleet.heard(now, Some(RouterId(1)), &{ message }.write(256).0).unwrap();
        };
        says(&mut fleet, now, incarnation, 1_000);
        let others = |fleet: &mut Fleet, now, rumours: Vec<Rumour>| {
            for by in 2..5 {
                fleet.heard(now, Some(RouterId(by)), &message(by, 9, Body::News, rumours.clone())).unwrap();
            }
        };
        // Its start is not news any more.
        now = pass(&mut fleet, now, 2).0;
        let doubt = |incarnation| vec![rumour(1, incarnation, Verdict::Doubted { round: 0 }, 2)];
        for _ in 0..before {
            others(&mut fleet, now, doubt(incarnation));
            incarnation += 1;
            now = now + Nanos(1000);
            says(&mut fleet, now, incarnation, if starts { 1_000 + incarnation } else { 1_000 });
        }
        for _ in 0..20 * rests {
            now = pass(&mut fleet, now, 1).0;
            says(&mut fleet, now, incarnation, 1_000);
            others(&mut fleet, now, Vec::new());
        }
        others(&mut fleet, now, doubt(incarnation));
        for period in 0..500 {
            now = pass(&mut fleet, now, 1).0;
            others(&mut fleet, now, Vec::new());
            if fleet.member(RouterId(1)).unwrap().standing.verdict == Verdict::Lost {
                return period;
            }
        }
        panic!("never held for lost");
    };
    let [never, often] = [0, 3].map(lost_after);
    assert!(often <= never + 1, "{never} periods, then {often}");
}

#[test]
fn two_processes_of_one_name_both_see_it_and_the_later_one_yields() {
    let claim = |started| {
        let message = Message {
            version: VERSION,
            name: 100,
            started,
            incarnation: Incarnation(started),
            body: Body::News,
            rumours: Vec::new(),
        };
        let mut fleet = fleet(0, 3);
        fleet.heard(Nanos(1), Some(RouterId(2)), &{ message }.write(256).0).unwrap();
        let twice =
            std::iter::from_fn(|| fleet.next(Nanos(1))).any(|step| matches!(step, Step::Twice { .. }));
        (twice, fleet.has_yielded())
    };
    assert_eq!((claim(1), claim(1_000_000)), ((true, true), (true, false)));
}

#[test]
fn a_list_brings_routers_and_takes_them_away() {
    let mut fleet = fleet(0, 4);
    fleet.heard(Nanos(1), Some(RouterId(3)), &message(3, 9, Body::News, Vec::new())).unwrap();
    fleet.list(Nanos(2), [0, 1, 2, 7].map(RouterId));
    assert_eq!(fleet.count(), (1, 4));
    let refused = fleet.heard(Nanos(3), Some(RouterId(3)), &message(3, 9, Body::News, Vec::new()));
    assert_eq!(refused, Err(Refused::Stranger));
    fleet.heard(Nanos(3), Some(RouterId(7)), &message(7, 9, Body::News, Vec::new())).unwrap();
    assert_eq!(fleet.count(), (2, 4));
}

#[test]
fn another_versions_words_are_told_apart_from_broken_ones() {
    let mut fleet = fleet(0, 3);
    let mut bytes = message(1, 9, Body::News, Vec::new());
    bytes[1] = VERSION + 1;
    assert_eq!(fleet.heard(Nanos(1), Some(RouterId(1)), &bytes), Err(Refused::Version));
    assert_eq!(fleet.heard(Nanos(1), Some(RouterId(1)), &bytes[..1]), Err(Refused::Broken));
}
