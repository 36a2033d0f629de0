//! The operator's retries and redirects, against listeners that return prescribed responses.

use assert_matches::assert_matches;
use fernknot_testbed::http::{Connection, encode_response};
use fernknot_testbed::operator::{CallOutcome, Operator};
use std::net::{SocketAddr, SocketAddrV4, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use test_case::test_case;

type ReceivedCalls = Arc<Mutex<Vec<(String, Vec<u8>)>>>;

/// Starts a listener that records the calls and gives these responses in turn, repeating the last one.
fn start_controller(responses: Vec<(u16, String)>) -> (SocketAddrV4, ReceivedCalls) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let SocketAddr::V4(addr) = listener.local_addr().unwrap() else { unreachable!("bound to IPv4") };
    let received = ReceivedCalls::default();
    let recorded = received.clone();
    thread::spawn(move || {
        for (turn, stream) in listener.incoming().enumerate() {
            let mut connection = Connection::from_stream(stream.unwrap(), addr);
            let until = Instant::now() + Duration::from_secs(5);
            let Ok(Some(request)) = connection.read_request(until) else { continue };
            let base = request.header("base-epoch").unwrap_or_default().to_string();
            recorded.lock().unwrap().push((base, request.body));
            let (status, location) = &responses[turn.min(responses.len() - 1)];
            let lines = if location.is_empty() { vec![] } else { vec![format!("Location: {location}")] };
            let _ = connection.send(&encode_response(*status, &lines, b"{}"), until);
        }
    });
    (addr, received)
}

fn responses(statuses: &[u16]) -> Vec<(u16, String)> {
    statuses.iter().map(|status| (*status, String::new())).collect()
}

#[test_case(&[200], &[500] => (Some(200), 1, 0); "accepted by the first")]
#[test_case(&[412], &[200] => (Some(412), 1, 0); "rejected because of another base version")]
#[test_case(&[503], &[200] => (Some(200), 1, 1); "retried at the second after a 5xx")]
#[test_case(&[429, 200], &[503] => (Some(200), 2, 1); "retried at the first after the second")]
#[test_case(&[404], &[404] => (Some(404), 2, 1); "ended by the third rejection")]
fn given_two_controllers_when_they_return_these_statuses_then_the_call_ends_with_the_expected_status(
    first: &[u16],
    second: &[u16],
) -> (Option<u16>, usize, usize) {
    let ((one, received_one), (two, received_two)) =
        (start_controller(responses(first)), start_controller(responses(second)));
    let operator = Operator { addrs: vec![one, two], timeout: Duration::from_secs(5) };
    let outcome = operator.replace(b"{\"epoch\":7}", 5);
    let received = [received_one.lock().unwrap().clone(), received_two.lock().unwrap().clone()];
    // Each retry is identical to the first call.
    assert!(
        received.iter().flatten().all(|received| *received == ("5".to_string(), b"{\"epoch\":7}".to_vec()))
    );
    let status = match outcome {
        CallOutcome::Completed { status, .. } => Some(status),
        CallOutcome::Unclear(_) => None,
    };
    (status, received[0].len(), received[1].len())
}

#[test]
fn given_controllers_that_redirect_twice_when_called_then_the_last_one_receives_the_call() {
    let (last, received) = start_controller(responses(&[200]));
    let (second, _) = start_controller(vec![(307, format!("http://{last}/-/config/replace"))]);
    let (first, _) = start_controller(vec![(307, format!("http://{second}/-/config/replace"))]);
    let operator = Operator { addrs: vec![first], timeout: Duration::from_secs(5) };
    assert_matches!(operator.replace(b"{}", 0), CallOutcome::Completed { status: 200, controller: by, .. } if by == last);
    assert_eq!(received.lock().unwrap().len(), 1);
}

#[test]
fn given_no_final_response_when_the_call_times_out_then_the_outcome_is_unclear_with_the_last_responses() {
    let addr = start_controller(responses(&[503])).0;
    let operator = Operator { addrs: vec![addr], timeout: Duration::from_millis(120) };
    assert_matches!(operator.read(), CallOutcome::Unclear(responses) if responses[0].contains("503"));
}
