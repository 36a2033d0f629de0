//! The loop's connections over loopback: what is told of bytes with which a connection ends.

use fernknot_net::{ConnectionId, Event, EventLoop, EventLoopSettings};
use std::io::Write;
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::time::{Duration, Instant};
use test_case::test_case;

/// The longest that anything here may take.
const LONG: Duration = Duration::from_secs(10);

/// A loop with one connection that came in, and its other end.
fn dock() -> (EventLoop, ConnectionId, TcpStream) {
    let facts =
        EventLoopSettings { max_connections: 10, read_ahead_bytes: 64 * 1024, unacknowledged_timeout: LONG };
    let mut dock = EventLoop::new(facts).unwrap();
    // A port that nobody has: the system gives one, which the loop then takes.
    let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let SocketAddr::V4(addr) = free else { unreachable!("an address of another family") };
    let addr: SocketAddrV4 = addr;
    dock.listen(addr).unwrap();
    let other = TcpStream::connect(addr).unwrap();
    let mut news = Vec::new();
    let began = Instant::now();
    while began.elapsed() < LONG {
        dock.poll(Some(LONG), &mut news);
        if let Some(Event::Accepted { connection: berth, .. }) = news.pop() {
            return (dock, berth, other);
        }
    }
    panic!("no connection came in");
}

/// Turns until the end of the connection is told; whether bytes were, and which end it was.
fn until_end(dock: &mut EventLoop) -> (bool, Option<Event>) {
    let (mut news, mut came, began) = (Vec::new(), false, Instant::now());
    while began.elapsed() < LONG {
        dock.poll(Some(Duration::from_millis(100)), &mut news);
        for event in news.drain(..) {
            match event {
                Event::Received { .. } => came = true,
                Event::ReadClosed { .. } | Event::Closed { .. } => return (came, Some(event)),
                _ => {}
            }
        }
    }
    (came, None)
}

#[test]
fn given_bytes_and_an_end_that_come_at_once_then_both_are_told() {
    let (mut dock, berth, mut other) = dock();
    other.write_all(b"all of it").unwrap();
    drop(other);
    let (came, end) = until_end(&mut dock);
    assert!(came && matches!(end, Some(Event::ReadClosed { .. })), "{end:?}");
    assert_eq!(dock.input(berth).unwrap().data(), b"all of it");
}

#[test_case(9; "a few bytes")]
#[test_case(40_000; "more than one read takes")]
fn given_bytes_and_a_reset_that_come_at_once_then_both_are_told_and_the_bytes_are_left(count: usize) {
    let (mut dock, berth, mut other) = dock();
    let bytes = vec![b'x'; count];
    other.write_all(&bytes).unwrap();
    socket2::SockRef::from(&other).set_linger(Some(Duration::ZERO)).unwrap();
    drop(other);
    let (came, end) = until_end(&mut dock);
    assert!(came && matches!(end, Some(Event::Closed { was_open: true, .. })), "{end:?}");
    assert!(dock.input(berth).is_none());
    assert_eq!(dock.take_unread_input(berth).map(|rest| rest.data().to_vec()), Some(bytes));
    assert!(dock.take_unread_input(berth).is_none(), "it is given once");
}

#[test]
fn given_bytes_of_a_connection_that_went_when_nobody_takes_them_then_the_next_turn_drops_them() {
    let (mut dock, berth, mut other) = dock();
    other.write_all(b"late").unwrap();
    socket2::SockRef::from(&other).set_linger(Some(Duration::ZERO)).unwrap();
    drop(other);
    assert!(matches!(until_end(&mut dock).1, Some(Event::Closed { .. })));
    dock.poll(Some(Duration::ZERO), &mut Vec::new());
    assert!(dock.take_unread_input(berth).is_none());
}
