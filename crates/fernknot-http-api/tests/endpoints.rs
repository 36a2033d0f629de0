//! Dispatch of requests to endpoints, and the order of requests on one connection.

use assert_matches::assert_matches;
use fernknot_http_api::{
    DispatchOutcome, Dispatcher, Endpoint, Handler, HttpServerConnection, HttpServerSettings, MatchedRequest,
    ReadOutcome, Reply,
};
use fernknot_protocol::buffer::Buffer;
use test_case::test_case;

struct Greet(String);

struct Greeted(String);

impl From<Greeted> for Reply {
    fn from(greeted: Greeted) -> Reply {
        Reply::error(418, &greeted.0)
    }
}

impl Endpoint for Greet {
    type Answer = Greeted;
    const METHOD: &'static str = "POST";
    const PATH: &'static str = "/people/*/greet";

    fn parse(matched: MatchedRequest<'_>) -> Result<Greet, Reply> {
        match matched.request.body.is_empty() {
            true => Err(Reply::error(400, "say something")),
            false => Ok(Greet(matched.segment.to_string())),
        }
    }
}

#[derive(Default)]
struct Server {
    pending: Vec<u64>,
}

impl Handler<Greet, u64> for Server {
    fn handle(&mut self, call: Greet, pending: u64) -> Option<Greeted> {
        if call.0 == "shy" {
            self.pending.push(pending);
            return None;
        }
        Some(Greeted(call.0))
    }
}

fn settings() -> HttpServerSettings {
    HttpServerSettings::new(100, 64.0, 1000).expect("valid settings")
}

fn input(text: &str) -> Buffer {
    let mut input = Buffer::default();
    input.push(text.as_bytes());
    input
}

fn dispatch(method: &str, path: &str, body: &str) -> (Server, DispatchOutcome) {
    let text = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let (mut server, mut output) = (Server::default(), Buffer::default());
    let outcome = HttpServerConnection::default().read_request(&mut input(&text), &mut output, &settings());
    let ReadOutcome::Request(request) = outcome else { panic!("no request: {outcome:?}") };
    let outcome = Dispatcher::default().with_endpoint::<Greet>().dispatch(&mut server, &request, 5);
    (server, outcome)
}

#[test_case("POST", "/people/ann/greet", "hi", 418; "with the method and path of the endpoint")]
#[test_case("POST", "/people/ann/greet?loud=1", "hi", 418; "with a query string")]
#[test_case("POST", "/people/ann/greet", "", 400; "that cannot be parsed")]
#[test_case("GET", "/people/ann/greet", "hi", 405; "with another method")]
#[test_case("POST", "/people//greet", "hi", 404; "without a name")]
#[test_case("POST", "/people/ann/bob/greet", "hi", 404; "with two names")]
#[test_case("POST", "/people/greet", "hi", 404; "that is too short for the pattern")]
fn given_a_dispatcher_when_a_request_arrives_then_its_endpoint_or_an_error_answers_it(
    method: &str,
    path: &str,
    body: &str,
    status: u16,
) {
    assert_matches!(dispatch(method, path, body).1, DispatchOutcome::Ready(reply) if reply.status == status);
}

#[test]
fn given_a_handler_that_answers_later_when_a_request_arrives_then_its_call_stays_pending() {
    let (server, outcome) = dispatch("POST", "/people/shy/greet", "hi");
    assert_matches!(outcome, DispatchOutcome::Pending);
    assert_eq!(server.pending, [5]);
}

#[test]
fn given_two_pipelined_requests_when_the_first_is_pending_then_the_second_is_read_after_its_reply() {
    let mut input = input("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\nConnection: close\r\n\r\n");
    let (mut connection, mut output) = (HttpServerConnection::default(), Buffer::default());
    assert_matches!(connection.read_request(&mut input, &mut output, &settings()), ReadOutcome::Request(request) if request.target == "/a");
    assert_matches!(connection.read_request(&mut input, &mut output, &settings()), ReadOutcome::Incomplete);
    assert!(connection.write_reply(&mut output, 1, &Reply::ok(), false), "the connection stays open");
    assert_matches!(connection.read_request(&mut input, &mut output, &settings()), ReadOutcome::Request(request) if request.target == "/b");
    assert!(
        !connection.write_reply(&mut output, 2, &Reply::ok(), false),
        "the caller requested the connection to be closed"
    );
}

#[test]
fn given_a_content_length_over_the_limit_when_the_head_is_read_then_the_request_is_rejected_before_its_body()
{
    let mut input = input("POST /a HTTP/1.1\r\nContent-Length: 1001\r\n\r\n");
    let mut output = Buffer::default();
    assert_matches!(
        HttpServerConnection::default().read_request(&mut input, &mut output, &settings()),
        ReadOutcome::Rejected
    );
    let text = String::from_utf8_lossy(output.data()).into_owned();
    assert!(text.starts_with("HTTP/1.1 413 "), "{text}");
}

#[test]
fn given_a_reason_with_quotes_when_a_call_is_rejected_then_the_reply_is_valid_json() {
    let reply = Reply::error(400, "routes[0].name: \"a\\b\"\nis bad");
    assert_eq!(reply.body.bytes(), br#"{"error":"routes[0].name: \"a\\b\"\nis bad"}"#);
}
