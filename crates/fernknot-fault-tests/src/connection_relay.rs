//! Relay for connections between routers and stores, which can stall or reset them.

use std::io::{ErrorKind, Read, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::Duration;

/// Interval at which an idle connection checks the mode of the relay.
const READ_TIMEOUT: Duration = Duration::from_millis(50);
/// Interval at which a stalled connection checks the mode of the relay.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(5);
const BUFFER_BYTES: usize = 16 * 1024;

/// Treatment of the connections of a relay; `Pass` at the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum ConnectionMode {
    /// Forwards all bytes.
    Pass = 0,
    /// Keeps connections open, but forwards nothing in either direction.
    Stall = 1,
    /// Closes existing connections, and new ones at once.
    Reset = 2,
}

/// Mode shared with the threads of the connections.
#[derive(Clone)]
struct SharedMode(Arc<AtomicU8>);

impl SharedMode {
    fn is(&self, mode: ConnectionMode) -> bool {
        self.0.load(Ordering::Relaxed) == mode as u8
    }
}

/// Relay of connections from a router to one store.
pub(crate) struct ConnectionRelay {
    /// Address at which the relay accepts connections.
    pub address: SocketAddr,
    mode: SharedMode,
}

impl ConnectionRelay {
    /// Starts a relay from a free port to this address.
    pub fn start(to: SocketAddr) -> Result<ConnectionRelay> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let mode = SharedMode(Arc::new(AtomicU8::new(ConnectionMode::Pass as u8)));
        let relay = ConnectionRelay { address, mode: mode.clone() };
        // The thread runs until the process ends.
        thread::spawn(move || accept_connections(&listener, to, &mode));
        Ok(relay)
    }

    /// Sets the mode of all connections.
    pub fn set_mode(&self, mode: ConnectionMode) {
        self.mode.0.store(mode as u8, Ordering::Relaxed);
    }
}

fn accept_connections(listener: &TcpListener, to: SocketAddr, mode: &SharedMode) {
    for client in listener.incoming().flatten() {
        if mode.is(ConnectionMode::Reset) {
            continue;
        }
        let Ok(server) = TcpStream::connect(to) else { continue };
        let (Ok(client_clone), Ok(server_clone)) = (client.try_clone(), server.try_clone()) else { continue };
        let (request_mode, answer_mode) = (mode.clone(), mode.clone());
        thread::spawn(move || copy_direction(client, server, &request_mode));
        thread::spawn(move || copy_direction(server_clone, client_clone, &answer_mode));
    }
}

/// Copies the bytes of one direction until its sender closes or the mode resets it, then closes both directions.
fn copy_direction(mut from: TcpStream, mut to: TcpStream, mode: &SharedMode) {
    let mut buffer = [0; BUFFER_BYTES];
    // Errors are ignored: without these options the copy works, but notices a mode change later.
    let _ = from.set_read_timeout(Some(READ_TIMEOUT));
    let _ = to.set_nodelay(true);
    loop {
        let read = from.read(&mut buffer);
        while mode.is(ConnectionMode::Stall) {
            thread::sleep(STALL_CHECK_INTERVAL);
        }
        let is_reset = mode.is(ConnectionMode::Reset);
        match read {
            Ok(length) if length > 0 && !is_reset => {
                if to.write_all(&buffer[..length]).is_err() {
                    break;
                }
            }
            Err(error) if !is_reset && is_timeout(&error) => {}
            _ => break,
        }
    }
    // Fails only if the connection is closed already.
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}
