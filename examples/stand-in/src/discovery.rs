//! Discovery: a list that can be changed, told whole or as changes to those who watch.

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
    /// Each entry's JSON, and the generation in which it last changed.
    entries: BTreeMap<String, (u64, String)>,
    silent: bool,
    calls: usize,
}

struct State {
    list: Mutex<List>,
    changed: Condvar,
}

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
        let serving = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = serving.clone();
                // A connection that breaks is the router's to see.
                thread::spawn(move || serve(stream, &state).ok());
            }
        });
        Ok(Discovery { address, state })
    }

    fn list(&self) -> MutexGuard<'_, List> {
        self.state.list.lock().expect("no panic before")
    }

    /// Lists a node, or lists it anew.
    pub fn put(&self, name: &str, address: SocketAddr, cell: u32, lifecycle: &str) {
        let entry = format!(
            r#"{{"instanceId":"{name}","hostPort":"{address}","zone":"a","machineType":"m","cell":{cell},"#
        ) + &format!(r#""lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#);
        self.put_raw(name, &entry);
    }

    /// Lists whatever this is.
    pub fn put_raw(&self, name: &str, entry: &str) {
        let mut list = self.list();
        list.generation += 1;
        let generation = list.generation;
        list.entries.insert(name.to_string(), (generation, entry.to_string()));
        self.state.changed.notify_all();
    }

    /// Leaves calls unanswered, or answers again.
    pub fn set_silent(&self, silent: bool) {
        self.list().silent = silent;
        self.state.changed.notify_all();
    }

    pub fn calls(&self) -> usize {
        self.list().calls
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
                let kind = "application/json";
                ResponseHead {
                    status,
                    content_type: kind,
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

/// The list's JSON once there is something to tell, or the call's wait is over.
fn answer(request: &Request, state: &State) -> Option<String> {
    if request.path() != "/discovery/hosts" {
        return None;
    }
    let told = |name: &str| {
        let query = request.target.split('?').nth(1)?;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
    };
    let since = told("index");
    let wait = Duration::from_millis(told("wait").unwrap_or(0).min(60_000));
    let mut list = state.list.lock().expect("no panic before");
    list.calls += 1;
    let nothing = |list: &mut List| list.silent || since.is_some_and(|since| list.generation <= since);
    if since.is_some() {
        list = state.changed.wait_timeout_while(list, wait, nothing).expect("no panic before").0;
    }
    while list.silent {
        list = state.changed.wait(list).expect("no panic before");
    }
    let whole = since.is_none_or(|since| since > list.generation);
    let new = |(changed, _): &&(u64, String)| whole || Some(*changed) > since;
    let entries: Vec<&str> = list.entries.values().filter(new).map(|(_, entry)| entry.as_str()).collect();
    let generation = list.generation;
    Some(format!(r#"{{"generation":{generation},"reset":{whole},"instances":[{}]}}"#, entries.join(",")))
}
