//! Events of the event loop for bytes that arrive together with the end of a connection.

use fernknot_net::{ConnectionId, Event, EventLoop, EventLoopSettings};
use std::io::Write;
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::time::{Duration, Instant};
use test_case::test_case;

/// Longest time that a step may take.
const TIME_LIMIT: Duration = Duration::from_secs(10);

/// Returns an event loop with one accepted connection, and the remote end of this connection.
fn event_loop() -> (EventLoop, ConnectionId, TcpStream) {
    let settings = EventLoopSettings {
        max_connections: 10,
        read_ahead_bytes: 64 * 1024,
        unacknowledged_timeout: TIME_LIMIT,
    };
    let mut event_loop = EventLoop::new(settings).unwrap();
    // The operating system chooses a free port, which the event loop then binds.
    let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let SocketAddr::V4(addr) = free else { unreachable!("not an IPv4 address") };
    let addr: SocketAddrV4 = addr;
    event_loop.listen(addr).unwrap();
    let remote = TcpStream::connect(addr).unwrap();
    let mut events = Vec::new();
    let started_at = Instant::now();
    while started_at.elapsed() < TIME_LIMIT {
        event_loop.poll(Some(TIME_LIMIT), &mut events);
        if let Some(Event::Accepted { connection, .. }) = events.pop() {
            return (event_loop, connection, remote);
        }
    }
    panic!("no connection was accepted");
}

/// Polls until the end of the connection is reported. Returns whether bytes were received, and the event of the end.
fn poll_until_end(event_loop: &mut EventLoop) -> (bool, Option<Event>) {
    let (mut events, mut received, started_at) = (Vec::new(), false, Instant::now());
    while started_at.elapsed() < TIME_LIMIT {
        event_loop.poll(Some(Duration::from_millis(100)), &mut events);
        for event in events.drain(..) {
            match event {
                Event::Received { .. } => received = true,
                Event::ReadClosed { .. } | Event::Closed { .. } => return (received, Some(event)),
                _ => {}
            }
        }
    }
    (received, None)
}

#[test]
fn bytes_and_an_end_that_arrive_together_are_both_reported() {
    let (mut event_loop, connection, mut remote) = event_loop();
    remote.write_all(b"all of it").unwrap();
    drop(remote);
    let (received, end) = poll_until_end(&mut event_loop);
    assert!(received && matches!(end, Some(Event::ReadClosed { .. })), "{end:?}");
    assert_eq!(event_loop.input(connection).unwrap().data(), b"all of it");
}

#[test_case(9; "a few bytes")]
#[test_case(40_000; "more than one read returns")]
fn bytes_and_a_reset_that_arrive_together_are_both_reported_and_the_bytes_stay_available(count: usize) {
    let (mut event_loop, connection, mut remote) = event_loop();
    let bytes = vec![b'x'; count];
    remote.write_all(&bytes).unwrap();
    socket2::SockRef::from(&remote).set_linger(Some(Duration::ZERO)).unwrap();
    drop(remote);
    let (received, end) = poll_until_end(&mut event_loop);
    assert!(received && matches!(end, Some(Event::Closed { was_open: true, .. })), "{end:?}");
    assert!(event_loop.input(connection).is_none());
    assert_eq!(event_loop.take_unread_input(connection).map(|rest| rest.data().to_vec()), Some(bytes));
    assert!(event_loop.take_unread_input(connection).is_none(), "the input is returned only once");
}

#[test]
fn the_next_poll_drops_the_unread_input_of_a_closed_connection() {
    let (mut event_loop, connection, mut remote) = event_loop();
    remote.write_all(b"late").unwrap();
    socket2::SockRef::from(&remote).set_linger(Some(Duration::ZERO)).unwrap();
    drop(remote);
    assert!(matches!(poll_until_end(&mut event_loop).1, Some(Event::Closed { .. })));
    event_loop.poll(Some(Duration::ZERO), &mut Vec::new());
    assert!(event_loop.take_unread_input(connection).is_none());
}
