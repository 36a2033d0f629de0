//! The router binary against stand-ins on free loopback ports.

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
fn multigets_on_one_connection_get_complete_and_unaltered_answers() {
    let (router, nodes, _discovery) = deployment(&[NodeBehaviour::Answer; 2]);
    let mut stream = router.connect();
    // Both requests are sent at once; the second is answered after the first.
    let requests = request("page", &[0, 1], "2", "") + &request("mark", &[3], "1.5", "");
    stream.write_all(requests.as_bytes()).unwrap();
    let first = read_response(&mut stream);
    assert!(first.starts_with("HTTP/1.1 200") && first.contains(r#""finished":true"#), "{first}");
    for shard in [0, 1] {
        let item = format!(r#"{{"bucket":{shard},"item":"te\"xt\n{} of shard {shard}"}}"#, '\u{e9}');
        assert!(first.contains(&item), "{first}");
    }
    assert!(read_response(&mut stream).contains(r#"[{"bucket":3,"#));
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
fn without_the_parts_of_an_unresponsive_place_the_answer_is_marked_as_partial() {
    let (router, _nodes, _discovery) = deployment(&[NodeBehaviour::Answer, NodeBehaviour::Unresponsive]);
    let answer = router.multiget("list", &[0, 1], "3");
    assert!(answer.starts_with("HTTP/1.1 200") && answer.contains(r#""finished":false"#), "{answer}");
    assert!(answer.contains(r#""bucket":0"#) && !answer.contains(r#""bucket":1"#), "{answer}");
}

#[test]
fn a_multiget_with_a_shard_without_nodes_is_rejected_with_retry_after() {
    let (router, nodes, _discovery) = deployment(&[NodeBehaviour::Answer]);
    let answer = router.multiget("page", &[0, 1], "2");
    assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("Retry-After: "), "{answer}");
    assert_eq!(nodes[0].calls(), []);
}

/// With a healthy replica, each fault of the other one is counted separately and no request fails.
#[test_case(NodeBehaviour::Fault, "outcome_error"; "answer with an error")]
#[test_case(NodeBehaviour::Overload, "outcome_turned_away"; "rejected as overloaded")]
#[test_case(NodeBehaviour::CloseConnection, "outcome_broken"; "connection closed after the frame")]
#[test_case(NodeBehaviour::RejectFrame, "outcome_error"; "frame rejected")]
#[test_case(NodeBehaviour::UnknownIdFirst, "frames_bad"; "answer to an unknown part")]
#[test_case(NodeBehaviour::TruncatedFrame, "frames_bad"; "incomplete frame")]
#[test_case(NodeBehaviour::TrailingBytes, "frames_bad"; "unexpected bytes after the answer")]
fn failed_attempts_are_distinguished_and_retried(behaviour: NodeBehaviour, counter: &str) {
    let (router, _nodes, _discovery) = deployment(&[behaviour, NodeBehaviour::Answer, NodeBehaviour::Answer]);
    wait_until(counter, || {
        let answer = router.multiget("page", &[0], "3");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        router.counter(counter) > 0
    });
}

#[test]
fn a_keyed_multiget_is_rejected_if_its_node_refuses_connections() {
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    discovery.put("s-0", free_address(), 0, "up");
    let router = Router::start(&config(), discovery.address);
    let answer = router.multiget("mark", &[0], "1");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(router.counter("outcome_unreachable") >= 1);
}

#[test]
fn a_keyed_multiget_fails_if_the_connection_closes_after_the_frame() {
    let (router, _nodes, _discovery) = deployment(&[NodeBehaviour::CloseConnection]);
    let answer = router.multiget("mark", &[0], "1");
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert!(router.counter("outcome_broken") >= 1);
    assert_eq!(router.counter("broken_off"), 1);
}

#[test]
fn a_protocol_error_does_not_delay_later_parts() {
    let (router, nodes, _discovery) = deployment(&[NodeBehaviour::UnknownIdFirst; 4]);
    assert!(!router.multiget("page", &[0], "2").starts_with("HTTP/1.1 200"));
    // The part is attempted four times, which is the maximum, and each attempt ends with a protocol error.
    assert_eq!((router.counter("frames_bad"), router.counter("outcome_error")), (4, 4));
    nodes.iter().for_each(|node| node.set_behaviour(NodeBehaviour::Unresponsive));
    // If the parts were sent one after the other, the client's deadline would pass before the second.
    router.multiget("page", &[0, 1], "0.2");
    wait_until("both parts have reached their nodes", || {
        nodes.iter().map(|node| node.calls().len()).sum::<usize>() == 6
    });
}

#[test]
fn an_unresponsive_node_delays_the_answer_up_to_the_deadline_and_gets_a_cancellation() {
    let (router, nodes, _discovery) = deployment(&[NodeBehaviour::Unresponsive]);
    let start = Instant::now();
    let answer = router.multiget("mark", &[0], "0.4");
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
    wait_until("the node has received the cancellation", || {
        nodes[0].cancelled_ids() == [nodes[0].calls()[0].id.clone()]
    });
}

#[test]
fn an_unresponsive_connection_gets_no_further_calls() {
    let (router, nodes, _discovery) = deployment(&[NodeBehaviour::UnresponsiveFirstConnection]);
    assert!(!router.multiget("page", &[0], "1").starts_with("HTTP/1.1 200"));
    assert!(router.multiget("page", &[0], "2").starts_with("HTTP/1.1 200"));
    assert_eq!((nodes[0].connection_count(), router.counter("outcome_answered")), (2, 1));
}

#[test]
fn a_draining_node_gets_no_new_calls() {
    let (router, nodes, discovery) =
        deployment(&[NodeBehaviour::Answer, NodeBehaviour::Answer, NodeBehaviour::Answer]);
    wait_until("both nodes of the place have received calls", || {
        router.multiget("page", &[0], "2");
        !nodes[0].calls().is_empty() && !nodes[2].calls().is_empty()
    });
    let lists = router.counter("lists_changes");
    discovery.put("s-0", nodes[0].address, 0, "draining");
    wait_until("the router has received the change of the list", || router.counter("lists_changes") > lists);
    let before = nodes[0].calls().len();
    for _ in 0..6 {
        assert!(router.multiget("page", &[0], "2").starts_with("HTTP/1.1 200"));
    }
    assert_eq!(nodes[0].calls().len(), before);
}

#[test]
fn the_known_list_is_used_while_discovery_is_unresponsive_and_invalid_entries_are_ignored() {
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    discovery.set_unresponsive(true);
    let nodes =
        [DataNode::start(NodeBehaviour::Answer).unwrap(), DataNode::start(NodeBehaviour::Answer).unwrap()];
    let mut config = config();
    let entry = json!({"instanceId": "s-0", "hostPort": nodes[0].address.to_string(), "cell": 0,
        "lifecycle": "up", "startedAtMs": 0});
    config["known"] = json!({"generation": 1, "reset": true, "instances": [entry]});
    let router = Router::start(&config, discovery.address);
    assert!(router.multiget("page", &[0], "2").starts_with("HTTP/1.1 200"));
    wait_until("a call to discovery has timed out", || router.counter("list_calls_failed") > 0);
    discovery.put_entry("s-9", r#"{"instanceId":"s-9","lifecycle":"asleep"}"#);
    discovery.put("s-1", nodes[1].address, 1, "up");
    discovery.set_unresponsive(false);
    wait_until("the router uses the new list", || {
        router.multiget("page", &[1], "2").starts_with("HTTP/1.1 200")
    });
    assert!(router.counter("list_entries_bad") > 0);
}

#[test]
fn calls_to_discovery_are_retried_until_it_answers() {
    let nodes =
        [DataNode::start(NodeBehaviour::Answer).unwrap(), DataNode::start(NodeBehaviour::Answer).unwrap()];
    let mut config = config();
    let entry =
        json!({"instanceId": "s-0", "hostPort": nodes[0].address.to_string(), "cell": 0, "lifecycle": "up"});
    config["known"] = json!({"generation": 7, "reset": true, "instances": [entry]});
    let address = free_address();
    let router = Router::start(&config, address);
    wait_until("several calls to discovery have failed", || router.counter("list_calls_failed") > 2);
    assert!(router.multiget("page", &[0], "2").starts_with("HTTP/1.1 200"));
    let discovery = Discovery::start(&address.to_string()).unwrap();
    discovery.put("s-1", nodes[1].address, 1, "up");
    wait_until("the router uses the new list", || {
        router.multiget("page", &[1], "2").starts_with("HTTP/1.1 200")
    });
    // The full list does not contain the known node, so the node is removed.
    assert!(router.multiget("page", &[0], "2").starts_with("HTTP/1.1 503"));
}

#[test]
fn a_reload_changes_the_address_of_discovery_and_keeps_pending_requests() {
    let (router, nodes, old_discovery) = deployment(&[NodeBehaviour::Delayed(Duration::from_millis(300))]);
    let new_discovery = Discovery::start("127.0.0.1:0").unwrap();
    let second = DataNode::start(NodeBehaviour::Answer).unwrap();
    new_discovery.put("s-0", nodes[0].address, 0, "up");
    new_discovery.put("s-1", second.address, 1, "up");
    wait_until("the router watches discovery", || old_discovery.call_count() == 2);
    let mut pending_stream = router.connect();
    pending_stream.write_all(request("page", &[0], "3", "").as_bytes()).unwrap();
    wait_until("its part has reached the node", || nodes[0].calls().len() == 1);
    // An invalid configuration changes nothing.
    std::fs::write(&router.config, "{").unwrap();
    router.signal(Signal::HUP);
    wait_until("the router has rejected the invalid configuration", || {
        router.counter("configurations_bad") == 1
    });
    let mut config = config();
    config["discovery"] = json!(new_discovery.address.to_string());
    std::fs::write(&router.config, config.to_string()).unwrap();
    router.signal(Signal::HUP);
    wait_until("the router uses the new list", || {
        router.multiget("page", &[1], "2").starts_with("HTTP/1.1 200")
    });
    assert!(read_response(&mut pending_stream).starts_with("HTTP/1.1 200"));
    assert_eq!((old_discovery.call_count(), router.counter("list_calls_failed")), (2, 0));
    assert_eq!(router.counter("configurations_taken"), 1);
}

#[test]
fn a_node_whose_address_changes_keeps_its_identity() {
    let (router, nodes, discovery) = deployment(&[NodeBehaviour::Answer]);
    assert!(router.multiget("page", &[0], "2").starts_with("HTTP/1.1 200"));
    let moved = DataNode::start(NodeBehaviour::Answer).unwrap();
    discovery.put("s-0", moved.address, 0, "up");
    wait_until("the new address is in use", || {
        assert!(router.multiget("page", &[0], "2").starts_with("HTTP/1.1 200"));
        !moved.calls().is_empty()
    });
    let before = nodes[0].calls().len();
    assert!(router.multiget("page", &[0], "2").starts_with("HTTP/1.1 200"));
    assert_eq!(
        (nodes[0].calls().len(), nodes[0].connection_count(), moved.connection_count()),
        (before, 1, 1)
    );
}

#[test]
fn a_request_is_cancelled_if_its_client_closes_but_not_if_it_only_stops_sending() {
    let (router, nodes, _discovery) = deployment(&[NodeBehaviour::Unresponsive]);
    let mut closing = router.connect();
    closing.write_all(request("page", &[0], "20", "").as_bytes()).unwrap();
    wait_until("its part has reached the node", || nodes[0].calls().len() == 1);
    drop(closing);
    wait_until("the router has noticed the close", || router.counter("lapsed") == 1);
    wait_until("the node has received the cancellation", || nodes[0].cancelled_ids().len() == 1);
    nodes[0].set_behaviour(NodeBehaviour::Delayed(Duration::from_millis(50)));
    let mut half_closed = router.connect();
    half_closed.write_all(request("page", &[0], "3", "").as_bytes()).unwrap();
    half_closed.shutdown(Shutdown::Write).unwrap();
    assert!(read_response(&mut half_closed).contains("HTTP/1.1 200 OK"));
    assert_eq!(router.counter("lapsed"), 1);
}

#[test]
fn a_stopping_router_answers_all_requests_then_exits_and_can_restart_at_once() {
    let (mut router, nodes, discovery) = deployment(&[NodeBehaviour::Delayed(Duration::from_millis(200))]);
    let mut idle = router.connect();
    idle.write_all(request("page", &[0], "3", "").as_bytes()).unwrap();
    read_response(&mut idle);
    let mut pending_stream = router.connect();
    pending_stream.write_all(request("mark", &[0], "3", "").as_bytes()).unwrap();
    wait_until("its part has reached the node", || nodes[0].calls().len() == 2);
    router.signal(Signal::TERM);
    wait_until("the router is stopping", || {
        router.try_get("/up").is_some_and(|up| up.starts_with("HTTP/1.1 503"))
    });
    // At first the router keeps its connections and accepts new ones.
    for _ in 0..3 {
        idle.write_all(request("page", &[0], "3", "").as_bytes()).unwrap();
        let answer = read_response(&mut idle);
        assert!(answer.starts_with("HTTP/1.1 200") && !answer.contains("Connection: close"), "{answer}");
    }
    assert!(router.multiget("page", &[0], "3").starts_with("HTTP/1.1 200"));
    assert!(read_response(&mut pending_stream).starts_with("HTTP/1.1 200"));
    // Then it closes its connections one by one after their pending answers, at the latest by the end of the shutdown.
    nodes[0].set_behaviour(NodeBehaviour::Unresponsive);
    pending_stream.write_all(request("page", &[0], "600", "").as_bytes()).unwrap();
    let mut rest = String::new();
    idle.read_to_string(&mut rest).unwrap();
    assert_eq!(rest, "");
    pending_stream.read_to_string(&mut rest).unwrap();
    assert!(rest.starts_with("HTTP/1.1 50") && rest.contains("Connection: close"), "{rest}");
    drop((idle, pending_stream));
    assert_eq!(router.child.wait().unwrap().code(), Some(0));
    let mut log = String::new();
    router.child.stderr.take().unwrap().read_to_string(&mut log).unwrap();
    assert!(log.contains("settled_whole 6"), "{log}");
    let restarted = Router::spawn(&config(), router.address, discovery.address);
    wait_until("the restarted router is ready", || {
        restarted.try_get("/up").is_some_and(|up| up.starts_with("HTTP/1.1 200"))
    });
}

#[test]
fn a_stopping_router_closes_its_connections_one_by_one() {
    let (mut router, _nodes, _discovery) = deployment(&[NodeBehaviour::Answer]);
    let mut idle: Vec<TcpStream> = (0..40).map(|_| router.connect()).collect();
    wait_until("all connections are accepted", || router.counter("client_connections") >= 40);
    idle.iter().for_each(|stream| stream.set_nonblocking(true).unwrap());
    router.signal(Signal::TERM);
    let mut wait_until_closed = |min_count: usize| {
        wait_until("the router has closed connections", || {
            idle.retain_mut(|stream| !matches!(stream.read(&mut [0]), Ok(0)));
            40 - idle.len() >= min_count
        });
        40 - idle.len()
    };
    assert!(wait_until_closed(1) < 40);
    assert!(router.multiget("page", &[0], "2").starts_with("HTTP/1.1 200"));
    assert_eq!(wait_until_closed(40), 40);
    assert_eq!(router.child.wait().unwrap().code(), Some(0));
}

#[test]
fn a_router_that_stops_after_an_idle_period_still_accepts_clients() {
    let (mut router, _nodes, _discovery) = deployment(&[NodeBehaviour::Answer]);
    let idle_since = Instant::now();
    wait_until("the idle period is over", || idle_since.elapsed() > Duration::from_millis(900));
    let stopped_at = Instant::now();
    router.signal(Signal::TERM);
    assert_eq!(router.child.wait().unwrap().code(), Some(0));
    assert!(stopped_at.elapsed() > Duration::from_millis(600), "{:?}", stopped_at.elapsed());
}

#[test]
fn routers_exchange_updates_and_drop_datagrams_of_unknown_senders() {
    let (router, peer, own, node, _discovery) = with_peer(None);
    assert!(router.multiget("page", &[0], "2").starts_with("HTTP/1.1 200"));
    let mut message = [0; 300];
    let length = peer.recv(&mut message).unwrap();
    assert!((3..=256).contains(&length) && message[0] == 1, "{:?}", &message[..length]);
    peer.send_to(&message[..length], own).unwrap();
    peer.send_to(&message[..length - 1], own).unwrap();
    peer.send_to(&[0; 257], own).unwrap();
    UdpSocket::bind("127.0.0.1:0").unwrap().send_to(&message[..length], own).unwrap();
    wait_until("the router has counted all datagrams", || {
        (router.counter("datagrams_taken"), router.counter("datagrams_dropped")) == (1, 3)
    });
    assert_eq!(node.calls().len(), 1);
}

/// Starts a router, and a socket in place of its only peer; `fleet` enables membership.
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

/// Without the `fleet` key the datagrams and answers are the same as those of a router without membership.
#[test]
fn without_the_fleet_key_membership_sends_and_answers_nothing() {
    let (router, peer, own, _node, _discovery) = with_peer(None);
    assert!(router.multiget("page", &[0], "2").starts_with("HTTP/1.1 200"));
    // The first datagrams are updates caused by the multiget; membership would have sent its datagrams earlier.
    let mut message = [0; 300];
    for _ in 0..2 {
        let length = peer.recv(&mut message).unwrap();
        assert!(length >= 3 && message[0] <= 1, "{:?}", &message[..length]);
    }
    peer.send_to(&[0xff, 1, 0, 0], own).unwrap();
    wait_until("the router has dropped the datagram", || router.counter("datagrams_dropped") == 1);
    let unknown_path = router.try_get("/nowhere").unwrap();
    let status = |answer: &str| answer.lines().next().unwrap_or_default().to_string();
    assert_eq!(status(&router.try_get("/fleet").unwrap()), status(&unknown_path));
    assert!(!router.try_get("/counters").unwrap().contains("fleet"));
}

#[test]
fn with_the_fleet_key_the_peer_is_probed_and_sighup_reloads_the_list_of_routers() {
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
    wait_until("the third router is known", || {
        router.try_get("/fleet").unwrap().contains(&format!("{third} unheard "))
    });
}

const VALID_BODY: &str = r#"{"buckets":[{"bucket":0,"part":1.0}],"body":"x"}"#;
const VALID_HEADERS: &str = "Req-Id: a\r\nReq-Deadline: 1\r\nIdempotency-Key: k\r\n";

#[test_case("/page", "Req-Id: a\r\n", VALID_BODY, 400; "no deadline")]
#[test_case("/page", "Req-Id: a\r\nReq-Deadline: soon\r\n", VALID_BODY, 400; "unusable deadline")]
#[test_case("/page", "Req-Id: a\r\nReq-Deadline: -1\r\n", VALID_BODY, 400; "deadline in the past")]
#[test_case("/page", "Req-Id: a b\r\nReq-Deadline: 1\r\n", VALID_BODY, 400; "id with a space")]
#[test_case("/mark", "Req-Id: a\r\nReq-Deadline: 1\r\n", VALID_BODY, 400; "missing idempotency key")]
#[test_case("/other", VALID_HEADERS, VALID_BODY, 404; "unknown use case")]
#[test_case("/page", VALID_HEADERS, r#"{"buckets":[],"body":"x"}"#, 400; "no parts")]
#[test_case("/page", VALID_HEADERS, r#"{"buckets":[{"bucket":4,"part":1}],"body":"x"}"#, 400; "unknown shard")]
#[test_case("/page", VALID_HEADERS, r#"{"buckets":[{"bucket":0,"part":1},{"bucket":0,"part":0}],"body":""}"#, 400; "duplicate shard")]
#[test_case("/page", VALID_HEADERS, r#"{"buckets":[{"bucket":0,"part":1.5}],"body":"x"}"#, 400; "share above one")]
#[test_case("/page", VALID_HEADERS, r#"{"buckets":[{"bucket":0,"part":1.2},{"bucket":1,"part":-0.2}],"body":"x"}"#, 400; "negative share")]
#[test_case("/page", VALID_HEADERS, r#"{"buckets":[{"bucket":0,"part":0.5},{"bucket":1,"part":0.4}],"body":"x"}"#, 400; "shares that do not add up to one")]
#[test_case("/page", VALID_HEADERS, r#"{"buckets":[{"bucket":0,"part":1}],"#, 400; "truncated JSON")]
#[test_case("/page", VALID_HEADERS, "[[[[[[[[", 400; "not JSON")]
fn invalid_requests_are_rejected_and_the_connection_stays_open(
    path: &str,
    head: &str,
    body: &str,
    status: u16,
) {
    let (router, nodes, _discovery) = deployment(&[NodeBehaviour::Answer]);
    let mut stream = router.connect();
    write!(stream, "POST {path} HTTP/1.1\r\n{head}Content-Length: {}\r\n\r\n{body}", body.len()).unwrap();
    stream.write_all(request("page", &[0], "2", "").as_bytes()).unwrap();
    let answers = read_response(&mut stream);
    assert!(
        answers.starts_with(&format!("HTTP/1.1 {status}")) && answers.contains("HTTP/1.1 200"),
        "{answers}"
    );
    assert_eq!((nodes[0].calls().len(), router.counter("bad_requests")), (1, 1));
}

#[test_case("\x16\x03\x01\x02\r\n\r\n", 400; "not HTTP")]
#[test_case("POST /page HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", 413; "body too large")]
#[test_case("POST /page HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n11000\r\n", 413; "chunk too large")]
#[test_case("POST /page HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400; "invalid chunk length")]
#[test_case("POST /page HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400; "duplicate content length")]
#[test_case("POST /page HTTP/1.1\r\nContent-Length: 5\r\n\r\nab", 400; "truncated by the client")]
fn after_a_framing_error_the_connection_closes_with_the_response(text: &str, status: u16) {
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
fn a_request_with_the_id_of_a_pending_request_is_rejected() {
    let (router, nodes, _discovery) = deployment(&[NodeBehaviour::Delayed(Duration::from_millis(300))]);
    let pending_request = request("page", &[0], "3", "");
    let (mut first, mut second) = (router.connect(), router.connect());
    first.write_all(pending_request.as_bytes()).unwrap();
    wait_until("its part has reached the node", || nodes[0].calls().len() == 1);
    second.write_all((pending_request.clone() + &request("page", &[0], "3", "")).as_bytes()).unwrap();
    let answers = read_response(&mut second);
    assert!(answers.starts_with("HTTP/1.1 409") && answers.contains("HTTP/1.1 200"), "{answers}");
    assert!(read_response(&mut first).starts_with("HTTP/1.1 200"));
    // After the answer the id may be used again.
    second.write_all(pending_request.as_bytes()).unwrap();
    assert!(read_response(&mut second).starts_with("HTTP/1.1 200"));
}

#[test_case("POST /page HTTP/1.1\r\nReq-Id: 1", "HTTP/1.1 408"; "incomplete request")]
#[test_case("", ""; "no bytes")]
fn a_connection_without_a_complete_request_is_closed_after_the_time_out(text: &str, expected: &str) {
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
fn above_the_connection_limit_idle_connections_are_closed() {
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    let node = DataNode::start(NodeBehaviour::Answer).unwrap();
    discovery.put("s-0", node.address, 0, "up");
    let mut config = config();
    config["limits"]["sockets"] = json!(64);
    let router = Router::start(&config, discovery.address);
    let mut idle: Vec<TcpStream> = (0..100).map(|_| router.connect()).collect();
    assert!(router.multiget("page", &[0], "5").starts_with("HTTP/1.1 200"));
    assert_eq!(idle[0].read(&mut [0]).unwrap(), 0);
    let last = idle.last_mut().unwrap();
    last.write_all(request("page", &[0], "5", "").as_bytes()).unwrap();
    assert!(read_response(last).starts_with("HTTP/1.1 200"));
    assert!(router.counter("client_connections") > 100);
}

#[test]
fn above_the_connection_limit_connections_that_had_a_request_are_closed_first() {
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    let node = DataNode::start(NodeBehaviour::Answer).unwrap();
    discovery.put("s-0", node.address, 0, "up");
    let mut config = config();
    config["limits"]["sockets"] = json!(64);
    let router = Router::start(&config, discovery.address);
    let mut unused = router.connect();
    let used = (0..60).map(|_| {
        let mut stream = router.connect();
        stream.write_all(request("page", &[0], "5", "").as_bytes()).unwrap();
        assert!(read_response(&mut stream).starts_with("HTTP/1.1 200"));
        stream
    });
    let used: Vec<TcpStream> = used.collect();
    unused.write_all(request("page", &[0], "5", "").as_bytes()).unwrap();
    assert!(read_response(&mut unused).starts_with("HTTP/1.1 200"));
    drop(used);
}

#[test]
fn a_missing_key_is_reported_and_the_router_does_not_start() {
    let mut config = config();
    config["settings"]["rules"].as_object_mut().unwrap().remove("drainGrace");
    let mut router = Router::spawn(&config, free_address(), free_address());
    assert_eq!(router.child.wait().unwrap().code(), Some(2));
    let mut log = String::new();
    router.child.stderr.take().unwrap().read_to_string(&mut log).unwrap();
    assert!(log.contains("settings.rules.drainGrace") && log.lines().count() == 1, "{log}");
}
