//! The network between routers and stores: each connection passes a relay that may stall or reset it.

use std::io::{ErrorKind, Read, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::Duration;

/// How often an idle connection looks at the mode.
const READ_TIMEOUT: Duration = Duration::from_millis(50);
/// How often a stalled connection looks at the mode.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(5);
const BUFFER_BYTES: usize = 16 * 1024;

/// What a relay does with its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum ConnectionMode {
    /// Bytes pass.
    Pass = 0,
    /// Nothing gets through either way, and nothing is closed.
    Stall = 1,
    /// All are reset, and new ones closed.
    Reset = 2,
}

/// The mode, shared with the threads of the connections.
#[derive(Clone)]
struct SharedMode(Arc<AtomicU8>);

impl SharedMode {
    fn is(&self, mode: ConnectionMode) -> bool {
        self.0.load(Ordering::Relaxed) == mode as u8
    }
}

/// Relays connections to one process.
pub(crate) struct ConnectionRelay {
    /// Where the relay listens.
    pub address: SocketAddr,
    mode: SharedMode,
}

impl ConnectionRelay {
    /// Listens on a free port, and relays to this address.
    pub fn start(to: SocketAddr) -> Result<ConnectionRelay> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let mode = SharedMode(Arc::new(AtomicU8::new(ConnectionMode::Pass as u8)));
        let relay = ConnectionRelay { address, mode: mode.clone() };
        // The thread ends with the process, as those of the stand-ins do.
        thread::spawn(move || accept(&listener, to, &mode));
        Ok(relay)
    }

    /// Changes what happens to all connections.
    pub fn set_mode(&self, mode: ConnectionMode) {
        self.mode.0.store(mode as u8, Ordering::Relaxed);
    }
}

fn accept(listener: &TcpListener, to: SocketAddr, mode: &SharedMode) {
    for client in listener.incoming().flatten() {
        if mode.is(ConnectionMode::Reset) {
            continue;
        }
        let Ok(server) = TcpStream::connect(to) else { continue };
        let (Ok(client_clone), Ok(server_clone)) = (client.try_clone(), server.try_clone()) else { continue };
        let (request_mode, answer_mode) = (mode.clone(), mode.clone());
        thread::spawn(move || copy(client, server, &request_mode));
        thread::spawn(move || copy(server_clone, client_clone, &answer_mode));
    }
}

/// Copies one direction until it ends or is reset, and closes both.
fn copy(mut from: TcpStream, mut to: TcpStream, mode: &SharedMode) {
    let mut buffer = [0; BUFFER_BYTES];
    // Without these the copy is slower to notice a change of mode; it works all the same.
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
    // A direction that is closed already is as good.
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}
