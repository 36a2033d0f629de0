//! How an operator goes from one registrar to another, against listeners that say what a story needs.

use assert_matches::assert_matches;
use fernknot_testbed::operator::{CallOutcome, Operator};
use fernknot_testbed::wire::{Connection, encode_response};
use std::net::{SocketAddr, SocketAddrV4, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use test_case::test_case;

type Heard = Arc<Mutex<Vec<(String, Vec<u8>)>>>;

/// Listens, notes what is asked, and gives these answers in turn, the last one for ever.
fn registrar(says: Vec<(u16, String)>) -> (SocketAddrV4, Heard) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let SocketAddr::V4(addr) = listener.local_addr().unwrap() else { unreachable!("bound to IPv4") };
    let heard = Heard::default();
    let noted = heard.clone();
    thread::spawn(move || {
        for (turn, stream) in listener.incoming().enumerate() {
            let mut line = Connection::from_stream(stream.unwrap(), addr);
            let until = Instant::now() + Duration::from_secs(5);
            let Ok(Some(request)) = line.read_request(until) else { continue };
            let base = request.header("base-epoch").unwrap_or_default().to_string();
            noted.lock().unwrap().push((base, request.body));
            let (status, place) = &says[turn.min(says.len() - 1)];
            let lines = if place.is_empty() { vec![] } else { vec![format!("Location: {place}")] };
            let _ = line.send(&encode_response(*status, &lines, b"{}"), until);
        }
    });
    (addr, heard)
}

fn says(statuses: &[u16]) -> Vec<(u16, String)> {
    statuses.iter().map(|status| (*status, String::new())).collect()
}

#[test_case(&[200], &[500] => (Some(200), 1, 0); "taken by the first")]
#[test_case(&[412], &[200] => (Some(412), 1, 0); "another version is in place")]
#[test_case(&[503], &[200] => (Some(200), 1, 1); "the next one after a 5xx")]
#[test_case(&[429, 200], &[503] => (Some(200), 2, 1); "round again")]
#[test_case(&[404], &[404] => (Some(404), 2, 1); "other refusals end it at the third")]
fn given_two_registrars_when_they_say_this_then_the_call_ends_so(
    first: &[u16],
    second: &[u16],
) -> (Option<u16>, usize, usize) {
    let ((one, heard_one), (two, heard_two)) = (registrar(says(first)), registrar(says(second)));
    let operator = Operator { addrs: vec![one, two], timeout: Duration::from_secs(5) };
    let end = operator.replace(b"{\"epoch\":7}", 5);
    let heard = [heard_one.lock().unwrap().clone(), heard_two.lock().unwrap().clone()];
    // Repeated unchanged, wherever it goes.
    assert!(heard.iter().flatten().all(|heard| *heard == ("5".to_string(), b"{\"epoch\":7}".to_vec())));
    let status = match end {
        CallOutcome::Completed { status, .. } => Some(status),
        CallOutcome::Unclear(_) => None,
    };
    (status, heard[0].len(), heard[1].len())
}

#[test]
fn given_a_registrar_that_sends_on_when_it_does_so_twice_then_the_call_follows() {
    let (last, heard) = registrar(says(&[200]));
    let (second, _) = registrar(vec![(307, format!("http://{last}/-/config/replace"))]);
    let (first, _) = registrar(vec![(307, format!("http://{second}/-/config/replace"))]);
    let operator = Operator { addrs: vec![first], timeout: Duration::from_secs(5) };
    assert_matches!(operator.replace(b"{}", 0), CallOutcome::Completed { status: 200, controller: by, .. } if by == last);
    assert_eq!(heard.lock().unwrap().len(), 1);
}

#[test]
fn given_nobody_who_listens_when_time_is_up_then_the_end_is_unclear_and_says_why() {
    let addr = registrar(says(&[503])).0;
    let operator = Operator { addrs: vec![addr], timeout: Duration::from_millis(120) };
    assert_matches!(operator.read(), CallOutcome::Unclear(said) if said[0].contains("503"));
}
