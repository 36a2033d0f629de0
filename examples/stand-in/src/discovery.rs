//! A discovery service whose list of nodes can be changed; watchers receive the full list or its changes.

use fernknot_protocol::buffer::Buffer;
use fernknot_protocol::http::{Request, RequestReader, ResponseHead};
use std::collections::BTreeMap;
use std::io::{Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

#[derive(Default)]
struct List {
    generation: u64,
    /// Each entry's JSON by the name of its node, and the generation of the list in which the entry last changed. Each
    /// change of the list increases the generation by 1.
    entries: BTreeMap<String, (u64, String)>,
    is_unresponsive: bool,
    call_count: usize,
}

struct State {
    list: Mutex<List>,
    changed: Condvar,
}

/// A discovery service on a loopback port.
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<State>,
}

impl Discovery {
    /// Listens at this address and serves until the process ends.
    pub fn start(address: &str) -> Result<Discovery> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let state = Arc::new(State { list: Mutex::default(), changed: Condvar::new() });
        let server_state = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = server_state.clone();
                // A connection error needs no handling here: the router under test handles it.
                thread::spawn(move || serve(stream, &state).ok());
            }
        });
        Ok(Discovery { address, state })
    }

    fn list(&self) -> MutexGuard<'_, List> {
        self.state.list.lock().expect("no thread panicked")
    }

    /// Adds a node to the list, or replaces its entry.
    pub fn put(&self, name: &str, address: SocketAddr, cell: u32, lifecycle: &str) {
        let entry = format!(
            r#"{{"instanceId":"{name}","hostPort":"{address}","zone":"a","machineType":"m","cell":{cell},"#
        ) + &format!(r#""lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#);
        self.put_entry(name, &entry);
    }

    /// Adds or replaces an entry given as JSON, which need not be valid.
    pub fn put_entry(&self, name: &str, entry: &str) {
        let mut list = self.list();
        list.generation += 1;
        let generation = list.generation;
        list.entries.insert(name.to_string(), (generation, entry.to_string()));
        self.state.changed.notify_all();
    }

    /// Leaves all calls unanswered until it is set back to false.
    pub fn set_unresponsive(&self, is_unresponsive: bool) {
        self.list().is_unresponsive = is_unresponsive;
        self.state.changed.notify_all();
    }

    /// Number of calls received so far.
    pub fn call_count(&self) -> usize {
        self.list().call_count
    }
}

fn serve(mut stream: TcpStream, state: &State) -> Result<()> {
    stream.set_nodelay(true)?;
    let limits = crate::limits();
    let (mut input, mut reader) = (Buffer::default(), RequestReader::default());
    loop {
        match reader.read(&mut input, &limits) {
            Ok(Some(request)) => {
                let body = answer(&request, state);
                let mut out = Buffer::default();
                let status = if body.is_some() { 200 } else { 404 };
                let content_type = "application/json";
                ResponseHead {
                    status,
                    content_type,
                    retry_after_s: None,
                    keeps_connection: request.keeps_connection,
                    is_http_1_0: request.is_http_1_0,
                }
                .write(&mut out, body.unwrap_or_default().as_bytes());
                stream.write_all(out.data())?;
                if !request.keeps_connection {
                    return Ok(());
                }
            }
            Ok(None) => match stream.read(input.reserve(4096))? {
                0 => return Ok(()),
                count => input.commit(count),
            },
            Err(_) => return Ok(()),
        }
    }
}

/// Returns the JSON of the full list, or of its changes since the generation in the call's `index`. Changes are
/// returned as soon as there are any, or when the time in the call's `wait` (in milliseconds) is over. `None` for an
/// unknown path.
fn answer(request: &Request, state: &State) -> Option<String> {
    if request.path() != "/discovery/hosts" {
        return None;
    }
    let parameter = |name: &str| {
        let query = request.target.split('?').nth(1)?;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
    };
    let since = parameter("index");
    let wait = Duration::from_millis(parameter("wait").unwrap_or(0).min(60_000));
    let mut list = state.list.lock().expect("no thread panicked");
    list.call_count += 1;
    let is_unchanged =
        |list: &mut List| list.is_unresponsive || since.is_some_and(|since| list.generation <= since);
    if since.is_some() {
        list = state.changed.wait_timeout_while(list, wait, is_unchanged).expect("no thread panicked").0;
    }
    while list.is_unresponsive {
        list = state.changed.wait(list).expect("no thread panicked");
    }
    let is_full = since.is_none_or(|since| since > list.generation);
    let is_listed = |(changed, _): &&(u64, String)| is_full || Some(*changed) > since;
    let entries: Vec<&str> =
        list.entries.values().filter(is_listed).map(|(_, entry)| entry.as_str()).collect();
    let generation = list.generation;
    Some(format!(r#"{{"generation":{generation},"reset":{is_full},"instances":[{}]}}"#, entries.join(",")))
}
