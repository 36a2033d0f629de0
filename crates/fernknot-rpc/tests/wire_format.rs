//! Messages between processes are encoded as in earlier releases, so that both can run side by side.

#[path = "../../../tests/common/fixtures.rs"]
mod fixtures;
#[path = "common/samples.rs"]
mod samples;

use fernknot_consensus::{OrderNo, ViewNo, Word};
use fernknot_protocol::buffer::Buffer;
use fernknot_rpc::{Inward, Outward, PeerWord, Question, Registrar, Share, Shuffle, pull, push};
use fixtures::Fixtures;
use samples::{addr, cut, descriptors, gateway, nodes, plan};

/// Bounds a message that is read back here.
const LARGEST_MESSAGE: usize = 1024;

/// The name under which a message to a controller or gateway is recorded. A new variant has to be named here, and
/// given a value below; so with the functions that follow.
fn recorded_name_of_inward(word: &Inward) -> &'static str {
    match word {
        Inward::Attach { share: Share::All, .. } => "subscribe-to-all",
        Inward::Attach { share: Share::Services(_), .. } => "subscribe-to-services",
        Inward::Alive { ready: true } => "alive-and-ready",
        Inward::Alive { ready: false } => "alive-and-not-ready",
        Inward::Below(_) => "alive-downstream",
        Inward::Leaving => "leaving",
        Inward::Peer(word) => recorded_name_of_peer_word(word),
        Inward::Ask(question) => recorded_name_of_question(*question),
        Inward::Force { .. } => "force-view",
    }
}

fn recorded_name_of_peer_word(word: &PeerWord) -> &'static str {
    match word {
        PeerWord::Hello { .. } => "peer-hello",
        PeerWord::Views(_) => "peer-consensus",
        PeerWord::Nodes(_) => "peer-nodes",
        PeerWord::Heard(_) => "peer-nodes-alive",
        PeerWord::Want(_) => "peer-nodes-wanted",
        PeerWord::Gateways(_) => "peer-gateways",
        PeerWord::GatewayLeft { .. } => "peer-gateway-left",
        PeerWord::Cut(_) => "peer-ownership",
        PeerWord::Replace { .. } => "peer-replace",
        PeerWord::Replaced { .. } => "peer-replaced",
        PeerWord::Know(_) => "peer-addresses",
    }
}

fn recorded_name_of_question(question: Question) -> &'static str {
    match question {
        Question::Nodes => "ask-nodes",
        Question::Views => "ask-views",
        Question::Homes => "ask-homes",
        Question::Duties => "ask-duties",
        Question::Counters => "ask-counters",
    }
}

fn recorded_name_of_outward(word: &Outward) -> &'static str {
    match word {
        Outward::Plan { .. } => "told-configuration",
        Outward::Nodes(_) => "told-nodes",
        Outward::Whole => "told-whole",
        Outward::Pulse { .. } => "told-heartbeat",
        Outward::Cut(_) => "told-ownership",
        Outward::Answer(_) => "told-answer",
        Outward::Forced(Ok(_)) => "told-view-forced",
        Outward::Forced(Err(_)) => "told-view-not-forced",
    }
}

fn to_a_teller() -> Vec<Inward> {
    vec![
        Inward::Attach { who: gateway(1), ready: true, share: Share::All, order: 101 },
        Inward::Attach {
            who: gateway(2),
            ready: false,
            share: Share::Services(vec!["service-1".into(), "service-2".into()]),
            order: 102,
        },
        Inward::Alive { ready: true },
        Inward::Alive { ready: false },
        Inward::Below(vec![gateway(3), gateway(4)]),
        Inward::Leaving,
        Inward::Ask(Question::Nodes),
        Inward::Ask(Question::Views),
        Inward::Ask(Question::Homes),
        Inward::Ask(Question::Duties),
        Inward::Ask(Question::Counters),
        Inward::Force { lost: vec![addr(5), addr(6)] },
    ]
}

fn between_controllers() -> Vec<PeerWord> {
    vec![
        PeerWord::Hello { addr: addr(7), zone: "zone-7".into() },
        PeerWord::Views(Word::Commit { view: ViewNo(201), no: OrderNo(202) }),
        PeerWord::Nodes(nodes()),
        PeerWord::Heard(vec![203, 204]),
        PeerWord::Want(vec![205, 206]),
        PeerWord::Gateways(vec![gateway(8), gateway(9)]),
        PeerWord::GatewayLeft { life: 207 },
        PeerWord::Cut(cut()),
        PeerWord::Replace { life: 208, call: 209, base: 210, body: b"configuration".to_vec() },
        PeerWord::Replaced { life: 211, call: 212, status: 412, why: "another version is in force".into() },
        PeerWord::Know(vec![addr(10), addr(11)]),
    ]
}

fn to_a_listener() -> Vec<Outward> {
    let controllers = [12, 13].map(|number| Registrar { addr: addr(number), zone: format!("zone-{number}") });
    vec![
        Outward::Plan { order: 301, plan: plan() },
        Outward::Nodes(nodes()),
        Outward::Whole,
        Outward::Pulse {
            teller: 302,
            order: 303,
            lease: true,
            hops: 3,
            fence: 304,
            registrars: controllers.to_vec(),
        },
        Outward::Cut(cut()),
        Outward::Answer("what is held here".into()),
        Outward::Forced(Ok(305)),
        Outward::Forced(Err("a majority is heard".into())),
    ]
}

#[test]
fn given_recorded_messages_when_encoded_and_decoded_then_bytes_and_values_are_the_same() {
    let mut fixtures = Fixtures::open("wire_format.hex");
    let peers = between_controllers().into_iter().map(Inward::Peer);
    for message in to_a_teller().into_iter().chain(peers) {
        fixtures.check(recorded_name_of_inward(&message), &message);
    }
    for message in to_a_listener() {
        fixtures.check(recorded_name_of_outward(&message), &message);
    }
    fixtures.finish();
}

#[test]
fn given_recorded_datagrams_when_encoded_and_decoded_then_bytes_and_values_are_the_same() {
    let mut fixtures = Fixtures::open("shuffle_format.hex");
    fixtures.check("shuffle-asked", &Shuffle { answer: false, sample: descriptors() });
    fixtures.check("shuffle-answered", &Shuffle { answer: true, sample: descriptors() });
    fixtures.finish();
}

#[test]
fn given_a_recorded_stream_when_messages_are_framed_then_its_bytes_are_the_same_and_are_read_back() {
    let mut fixtures = Fixtures::open("frame_format.hex");
    let messages = [Inward::Leaving, Inward::Force { lost: vec![addr(14), addr(15)] }];
    let mut written = Buffer::default();
    messages.iter().for_each(|message| push(&mut written, message));
    let recorded = fixtures.take("two-frames");
    assert_eq!(written.data(), recorded);

    let mut stream = Buffer::default();
    stream.push(&recorded);
    for message in messages {
        assert_eq!(pull(&mut stream, LARGEST_MESSAGE), Ok(Some(message)));
    }
    assert_eq!(pull::<Inward>(&mut stream, LARGEST_MESSAGE), Ok(None));
    fixtures.finish();
}
