//! Reading and writing of frames and calls.

mod common;

use common::{limits, read_at_every_split};
use fernknot::interface::LoadReport;
use fernknot_protocol::buffer::Buffer;
use fernknot_protocol::frames::{self, CallPart, CallPhase, CallStatus, Frame, ReceivedPart};
use test_case::test_case;

fn read_frames(bytes: &[u8]) -> (Vec<Frame>, Option<String>) {
    read_at_every_split(bytes, || {
        let limits = limits();
        move |buffer: &mut Buffer| frames::read(buffer, &limits).map_err(|error| error.to_string())
    })
}

fn framed(frames: &[(u8, &[u8])]) -> Vec<u8> {
    let mut out = Buffer::default();
    frames.iter().for_each(|(kind, payload)| frames::write_frame(&mut out, *kind, payload));
    out.data().to_vec()
}

#[test]
fn frames_are_read_wherever_the_input_is_split() {
    let response = |id: &str, status, waiting, value: &[u8]| Frame::Response {
        id: id.into(),
        status,
        load: LoadReport { busy_share: None, queued_parts: waiting },
        value: value.to_vec(),
    };
    let bytes = framed(&[
        (b'E', b"a.3 hit 18 served_ps=2,pending=4\nva\nlue"),
        (b'E', b"a.4 fault 0 -\n"),
        (b'D', b"hit"),
        (b'E', b"a.5 hit 1 \xff,pending\nv"),
        (b'E', b"b.0 overload 1 -\n"),
        (b'F', b"no such letter"),
    ]);
    let expected = vec![
        response("a.3", CallStatus::Success, Some(4.0), b"va\nlue"),
        response("a.4", CallStatus::Fault, None, b""),
        Frame::HealthCheckResponse,
        response("a.5", CallStatus::Success, None, b"v"),
        response("b.0", CallStatus::Overload, None, b""),
        Frame::Rejected("no such letter".into()),
    ];
    assert_eq!(read_frames(&bytes), (expected, None));
}

#[test_case(&framed(&[(b'Z', b"")]); "unknown kind")]
#[test_case(&framed(&[(b'E', b"a.1 maybe 1 -\n")]); "unknown status")]
#[test_case(&framed(&[(b'E', b"a.1 hit 1\n")]); "missing field")]
#[test_case(&framed(&[(b'E', b"a.1 hit 1 -")]); "header line without an end")]
#[test_case(&framed(&[(b'E', b"\xff hit 1 -\n")]); "id that is not UTF-8")]
#[test_case(&[0, 0, 0, 0]; "length of zero")]
#[test_case(&[255, 255, 255, 255]; "length above the limit")]
fn malformed_frames_are_rejected(bytes: &[u8]) {
    let (received, error) = read_frames(bytes);
    assert!(received.is_empty() && error.is_some());
}

#[test]
fn a_call_is_read_as_written() {
    let part = |id, key, text| CallPart { id, shard: 3, timeout_ms: 240, key, phase: None, text };
    let mut out = Buffer::default();
    frames::write_call(&mut out, [part("a.3", Some("5c"), "x\ny"), part("b.3", None, "")].into_iter());
    let frame = frames::peek_frame(&out, &limits()).unwrap().unwrap();
    assert_eq!((frame.kind, frame.length), (b'A', out.len()));
    let parts = frames::read_call(frame.payload).unwrap();
    let received = |id, options, text| ReceivedPart { id, shard: 3, options, text };
    assert_eq!(parts, [received("a.3", "d=240,k=5c", "x\ny"), received("b.3", "d=240", "")]);
    assert_eq!(frames::read_call(&frame.payload[..frame.payload.len() - 8]), None);
}

#[test_case(None, "d=240,k=5c"; "no phase")]
#[test_case(Some(CallPhase::Match { version: None }), "d=240,k=5c,p=match"; "match")]
#[test_case(Some(CallPhase::Match { version: Some(7) }), "d=240,k=5c,p=match,v=7"; "match with a version")]
#[test_case(Some(CallPhase::Fetch), "d=240,k=5c,p=fetch"; "fetch")]
fn the_options_of_a_part_contain_its_phase(phase: Option<CallPhase>, options: &str) {
    let part = CallPart { id: "a,m.3", shard: 3, timeout_ms: 240, key: Some("5c"), phase, text: "x" };
    let mut out = Buffer::default();
    frames::write_call(&mut out, [part].into_iter());
    let frame = frames::peek_frame(&out, &limits()).unwrap().unwrap();
    let received = ReceivedPart { id: "a,m.3", shard: 3, options, text: "x" };
    assert_eq!(frames::read_call(frame.payload).unwrap(), [received]);
}
