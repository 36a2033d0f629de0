//! HTTP queries of a router's membership view and counters.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const READ_TIMEOUT: Duration = Duration::from_secs(2);
const SENT_DATAGRAMS_COUNTER: &str = "fleet_datagrams_sent ";

/// Membership view of a router, from `GET /fleet`.
pub(crate) struct RouterView {
    /// Keys and values that the router reports about itself, such as `majority` and `true`.
    pub own_report: BTreeMap<String, String>,
    /// Status names of the other routers, by router number.
    pub statuses: BTreeMap<usize, String>,
}

impl RouterView {
    /// Parses the answer to `GET /fleet`: one line about the router itself, then one about each other router.
    /// `public` has the address of each router in the list of peers, by which the lines name routers.
    pub fn parse(text: &str, public: &[SocketAddr]) -> RouterView {
        let lines = text.lines().skip_while(|line| !line.contains(" incarnation="));
        let mut view = RouterView { own_report: BTreeMap::new(), statuses: BTreeMap::new() };
        for (index, line) in lines.enumerate() {
            let mut fields = line.split(' ');
            let (Some(address), Some(status)) = (fields.next(), fields.next()) else { continue };
            if index == 0 {
                let pairs = fields.filter_map(|field| field.split_once('='));
                view.own_report = pairs.map(|(key, value)| (key.to_string(), value.to_string())).collect();
            } else if let Some(router) = public.iter().position(|public| public.to_string() == address) {
                view.statuses.insert(router, status.to_string());
            }
        }
        view
    }
}

/// Returns the number of membership datagrams that a router has sent; `None` if it does not answer.
pub(crate) fn datagrams_sent(router: SocketAddr) -> Option<u64> {
    let text = http_get(router, "/counters")?;
    text.lines().find_map(|line| line.strip_prefix(SENT_DATAGRAMS_COUNTER)?.parse().ok())
}

/// Sends a GET request and returns the complete answer, headers included; `None` on any error.
pub(crate) fn http_get(address: SocketAddr, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
    write!(stream, "GET {path} HTTP/1.1\r\nConnection: close\r\n\r\n").ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer)
}
