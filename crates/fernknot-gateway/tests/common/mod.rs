//! Requests and responses parsed from text by the readers that the gateway uses.

use fernknot::interface::Nanos;
use fernknot_net::Buffer;
use fernknot_protocol::http::{Request, RequestReader, Response, ResponseReader};
use fernknot_router_config::{Limits, SocketSettings};

pub fn limits() -> Limits {
    let socket_settings = SocketSettings {
        use_cases: Vec::new(),
        shards: 0,
        max_calls_per_connection: 1,
        max_parts_per_call: 1,
        node_idle_timeout: Nanos(1),
        connect_timeout: Nanos(1),
        drain_grace: Nanos(1),
        longest_deadline: Nanos(1),
        phases: Vec::new(),
        position: 0,
        zones: Vec::new(),
    };
    Limits::new(1000, 64.0, &socket_settings).unwrap()
}

pub fn buffer(text: &str) -> Buffer {
    let mut buffer = Buffer::default();
    buffer.push(text.as_bytes());
    buffer
}

pub fn response(text: &str) -> Response {
    ResponseReader::default().read(&mut buffer(text), true, &limits()).unwrap().unwrap()
}

pub fn request(text: &str) -> Request {
    RequestReader::default().read(&mut buffer(text), &limits()).unwrap().unwrap()
}
