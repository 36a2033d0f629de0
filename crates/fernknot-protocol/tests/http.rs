//! Reading of requests and responses, and writing of responses.

mod common;

use common::{limits, read_at_every_split};
use fernknot_protocol::buffer::Buffer;
use fernknot_protocol::http::{RequestReader, ResponseHead, ResponseReader};
use test_case::test_case;

/// Method, target, value of `Req-Id`, body, and whether the connection stays open.
type RequestFields = (String, String, Option<String>, Vec<u8>, bool);

fn read_requests(bytes: &[u8]) -> (Vec<RequestFields>, Option<String>) {
    read_at_every_split(bytes, || {
        let (mut reader, limits) = (RequestReader::default(), limits());
        move |buffer: &mut Buffer| match reader.read(buffer, &limits) {
            Ok(request) => Ok(request.map(|request| {
                let header = request.header("Req-Id").map(str::to_string);
                (request.method, request.target, header, request.body, request.keeps_connection)
            })),
            Err(error) => Err(format!("{} {}", error.status, error.reason)),
        }
    })
}

#[test_case("POST /p HTTP/1.1\r\nreq-id: 7\r\nCONTENT-LENGTH: 3\r\n\r\nabc", "abc", true; "content length")]
#[test_case("POST /p HTTP/1.1\r\nReq-Id: 7\r\nTransfer-Encoding: Chunked\r\n\r\n2;x=y\r\nab\r\n1\r\nc\r\n0\r\nT: r\r\n\r\n", "abc", true; "chunks and trailers")]
#[test_case("POST /p HTTP/1.1\r\nReq-Id: 7\r\nConnection: foo, Close\r\n\r\n", "", false; "connection to be closed")]
#[test_case("POST /p HTTP/1.0\r\nReq-Id: 7\r\n\r\n", "", false; "HTTP 1.0")]
#[test_case("POST /p HTTP/1.0\r\nReq-Id: 7\r\nConnection: keep-alive\r\n\r\n", "", true; "HTTP 1.0 with keep-alive")]
fn requests_are_read_wherever_the_input_is_split(text: &str, body: &str, keeps_connection: bool) {
    let expected = ("POST".into(), "/p".into(), Some("7".into()), body.as_bytes().to_vec(), keeps_connection);
    assert_eq!(read_requests(text.as_bytes()), (vec![expected.clone()], None));
    let twice = read_requests(text.repeat(2).as_bytes());
    assert_eq!(twice, (vec![expected.clone(), expected], None));
}

#[test_case("GARBAGE\r\n\r\n", "400"; "not HTTP")]
#[test_case("GET / HTTP/1.1\r\nbad header\r\n\r\n", "400"; "bad header")]
#[test_case("GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "400"; "bad length")]
#[test_case("GET / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n", "400"; "length above the largest integer")]
#[test_case("GET / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", "413"; "body too long")]
#[test_case("GET / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "400"; "both length and transfer coding")]
#[test_case("GET / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", "501"; "unsupported transfer coding")]
#[test_case("GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc", "400"; "chunk without a line end")]
#[test_case("GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n", "413"; "chunk size above the limit")]
fn malformed_or_oversized_requests_are_rejected_with_a_status(text: &str, status: &str) {
    let (messages, error) = read_requests(text.as_bytes());
    assert!(
        messages.is_empty() && error.as_ref().is_some_and(|error| error.starts_with(status)),
        "{error:?}"
    );
}

#[test]
fn a_head_above_the_limit_is_rejected_before_it_is_complete() {
    let mut buffer = Buffer::default();
    buffer.push(b"GET / HTTP/1.1\r\nA: ");
    buffer.push(&vec![b'a'; limits().max_head_bytes]);
    assert_eq!(RequestReader::default().read(&mut buffer, &limits()).unwrap_err().status, 431);
}

#[test]
fn responses_are_read_as_written_and_up_to_the_end_of_the_connection_without_a_length() {
    let mut out = Buffer::default();
    out.push(b"HTTP/1.1 100 Continue\r\n\r\n");
    ResponseHead {
        status: 503,
        content_type: "text/plain",
        retry_after_s: Some(0.25),
        keeps_connection: true,
        is_http_1_0: false,
    }
    .write(&mut out, b"later");
    let text = String::from_utf8(out.data().to_vec()).unwrap();
    assert!(text.contains("Retry-After: 0.250\r\n"), "{text}");
    let (messages, error) = read_at_every_split(out.data(), || {
        let (mut reader, limits) = (ResponseReader::default(), limits());
        move |buffer: &mut Buffer| {
            let response = reader.read(buffer, false, &limits).map_err(|error| error.reason.to_string())?;
            Ok(response.map(|response| (response.status, response.body, response.keeps_connection)))
        }
    });
    assert_eq!((messages, error), (vec![(503, b"later".to_vec(), true)], None));
    let mut buffer = Buffer::default();
    buffer.push(b"HTTP/1.1 200 OK\r\n\r\nabc");
    let mut reader = ResponseReader::default();
    assert!(reader.read(&mut buffer, false, &limits()).unwrap().is_none());
    let response = reader.read(&mut buffer, true, &limits()).unwrap().unwrap();
    assert_eq!((response.body, response.keeps_connection), (b"abc".to_vec(), false));
}
