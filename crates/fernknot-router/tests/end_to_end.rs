//! The real binary against stand-ins on free loopback ports.

mod common;

use common::*;
use fernknot_stand_in::{DataNode, Discovery, NodeBehaviour};
use rustix::process::Signal;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream, UdpSocket};
use std::time::{Duration, Instant};
use test_case::test_case;

#[test]
fn multigets_on_one_connection_are_served_whole_and_unchanged() {
    let (router, nodes, _discovery) = deployment(&[NodeBehaviour::Answer; 2]);
    let mut stream = router.connect();
    // Both at once: the second waits its turn.
    let both = request("page", &[0, 1], "2", "") + &request("mark", &[3], "1.5", "");
    stream.write_all(both.as_bytes()).unwrap();
    let first = read_answer(&mut stream);
    assert!(first.starts_with("HTTP/1.1 200") && first.contains(r#""finished":true"#), "{first}");
    for shard in [0, 1] {
        let item = format!(r#"{{"bucket":{shard},"item":"te\"xt\n{} of shard {shard}"}}"#, '\u{e9}');
        assert!(first.contains(&item), "{first}");
    }
    assert!(read_answer(&mut stream).contains(r#"[{"bucket":3,"#));
    let calls = nodes[1].calls();
    assert!(
        calls.iter().all(|call| call.text == "te\"xt\n\u{e9}" && call.id.ends_with(&call.shard.to_string()))
    );
    let keyed = calls.iter().find(|call| call.shard == 3).unwrap();
    assert!(keyed.options.starts_with("d=1") && keyed.options.contains(",k=k"), "{keyed:?}");
    assert!(!calls.iter().any(|call| call.shard == 1 && call.options.contains("k=")));
    assert_eq!((router.counter("settled_whole"), router.counter("outcome_answered")), (2, 3));
}

#[test]
fn what_one_silent_place_owes_is_left_out_and_said_so() {
    let (router, _nodes, _discovery) = deployment(&[NodeBehaviour::Answer, NodeBehaviour::Unresponsive]);
    let answer = router.ask("list", &[0, 1], "3");
    assert!(answer.starts_with("HTTP/1.1 200") && answer.contains(r#""finished":false"#), "{answer}");
    assert!(answer.contains(r#""bucket":0"#) && !answer.contains(r#""bucket":1"#), "{answer}");
}

#[test]
fn a_shard_without_nodes_is_rejected_with_advice() {
    let (router, nodes, _discovery) = deployment(&[NodeBehaviour::Answer]);
    let answer = router.ask("page", &[0, 1], "2");
    assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("Retry-After: "), "{answer}");
    assert_eq!(nodes[0].calls(), []);
}

/// Beside a sound replica, each trouble ends hand-offs in its own way and costs no answer.
#[test_case(NodeBehaviour::Fault, "outcome_error"; "error")]
#[test_case(NodeBehaviour::Overload, "outcome_turned_away"; "turned away")]
#[test_case(NodeBehaviour::CloseConnection, "outcome_broken"; "broken after the frame")]
#[test_case(NodeBehaviour::RejectFrame, "outcome_error"; "frame not usable")]
#[test_case(NodeBehaviour::UnknownIdFirst, "frames_bad"; "an answer to what was never sent")]
#[test_case(NodeBehaviour::TruncatedFrame, "frames_bad"; "a frame that never comes whole")]
#[test_case(NodeBehaviour::TrailingBytes, "frames_bad"; "more than was asked for")]
fn failed_attempts_are_distinguished_and_retried(behaviour: NodeBehaviour, counter: &str) {
    let (router, _nodes, _discovery) = deployment(&[behaviour, NodeBehaviour::Answer, NodeBehaviour::Answer]);
    until(counter, || {
        let answer = router.ask("page", &[0], "3");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        router.counter(counter) > 0
    });
}

#[test]
fn a_refused_connection_never_ran_so_that_a_keyed_multiget_may_be_rejected() {
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    discovery.put("s-0", free_address(), 0, "up");
    let router = Router::start(&config(), discovery.address);
    let answer = router.ask("mark", &[0], "1");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(router.counter("outcome_unreachable") >= 1);
}

#[test]
fn a_break_after_the_frame_may_have_run_so_a_keyed_multiget_is_broken_off() {
    let (router, _nodes, _discovery) = deployment(&[NodeBehaviour::CloseConnection]);
    let answer = router.ask("mark", &[0], "1");
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert!(router.counter("outcome_broken") >= 1);
    assert_eq!(router.counter("broken_off"), 1);
}

#[test]
fn a_spoilt_answer_holds_no_later_parts_back() {
    let (router, nodes, _discovery) = deployment(&[NodeBehaviour::UnknownIdFirst; 4]);
    assert!(!router.ask("page", &[0], "2").starts_with("HTTP/1.1 200"));
    // As often as a part may be handed off.
    assert_eq!((router.counter("frames_bad"), router.counter("outcome_error")), (4, 4));
    nodes.iter().for_each(|node| node.set_behaviour(NodeBehaviour::Unresponsive));
    // Were the first part tried alone, its client would be gone before the other went out.
    router.ask("page", &[0, 1], "0.2");
    until("both parts at their nodes", || nodes.iter().map(|node| node.calls().len()).sum::<usize>() == 6);
}

#[test]
fn a_silent_node_costs_no_more_than_the_clients_time_and_gets_a_cancellation() {
    let (router, nodes, _discovery) = deployment(&[NodeBehaviour::Unresponsive]);
    let start = Instant::now();
    let answer = router.ask("mark", &[0], "0.4");
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
    until("the node received the cancellation", || {
        nodes[0].cancelled_ids() == [nodes[0].calls()[0].id.clone()]
    });
}

#[test]
fn a_connection_that_falls_silent_takes_nothing_further() {
    let (router, nodes, _discovery) = deployment(&[NodeBehaviour::UnresponsiveFirstConnection]);
    assert!(!router.ask("page", &[0], "1").starts_with("HTTP/1.1 200"));
    assert!(router.ask("page", &[0], "2").starts_with("HTTP/1.1 200"));
    assert_eq!((nodes[0].connection_count(), router.counter("outcome_answered")), (2, 1));
}

#[test]
fn a_draining_node_gets_nothing_new() {
    let (router, nodes, discovery) =
        deployment(&[NodeBehaviour::Answer, NodeBehaviour::Answer, NodeBehaviour::Answer]);
    until("both nodes of the place in use", || {
        router.ask("page", &[0], "2");
        !nodes[0].calls().is_empty() && !nodes[2].calls().is_empty()
    });
    let lists = router.counter("lists_changes");
    discovery.put("s-0", nodes[0].address, 0, "draining");
    until("the change of the list", || router.counter("lists_changes") > lists);
    let before = nodes[0].calls().len();
    for _ in 0..6 {
        assert!(router.ask("page", &[0], "2").starts_with("HTTP/1.1 200"));
    }
    assert_eq!(nodes[0].calls().len(), before);
}

#[test]
fn a_silent_discovery_leaves_the_known_list_in_use_and_a_bad_entry_costs_no_other() {
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    discovery.set_unresponsive(true);
    let nodes =
        [DataNode::start(NodeBehaviour::Answer).unwrap(), DataNode::start(NodeBehaviour::Answer).unwrap()];
    let mut config = config();
    let entry = json!({"instanceId": "s-0", "hostPort": nodes[0].address.to_string(), "cell": 0,
        "lifecycle": "up", "startedAtMs": 0});
    config["known"] = json!({"generation": 1, "reset": true, "instances": [entry]});
    let router = Router::start(&config, discovery.address);
    assert!(router.ask("page", &[0], "2").starts_with("HTTP/1.1 200"));
    until("a call given up", || router.counter("list_calls_failed") > 0);
    discovery.put_entry("s-9", r#"{"instanceId":"s-9","lifecycle":"asleep"}"#);
    discovery.put("s-1", nodes[1].address, 1, "up");
    discovery.set_unresponsive(false);
    until("the new list", || router.ask("page", &[1], "2").starts_with("HTTP/1.1 200"));
    assert!(router.counter("list_entries_bad") > 0);
}

#[test]
fn a_discovery_that_refuses_is_called_again_until_it_answers() {
    let nodes =
        [DataNode::start(NodeBehaviour::Answer).unwrap(), DataNode::start(NodeBehaviour::Answer).unwrap()];
    let mut config = config();
    let entry =
        json!({"instanceId": "s-0", "hostPort": nodes[0].address.to_string(), "cell": 0, "lifecycle": "up"});
    config["known"] = json!({"generation": 7, "reset": true, "instances": [entry]});
    let address = free_address();
    let router = Router::start(&config, address);
    until("failed calls", || router.counter("list_calls_failed") > 2);
    assert!(router.ask("page", &[0], "2").starts_with("HTTP/1.1 200"));
    let discovery = Discovery::start(&address.to_string()).unwrap();
    discovery.put("s-1", nodes[1].address, 1, "up");
    until("the new list", || router.ask("page", &[1], "2").starts_with("HTTP/1.1 200"));
    // The whole list leaves the known node out, so it is gone.
    assert!(router.ask("page", &[0], "2").starts_with("HTTP/1.1 503"));
}

#[test]
fn a_new_configuration_moves_discovery_and_costs_nothing_in_hand() {
    let (router, nodes, old) = deployment(&[NodeBehaviour::Delayed(Duration::from_millis(300))]);
    let new = Discovery::start("127.0.0.1:0").unwrap();
    let second = DataNode::start(NodeBehaviour::Answer).unwrap();
    new.put("s-0", nodes[0].address, 0, "up");
    new.put("s-1", second.address, 1, "up");
    until("the watch", || old.call_count() == 2);
    let mut held = router.connect();
    held.write_all(request("page", &[0], "3", "").as_bytes()).unwrap();
    until("its part at the node", || nodes[0].calls().len() == 1);
    // One that cannot be used changes nothing.
    std::fs::write(&router.config, "{").unwrap();
    router.signal(Signal::HUP);
    until("the bad one seen", || router.counter("configurations_bad") == 1);
    let mut config = config();
    config["discovery"] = json!(new.address.to_string());
    std::fs::write(&router.config, config.to_string()).unwrap();
    router.signal(Signal::HUP);
    until("the new list", || router.ask("page", &[1], "2").starts_with("HTTP/1.1 200"));
    assert!(read_answer(&mut held).starts_with("HTTP/1.1 200"));
    assert_eq!((old.call_count(), router.counter("list_calls_failed")), (2, 0));
    assert_eq!(router.counter("configurations_taken"), 1);
}

#[test]
fn a_node_that_moves_stays_the_same_node() {
    let (router, nodes, discovery) = deployment(&[NodeBehaviour::Answer]);
    assert!(router.ask("page", &[0], "2").starts_with("HTTP/1.1 200"));
    let moved = DataNode::start(NodeBehaviour::Answer).unwrap();
    discovery.put("s-0", moved.address, 0, "up");
    until("the new address in use", || {
        assert!(router.ask("page", &[0], "2").starts_with("HTTP/1.1 200"));
        !moved.calls().is_empty()
    });
    let before = nodes[0].calls().len();
    assert!(router.ask("page", &[0], "2").starts_with("HTTP/1.1 200"));
    assert_eq!(
        (nodes[0].calls().len(), nodes[0].connection_count(), moved.connection_count()),
        (before, 1, 1)
    );
}

#[test]
fn a_client_that_closes_has_gone_and_one_that_only_stops_sending_has_not() {
    let (router, nodes, _discovery) = deployment(&[NodeBehaviour::Unresponsive]);
    let mut gone = router.connect();
    gone.write_all(request("page", &[0], "20", "").as_bytes()).unwrap();
    until("its part at the node", || nodes[0].calls().len() == 1);
    drop(gone);
    until("its leaving", || router.counter("lapsed") == 1);
    until("the node received it", || nodes[0].cancelled_ids().len() == 1);
    nodes[0].set_behaviour(NodeBehaviour::Delayed(Duration::from_millis(50)));
    let mut half = router.connect();
    half.write_all(request("page", &[0], "3", "").as_bytes()).unwrap();
    half.shutdown(Shutdown::Write).unwrap();
    assert!(read_answer(&mut half).contains("HTTP/1.1 200 OK"));
    assert_eq!(router.counter("lapsed"), 1);
}

#[test]
fn a_stopping_router_answers_what_it_took_then_ends_and_starts_again_at_once() {
    let (mut router, nodes, discovery) = deployment(&[NodeBehaviour::Delayed(Duration::from_millis(200))]);
    let mut idle = router.connect();
    idle.write_all(request("page", &[0], "3", "").as_bytes()).unwrap();
    read_answer(&mut idle);
    let mut held = router.connect();
    held.write_all(request("mark", &[0], "3", "").as_bytes()).unwrap();
    until("its part at the node", || nodes[0].calls().len() == 2);
    router.signal(Signal::TERM);
    until("the order seen", || router.try_get("/up").is_some_and(|up| up.starts_with("HTTP/1.1 503")));
    // At first connections go on and new ones are served.
    for _ in 0..3 {
        idle.write_all(request("page", &[0], "3", "").as_bytes()).unwrap();
        let answer = read_answer(&mut idle);
        assert!(answer.starts_with("HTTP/1.1 200") && !answer.contains("Connection: close"), "{answer}");
    }
    assert!(router.ask("page", &[0], "3").starts_with("HTTP/1.1 200"));
    assert!(read_answer(&mut held).starts_with("HTTP/1.1 200"));
    // Then they end one by one, once what is owed has been answered, by the end of the stop if not before.
    nodes[0].set_behaviour(NodeBehaviour::Unresponsive);
    held.write_all(request("page", &[0], "600", "").as_bytes()).unwrap();
    let mut rest = String::new();
    idle.read_to_string(&mut rest).unwrap();
    assert_eq!(rest, "");
    held.read_to_string(&mut rest).unwrap();
    assert!(rest.starts_with("HTTP/1.1 50") && rest.contains("Connection: close"), "{rest}");
    drop((idle, held));
    assert_eq!(router.child.wait().unwrap().code(), Some(0));
    let mut log = String::new();
    router.child.stderr.take().unwrap().read_to_string(&mut log).unwrap();
    assert!(log.contains("settled_whole 6"), "{log}");
    let again = Router::spawn(&config(), router.address, discovery.address);
    until("the second start", || again.try_get("/up").is_some_and(|up| up.starts_with("HTTP/1.1 200")));
}

#[test]
fn a_stopping_router_hands_its_connections_over_one_by_one() {
    let (mut router, _nodes, _discovery) = deployment(&[NodeBehaviour::Answer]);
    let mut idle: Vec<TcpStream> = (0..40).map(|_| router.connect()).collect();
    until("all accepted", || router.counter("client_connections") >= 40);
    idle.iter().for_each(|stream| stream.set_nonblocking(true).unwrap());
    router.signal(Signal::TERM);
    let mut ended = |least: usize| {
        until("connections ended", || {
            idle.retain_mut(|stream| !matches!(stream.read(&mut [0]), Ok(0)));
            40 - idle.len() >= least
        });
        40 - idle.len()
    };
    assert!(ended(1) < 40);
    assert!(router.ask("page", &[0], "2").starts_with("HTTP/1.1 200"));
    assert_eq!(ended(40), 40);
    assert_eq!(router.child.wait().unwrap().code(), Some(0));
}

#[test]
fn a_router_that_stops_after_a_quiet_while_still_accepts_clients() {
    let (mut router, _nodes, _discovery) = deployment(&[NodeBehaviour::Answer]);
    let quiet = Instant::now();
    until("a quiet while", || quiet.elapsed() > Duration::from_millis(900));
    let stopped_at = Instant::now();
    router.signal(Signal::TERM);
    assert_eq!(router.child.wait().unwrap().code(), Some(0));
    assert!(stopped_at.elapsed() > Duration::from_millis(600), "{:?}", stopped_at.elapsed());
}

#[test]
fn routers_send_each_other_updates_and_what_strangers_send_is_dropped() {
    let (router, peer, own, node, _discovery) = with_peer(None);
    assert!(router.ask("page", &[0], "2").starts_with("HTTP/1.1 200"));
    let mut message = [0; 300];
    let length = peer.recv(&mut message).unwrap();
    assert!((3..=256).contains(&length) && message[0] == 1, "{:?}", &message[..length]);
    peer.send_to(&message[..length], own).unwrap();
    peer.send_to(&message[..length - 1], own).unwrap();
    peer.send_to(&[0; 257], own).unwrap();
    UdpSocket::bind("127.0.0.1:0").unwrap().send_to(&message[..length], own).unwrap();
    until("all datagrams", || {
        (router.counter("datagrams_taken"), router.counter("datagrams_dropped")) == (1, 3)
    });
    assert_eq!(node.calls().len(), 1);
}

/// A router and a socket in the place of the only other one, with and without membership.
fn with_peer(fleet: Option<serde_json::Value>) -> (Router, UdpSocket, SocketAddr, DataNode, Discovery) {
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    let node = DataNode::start(NodeBehaviour::Answer).unwrap();
    discovery.put("s-0", node.address, 0, "up");
    let peer = UdpSocket::bind("127.0.0.1:0").unwrap();
    let own = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let mut config = config();
    config["settings"]["balancers"] = json!(2);
    config["settings"]["allowed"]["peers"] = json!(true);
    config["peer_listen"] = json!(own.to_string());
    config["peers"] = json!([own.to_string(), peer.local_addr().unwrap().to_string()]);
    config["peers_all"] = json!(peer.local_addr().unwrap().to_string());
    fleet.into_iter().for_each(|fleet| config["fleet"] = fleet);
    (Router::start(&config, discovery.address), peer, own, node, discovery)
}

/// Guards the bench's wire: without the key no byte differs from what it was before there was membership.
#[test]
fn without_the_key_nothing_of_membership_is_sent_or_answered() {
    let (router, peer, own, _node, _discovery) = with_peer(None);
    assert!(router.ask("page", &[0], "2").starts_with("HTTP/1.1 200"));
    // The first datagrams are the news of that multiget; words of a fleet would have come long before.
    let mut message = [0; 300];
    for _ in 0..2 {
        let length = peer.recv(&mut message).unwrap();
        assert!(length >= 3 && message[0] <= 1, "{:?}", &message[..length]);
    }
    peer.send_to(&[0xff, 1, 0, 0], own).unwrap();
    until("dropped as before", || router.counter("datagrams_dropped") == 1);
    let strange = router.try_get("/nowhere").unwrap();
    let status = |answer: &str| answer.lines().next().unwrap_or_default().to_string();
    assert_eq!(status(&router.try_get("/fleet").unwrap()), status(&strange));
    assert!(!router.try_get("/counters").unwrap().contains("fleet"));
}

#[test]
fn with_the_key_the_other_is_probed_and_a_new_list_is_taken_at_sighup() {
    let (router, peer, _own, _node, _discovery) = with_peer(Some(json!({"period": 50, "datagrams": 100})));
    let mut message = [0; 300];
    while message[0] != 0xff {
        peer.recv(&mut message).unwrap();
    }
    let view = router.try_get("/fleet").unwrap();
    let address = peer.local_addr().unwrap();
    assert!(view.contains(&format!("{address} unheard ")) && view.contains(" majority=false "), "{view}");
    let mut config: serde_json::Value =
        serde_json::from_str(&std::fs::read_to_string(&router.config).unwrap()).unwrap();
    let third = free_address();
    config["peers"].as_array_mut().unwrap().push(json!(third.to_string()));
    std::fs::write(&router.config, config.to_string()).unwrap();
    router.signal(Signal::HUP);
    until("the third router", || router.try_get("/fleet").unwrap().contains(&format!("{third} unheard ")));
}

const SOUND: &str = r#"{"buckets":[{"bucket":0,"part":1.0}],"body":"x"}"#;
const HEAD: &str = "Req-Id: a\r\nReq-Deadline: 1\r\nIdempotency-Key: k\r\n";

#[test_case("/page", "Req-Id: a\r\n", SOUND, 400; "no deadline")]
#[test_case("/page", "Req-Id: a\r\nReq-Deadline: soon\r\n", SOUND, 400; "unusable deadline")]
#[test_case("/page", "Req-Id: a\r\nReq-Deadline: -1\r\n", SOUND, 400; "deadline in the past")]
#[test_case("/page", "Req-Id: a b\r\nReq-Deadline: 1\r\n", SOUND, 400; "an id that would break a frame")]
#[test_case("/mark", "Req-Id: a\r\nReq-Deadline: 1\r\n", SOUND, 400; "keyed without a key")]
#[test_case("/other", HEAD, SOUND, 404; "unknown use case")]
#[test_case("/page", HEAD, r#"{"buckets":[],"body":"x"}"#, 400; "no parts")]
#[test_case("/page", HEAD, r#"{"buckets":[{"bucket":4,"part":1}],"body":"x"}"#, 400; "unknown shard")]
#[test_case("/page", HEAD, r#"{"buckets":[{"bucket":0,"part":1},{"bucket":0,"part":0}],"body":""}"#, 400; "a shard twice")]
#[test_case("/page", HEAD, r#"{"buckets":[{"bucket":0,"part":1.5}],"body":"x"}"#, 400; "a share past the whole")]
#[test_case("/page", HEAD, r#"{"buckets":[{"bucket":0,"part":1.2},{"bucket":1,"part":-0.2}],"body":"x"}"#, 400; "a share under nothing")]
#[test_case("/page", HEAD, r#"{"buckets":[{"bucket":0,"part":0.5},{"bucket":1,"part":0.4}],"body":"x"}"#, 400; "shares that make no whole")]
#[test_case("/page", HEAD, r#"{"buckets":[{"bucket":0,"part":1}],"#, 400; "cut off JSON")]
#[test_case("/page", HEAD, "[[[[[[[[", 400; "not JSON")]
fn bad_requests_are_rejected_and_the_connection_goes_on(path: &str, head: &str, body: &str, status: u16) {
    let (router, nodes, _discovery) = deployment(&[NodeBehaviour::Answer]);
    let mut stream = router.connect();
    write!(stream, "POST {path} HTTP/1.1\r\n{head}Content-Length: {}\r\n\r\n{body}", body.len()).unwrap();
    stream.write_all(request("page", &[0], "2", "").as_bytes()).unwrap();
    let answers = read_answer(&mut stream);
    assert!(
        answers.starts_with(&format!("HTTP/1.1 {status}")) && answers.contains("HTTP/1.1 200"),
        "{answers}"
    );
    assert_eq!((nodes[0].calls().len(), router.counter("bad_requests")), (1, 1));
}

#[test_case("\x16\x03\x01\x02\r\n\r\n", 400; "not HTTP")]
#[test_case("POST /page HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", 413; "body too large")]
#[test_case("POST /page HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n11000\r\n", 413; "chunk too large")]
#[test_case("POST /page HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400; "not a chunk")]
#[test_case("POST /page HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400; "two lengths")]
#[test_case("POST /page HTTP/1.1\r\nContent-Length: 5\r\n\r\nab", 400; "cut off by the client")]
fn where_framing_is_lost_the_connection_ends_after_the_answer(text: &str, status: u16) {
    let (router, _nodes, _discovery) = deployment(&[NodeBehaviour::Answer]);
    let mut stream = router.connect();
    stream.write_all(text.as_bytes()).unwrap();
    if text.ends_with("ab") {
        stream.shutdown(Shutdown::Write).unwrap();
    }
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{answer}");
    assert!(answer.contains("Connection: close"), "{answer}");
}

#[test]
fn an_open_request_keeps_its_id_for_itself() {
    let (router, nodes, _discovery) = deployment(&[NodeBehaviour::Delayed(Duration::from_millis(300))]);
    let asked = request("page", &[0], "3", "");
    let (mut first, mut second) = (router.connect(), router.connect());
    first.write_all(asked.as_bytes()).unwrap();
    until("its part at the node", || nodes[0].calls().len() == 1);
    second.write_all((asked.clone() + &request("page", &[0], "3", "")).as_bytes()).unwrap();
    let answers = read_answer(&mut second);
    assert!(answers.starts_with("HTTP/1.1 409") && answers.contains("HTTP/1.1 200"), "{answers}");
    assert!(read_answer(&mut first).starts_with("HTTP/1.1 200"));
    // Once it has its answer, the id is free.
    second.write_all(asked.as_bytes()).unwrap();
    assert!(read_answer(&mut second).starts_with("HTTP/1.1 200"));
}

#[test_case("POST /page HTTP/1.1\r\nReq-Id: 1", "HTTP/1.1 408"; "half a request")]
#[test_case("", ""; "nothing at all")]
fn what_never_becomes_a_request_is_ended_within_the_longest_wait(text: &str, expected: &str) {
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    let mut config = config();
    for class in config["settings"]["classes"].as_array_mut().unwrap() {
        class["deadline"] = json!(400.0);
    }
    let router = Router::start(&config, discovery.address);
    let mut stream = router.connect();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with(expected) && answer.is_empty() == expected.is_empty(), "{answer}");
}

#[test]
fn past_the_limit_of_connections_idle_ones_make_room() {
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    let node = DataNode::start(NodeBehaviour::Answer).unwrap();
    discovery.put("s-0", node.address, 0, "up");
    let mut config = config();
    config["limits"]["sockets"] = json!(64);
    let router = Router::start(&config, discovery.address);
    let mut idle: Vec<TcpStream> = (0..100).map(|_| router.connect()).collect();
    assert!(router.ask("page", &[0], "5").starts_with("HTTP/1.1 200"));
    assert_eq!(idle[0].read(&mut [0]).unwrap(), 0);
    let last = idle.last_mut().unwrap();
    last.write_all(request("page", &[0], "5", "").as_bytes()).unwrap();
    assert!(read_answer(last).starts_with("HTTP/1.1 200"));
    assert!(router.counter("client_connections") > 100);
}

#[test]
fn at_the_limit_those_that_have_asked_make_room_for_a_first_request() {
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    let node = DataNode::start(NodeBehaviour::Answer).unwrap();
    discovery.put("s-0", node.address, 0, "up");
    let mut config = config();
    config["limits"]["sockets"] = json!(64);
    let router = Router::start(&config, discovery.address);
    let mut fresh = router.connect();
    let asked = (0..60).map(|_| {
        let mut stream = router.connect();
        stream.write_all(request("page", &[0], "5", "").as_bytes()).unwrap();
        assert!(read_answer(&mut stream).starts_with("HTTP/1.1 200"));
        stream
    });
    let asked: Vec<TcpStream> = asked.collect();
    fresh.write_all(request("page", &[0], "5", "").as_bytes()).unwrap();
    assert!(read_answer(&mut fresh).starts_with("HTTP/1.1 200"));
    drop(asked);
}

#[test]
fn a_missing_key_stops_the_start_with_its_name() {
    let mut config = config();
    config["settings"]["rules"].as_object_mut().unwrap().remove("drainGrace");
    let mut router = Router::spawn(&config, free_address(), free_address());
    assert_eq!(router.child.wait().unwrap().code(), Some(2));
    let mut log = String::new();
    router.child.stderr.take().unwrap().read_to_string(&mut log).unwrap();
    assert!(log.contains("settings.rules.drainGrace") && log.lines().count() == 1, "{log}");
}
