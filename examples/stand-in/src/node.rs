//! A data node that answers each part of a call, which is the request for one shard, with the text and the shard of the
//! part, or misbehaves in a chosen way.

use fernknot::interface::ShardId;
use fernknot_protocol::buffer::Buffer;
use fernknot_protocol::frames::{self, RawFrame, ReceivedPart};
use fernknot_protocol::matches::{self, MatchAnswer, MatchedBlocks};
use std::io::{Read, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Reaction of a node to the calls that it receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeBehaviour {
    /// Answers each part at once.
    Answer,
    /// Answers each part after a delay.
    Delayed(Duration),
    /// Answers each part twice, the first time under an id that was never requested.
    UnknownIdFirst,
    /// Sends the beginning of a frame, and never the rest that its length announces.
    TruncatedFrame,
    /// Answers, and sends a few bytes of an incomplete frame after the answer.
    TrailingBytes,
    /// Answers the parts of two-phase queries after a delay, and all other parts at once.
    TwoPhase {
        /// Whether the answers of the first phase name the block of the requested shard (its part of the index) as one
        /// that holds matches.
        matches: bool,
        /// Delay of the answers in the first phase.
        match_after: Duration,
        /// Delay of the answers in the second phase; `None`: no answer.
        fetch_after: Option<Duration>,
    },
    /// Answers each part with an error.
    Fault,
    /// Rejects each part as overloaded.
    Overload,
    /// Never answers.
    Unresponsive,
    /// Never answers on its first connection, and answers at once on all others.
    UnresponsiveFirstConnection,
    /// Closes each connection on which it receives a call.
    CloseConnection,
    /// Rejects the frame as malformed, and closes the connection.
    RejectFrame,
}

/// A part of a call as it was received: the request for one shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    pub id: String,
    pub shard: u32,
    /// Options of the part, such as its deadline, separated by commas.
    pub options: String,
    pub text: String,
}

struct State {
    behaviour: Mutex<NodeBehaviour>,
    calls: Mutex<Vec<Call>>,
    cancelled_ids: Mutex<Vec<String>>,
    connection_count: Mutex<usize>,
}

/// A data node on a loopback port, with a record of the calls that it received.
pub struct DataNode {
    pub address: SocketAddr,
    state: Arc<State>,
}

impl DataNode {
    /// Listens on a free loopback port and serves until the process ends.
    pub fn start(behaviour: NodeBehaviour) -> Result<DataNode> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = Arc::new(State {
            behaviour: Mutex::new(behaviour),
            calls: Mutex::default(),
            cancelled_ids: Mutex::default(),
            connection_count: Mutex::default(),
        });
        let server_state = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = server_state.clone();
                let number = {
                    let mut connection_count = state.connection_count.lock().expect("no thread panicked");
                    *connection_count += 1;
                    *connection_count
                };
                // A connection error needs no handling here: the router under test handles it.
                thread::spawn(move || serve(stream, number, &state).ok());
            }
        });
        Ok(DataNode { address, state })
    }

    /// Changes the reaction to all further calls.
    pub fn set_behaviour(&self, behaviour: NodeBehaviour) {
        *self.state.behaviour.lock().expect("no thread panicked") = behaviour;
    }

    /// Parts received so far, in the order of their arrival.
    pub fn calls(&self) -> Vec<Call> {
        self.state.calls.lock().expect("no thread panicked").clone()
    }

    /// Ids of the parts whose cancellation was received.
    pub fn cancelled_ids(&self) -> Vec<String> {
        self.state.cancelled_ids.lock().expect("no thread panicked").clone()
    }

    /// Number of connections accepted so far.
    pub fn connection_count(&self) -> usize {
        *self.state.connection_count.lock().expect("no thread panicked")
    }
}

fn serve(mut stream: TcpStream, connection_number: usize, state: &State) -> Result<()> {
    stream.set_nodelay(true)?;
    let limits = crate::limits();
    let mut input = Buffer::default();
    loop {
        let Ok(frame) = frames::peek_frame(&input, &limits) else {
            return reject_frame(&mut stream, "frame length out of range");
        };
        if let Some(RawFrame { kind, payload, length }) = frame {
            match kind {
                b'A' => match frames::read_call(payload) {
                    Some(calls) => {
                        for ReceivedPart { id, shard, options, text } in calls {
                            let call =
                                Call { id: id.into(), shard, options: options.into(), text: text.into() };
                            state.calls.lock().expect("no thread panicked").push(call.clone());
                            answer(&mut stream, connection_number, state, &call)?;
                        }
                    }
                    None => return reject_frame(&mut stream, "malformed call"),
                },
                b'B' => {
                    let id = String::from_utf8_lossy(payload).into_owned();
                    state.cancelled_ids.lock().expect("no thread panicked").push(id);
                }
                b'C' | b'D' => write(&mut stream, kind, b"hit")?,
                _ => return reject_frame(&mut stream, "unknown kind of frame"),
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

fn answer(stream: &mut TcpStream, connection_number: usize, state: &State, call: &Call) -> Result<()> {
    let behaviour = *state.behaviour.lock().expect("no thread panicked");
    let value = format!("{} of shard {}", call.text, call.shard);
    let response = |status: &str, id: &str, value: &str| format!("{id} {status} 1 queue=0\n{value}");
    match behaviour {
        NodeBehaviour::UnresponsiveFirstConnection if connection_number == 1 => Ok(()),
        NodeBehaviour::Answer | NodeBehaviour::UnresponsiveFirstConnection => {
            write(stream, b'E', response("hit", &call.id, &value).as_bytes())
        }
        NodeBehaviour::Delayed(delay) => {
            thread::sleep(delay);
            write(stream, b'E', response("hit", &call.id, &value).as_bytes())
        }
        NodeBehaviour::TwoPhase { matches, match_after, fetch_after } => {
            let phase = call.options.split(',').find_map(|option| option.strip_prefix("p="));
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
                    Some(delay) => {
                        thread::sleep(delay);
                        value
                    }
                    None => return Ok(()),
                },
                None => value,
            };
            write(stream, b'E', response("hit", &call.id, &value).as_bytes())
        }
        NodeBehaviour::UnknownIdFirst => {
            write(stream, b'E', response("hit", "nobody.0", &value).as_bytes())?;
            write(stream, b'E', response("hit", &call.id, &value).as_bytes())
        }
        NodeBehaviour::TruncatedFrame => stream.write_all(&[99, 0, 0, 0, b'E']),
        NodeBehaviour::TrailingBytes => {
            write(stream, b'E', response("hit", &call.id, &value).as_bytes())?;
            stream.write_all(&[99, 0])
        }
        NodeBehaviour::Fault => write(stream, b'E', response("fault", &call.id, "").as_bytes()),
        NodeBehaviour::Overload => write(stream, b'E', response("overload", &call.id, "").as_bytes()),
        NodeBehaviour::Unresponsive => Ok(()),
        NodeBehaviour::CloseConnection => stream.shutdown(Shutdown::Both),
        NodeBehaviour::RejectFrame => reject_frame(stream, "rejected by the test"),
    }
}

fn reject_frame(stream: &mut TcpStream, reason: &str) -> Result<()> {
    write(stream, b'F', reason.as_bytes())?;
    stream.shutdown(Shutdown::Both)
}

fn write(stream: &mut TcpStream, kind: u8, payload: &[u8]) -> Result<()> {
    let mut out = Buffer::default();
    frames::write_frame(&mut out, kind, payload);
    stream.write_all(out.data())
}
