//! Requests and responses are read however they are cut.

mod common;

use common::{limits, same_however_cut};
use fernknot_protocol::buffer::Buffer;
use fernknot_protocol::http::{RequestReader, ResponseHead, ResponseReader};
use test_case::test_case;

type Seen = (String, String, Option<String>, Vec<u8>, bool);

fn requests(bytes: &[u8]) -> (Vec<Seen>, Option<String>) {
    same_however_cut(bytes, || {
        let (mut reader, limits) = (RequestReader::default(), limits());
        move |buffer: &mut Buffer| match reader.read(buffer, &limits) {
            Ok(request) => Ok(request.map(|request| {
                let header = request.header("Req-Id").map(str::to_string);
                (request.method, request.target, header, request.body, request.keeps_connection)
            })),
            Err(bad) => Err(format!("{} {}", bad.status, bad.reason)),
        }
    })
}

#[test_case("POST /p HTTP/1.1\r\nreq-id: 7\r\nCONTENT-LENGTH: 3\r\n\r\nabc", "abc", true; "length")]
#[test_case("POST /p HTTP/1.1\r\nReq-Id: 7\r\nTransfer-Encoding: Chunked\r\n\r\n2;x=y\r\nab\r\n1\r\nc\r\n0\r\nT: r\r\n\r\n", "abc", true; "chunks and trailers")]
#[test_case("POST /p HTTP/1.1\r\nReq-Id: 7\r\nConnection: foo, Close\r\n\r\n", "", false; "told to close")]
#[test_case("POST /p HTTP/1.0\r\nReq-Id: 7\r\n\r\n", "", false; "old")]
#[test_case("POST /p HTTP/1.0\r\nReq-Id: 7\r\nConnection: keep-alive\r\n\r\n", "", true; "old and kept")]
fn requests_are_read_however_they_are_cut(text: &str, body: &str, keep: bool) {
    let want = ("POST".into(), "/p".into(), Some("7".into()), body.as_bytes().to_vec(), keep);
    assert_eq!(requests(text.as_bytes()), (vec![want.clone()], None));
    let twice = requests(text.repeat(2).as_bytes());
    assert_eq!(twice, (vec![want.clone(), want], None));
}

#[test_case("GARBAGE\r\n\r\n", "400"; "not HTTP")]
#[test_case("GET / HTTP/1.1\r\nbad header\r\n\r\n", "400"; "bad header")]
#[test_case("GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "400"; "bad length")]
#[test_case("GET / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n", "400"; "length past counting")]
#[test_case("GET / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", "413"; "body too long")]
#[test_case("GET / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "400"; "two framings")]
#[test_case("GET / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", "501"; "strange coding")]
#[test_case("GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc", "400"; "chunk without its end")]
#[test_case("GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n", "413"; "vast chunk")]
fn what_cannot_be_framed_is_refused(text: &str, status: &str) {
    let (got, why) = requests(text.as_bytes());
    assert!(got.is_empty() && why.as_ref().is_some_and(|why| why.starts_with(status)), "{why:?}");
}

#[test]
fn a_head_past_its_limit_is_refused_before_it_ends() {
    let mut buffer = Buffer::default();
    buffer.push(b"GET / HTTP/1.1\r\nA: ");
    buffer.push(&vec![b'a'; limits().max_head_bytes]);
    assert_eq!(RequestReader::default().read(&mut buffer, &limits()).unwrap_err().status, 431);
}

#[test]
fn responses_are_read_as_they_were_written_and_to_the_end_where_no_length_is_given() {
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
    let (got, why) = same_however_cut(out.data(), || {
        let (mut reader, limits) = (ResponseReader::default(), limits());
        move |buffer: &mut Buffer| {
            let response = reader.read(buffer, false, &limits).map_err(|bad| bad.reason.to_string())?;
            Ok(response.map(|response| (response.status, response.body, response.keeps_connection)))
        }
    });
    assert_eq!((got, why), (vec![(503, b"later".to_vec(), true)], None));
    let mut buffer = Buffer::default();
    buffer.push(b"HTTP/1.1 200 OK\r\n\r\nabc");
    let mut reader = ResponseReader::default();
    assert!(reader.read(&mut buffer, false, &limits()).unwrap().is_none());
    let response = reader.read(&mut buffer, true, &limits()).unwrap().unwrap();
    assert_eq!((response.body, response.keeps_connection), (b"abc".to_vec(), false));
}
