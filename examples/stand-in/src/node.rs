//! A data node: answers each part with its shard and text, or misbehaves as told.

use fernknot::interface::ShardId;
use fernknot_protocol::buffer::Buffer;
use fernknot_protocol::frames::{self, RawFrame, ReceivedPart};
use fernknot_protocol::matches::{self, MatchAnswer, MatchedBlocks};
use std::io::{Read, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What a node does with the calls that come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    Answer,
    /// Answers after a while.
    Late(Duration),
    /// Answers each part twice, the first time under an id that nobody asked for.
    Strange,
    /// Says that a frame is longer than what comes of it.
    Endless,
    /// Answers, and sends a little more behind that.
    Noisy,
    /// Asked in two phases: says after a while whether its blocks match, and answers fetches after
    /// another, or never. Anything else it answers at once.
    Phased {
        matches: bool,
        match_after: Duration,
        fetch_after: Option<Duration>,
    },
    Fault,
    Overload,
    Silent,
    /// Answers nothing on its first connection and all on others.
    Mute,
    /// Closes each connection once a call has come.
    Break,
    /// Says that the frame could not be used, and closes.
    Unusable,
}

/// One part as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    pub id: String,
    pub shard: u32,
    pub list: String,
    pub text: String,
}

struct State {
    behaviour: Mutex<Behaviour>,
    calls: Mutex<Vec<Call>>,
    given_up: Mutex<Vec<String>>,
    connections: Mutex<usize>,
}

pub struct DataNode {
    pub address: SocketAddr,
    state: Arc<State>,
}

impl DataNode {
    /// Listens on a port of its own and serves until the process ends.
    pub fn start(behaviour: Behaviour) -> Result<DataNode> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = Arc::new(State {
            behaviour: Mutex::new(behaviour),
            calls: Mutex::default(),
            given_up: Mutex::default(),
            connections: Mutex::default(),
        });
        let serving = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = serving.clone();
                let number = {
                    let mut connections = state.connections.lock().expect("no panic before");
                    *connections += 1;
                    *connections
                };
                // A connection that breaks is the router's to see.
                thread::spawn(move || serve(stream, number, &state).ok());
            }
        });
        Ok(DataNode { address, state })
    }

    pub fn set(&self, behaviour: Behaviour) {
        *self.state.behaviour.lock().expect("no panic before") = behaviour;
    }

    pub fn calls(&self) -> Vec<Call> {
        self.state.calls.lock().expect("no panic before").clone()
    }

    pub fn given_up(&self) -> Vec<String> {
        self.state.given_up.lock().expect("no panic before").clone()
    }

    pub fn connections(&self) -> usize {
        *self.state.connections.lock().expect("no panic before")
    }
}

fn serve(mut stream: TcpStream, number: usize, state: &State) -> Result<()> {
    stream.set_nodelay(true)?;
    let limits = crate::limits();
    let mut input = Buffer::default();
    loop {
        let Ok(frame) = frames::peek_frame(&input, &limits) else {
            return unusable(&mut stream, "unfit length");
        };
        if let Some(RawFrame { kind, payload, length }) = frame {
            match kind {
                b'A' => match frames::read_call(payload) {
                    Some(calls) => {
                        for ReceivedPart { id, shard, options, text } in calls {
                            let call = Call { id: id.into(), shard, list: options.into(), text: text.into() };
                            state.calls.lock().expect("no panic before").push(call.clone());
                            answer(&mut stream, number, state, &call)?;
                        }
                    }
                    None => return unusable(&mut stream, "unfit call"),
                },
                b'B' => {
                    let id = String::from_utf8_lossy(payload).into_owned();
                    state.given_up.lock().expect("no panic before").push(id);
                }
                b'C' | b'D' => write(&mut stream, kind, b"hit")?,
                _ => return unusable(&mut stream, "unknown letter"),
            }
            input.consume(length);
            continue;
        }
        match stream.read(input.reserve(4096))? {
            0 => return Ok(()),
            count => input.commit(count),
        }
    }
}

fn answer(stream: &mut TcpStream, number: usize, state: &State, call: &Call) -> Result<()> {
    let behaviour = *state.behaviour.lock().expect("no panic before");
    let value = format!("{} of shard {}", call.text, call.shard);
    let ended = |end: &str, id: &str, value: &str| format!("{id} {end} 1 queue=0\n{value}");
    match behaviour {
        Behaviour::Mute if number == 1 => Ok(()),
        Behaviour::Answer | Behaviour::Mute => write(stream, b'E', ended("hit", &call.id, &value).as_bytes()),
        Behaviour::Late(wait) => {
            thread::sleep(wait);
            write(stream, b'E', ended("hit", &call.id, &value).as_bytes())
        }
        Behaviour::Phased { matches, match_after, fetch_after } => {
            let phase = call.list.split(',').find_map(|word| word.strip_prefix("p="));
            let value = match phase {
                Some("match") => {
                    thread::sleep(match_after);
                    let blocks = if matches { vec![ShardId(call.shard)] } else { Vec::new() };
                    matches::write(&MatchAnswer {
                        matched_blocks: MatchedBlocks::Blocks(blocks),
                        summary: None,
                    })
                }
                Some(_) => match fetch_after {
                    Some(wait) => {
                        thread::sleep(wait);
                        value
                    }
                    None => return Ok(()),
                },
                None => value,
            };
            write(stream, b'E', ended("hit", &call.id, &value).as_bytes())
        }
        Behaviour::Strange => {
            write(stream, b'E', ended("hit", "nobody.0", &value).as_bytes())?;
            write(stream, b'E', ended("hit", &call.id, &value).as_bytes())
        }
        Behaviour::Endless => stream.write_all(&[99, 0, 0, 0, b'E']),
        Behaviour::Noisy => {
            write(stream, b'E', ended("hit", &call.id, &value).as_bytes())?;
            stream.write_all(&[99, 0])
        }
        Behaviour::Fault => write(stream, b'E', ended("fault", &call.id, "").as_bytes()),
        Behaviour::Overload => write(stream, b'E', ended("overload", &call.id, "").as_bytes()),
        Behaviour::Silent => Ok(()),
        Behaviour::Break => stream.shutdown(Shutdown::Both),
        Behaviour::Unusable => unusable(stream, "not today"),
    }
}

fn unusable(stream: &mut TcpStream, words: &str) -> Result<()> {
    write(stream, b'F', words.as_bytes())?;
    stream.shutdown(Shutdown::Both)
}

fn write(stream: &mut TcpStream, letter: u8, rest: &[u8]) -> Result<()> {
    let mut out = Buffer::default();
    frames::write_frame(&mut out, letter, rest);
    stream.write_all(out.data())
}
