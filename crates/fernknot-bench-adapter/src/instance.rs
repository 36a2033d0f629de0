//! One instance: a router and the names that the wire has for what it holds.

use crate::wire::*;
use fernknot::decide::Router;
use fernknot::interface::*;
use fernknot_protocol::news::Tags;
use std::collections::HashMap;

/// Bytes that the wire lets one message hold.
const MESSAGE: usize = 256;

#[derive(Clone, Copy)]
enum Item {
    Multiget(MultigetId),
    Part(PartId),
}

/// The wire's names for a multiget and its parts, kept while anything of it may still be named.
struct Held {
    req: String,
    parts: Vec<String>,
    out: usize,
    over: bool,
}

pub struct Instance {
    id: u64,
    router: Router,
    nodes: Vec<String>,
    node_ids: HashMap<String, NodeId>,
    tags: Tags,
    items: HashMap<String, Item>,
    held: HashMap<MultigetId, Held>,
}

impl Instance {
    pub fn new(now: Nanos, start: PowerOn) -> Result<Instance, String> {
        Ok(Instance {
            id: start.router,
            router: Router::new(start.prng, start.facts.site()?, now),
            nodes: Vec::new(),
            node_ids: HashMap::new(),
            tags: Tags::default(),
            items: HashMap::new(),
            held: HashMap::new(),
        })
    }

    fn node_id(&mut self, name: &str) -> NodeId {
        if let Some(id) = self.node_ids.get(name) {
            return *id;
        }
        let id = NodeId(self.nodes.len() as u32);
        self.nodes.push(name.to_string());
        self.tags.add(name, id);
        self.node_ids.insert(name.to_string(), id);
        id
    }

    pub fn view(&mut self, now: Nanos, mode: Mode, entries: &[Entry]) {
        let kind = match mode {
            Mode::Lost => return self.router.list_lost(now),
            Mode::Incr => ListKind::Changes,
            Mode::Total | Mode::WarmCopy => ListKind::Full,
        };
        let mut listed = Vec::new();
        for entry in entries {
            listed.push(NodeEntry {
                node: self.node_id(&entry.node),
                place: PlaceId(entry.cell),
                zone: entry.campus.map(ZoneId),
                health: match entry.health {
                    EntryHealth::Running => Health::Running,
                    EntryHealth::Stopping => Health::Draining,
                    EntryHealth::Deleted => Health::Gone,
                },
                since: Nanos::from_millis(entry.since),
            });
        }
        self.router.list(kind, &listed);
    }

    pub fn order(&mut self, now: Nanos, order: Order) {
        let multiget = MultigetId(order.query);
        let effort = order.effort.map(Nanos::from_millis);
        if order.range_no < 0.0 {
            self.router.take(
                now,
                &Arrival {
                    multiget,
                    use_case: UseCaseId(order.lane),
                    customer: CustomerId(order.project),
                    client_end: Nanos::from_millis(order.client_deadline),
                    repeat: order.retry,
                    effort,
                    second: None,
                },
            );
            self.items.insert(order.req.clone(), Item::Multiget(multiget));
            self.held.insert(multiget, Held { req: order.req, parts: Vec::new(), out: 0, over: false });
            return;
        }
        let Some(held) = self.held.get_mut(&multiget) else { return };
        let part = PartId { of: multiget, index: held.parts.len() };
        held.parts.push(order.req.clone());
        self.items.insert(order.req, Item::Part(part));
        let shard = ShardId(order.range_no as u32);
        self.router.take_part(now, &PartArrival { part, shard, weight: order.heft, effort });
    }

    pub fn finished(&mut self, now: Nanos, finished: Finished) -> Result<(), String> {
        let outcome = outcome(finished.how)?;
        let Some(Item::Part(part)) = self.items.get(&finished.req).copied() else { return Ok(()) };
        let Some(node) = self.node_ids.get(&finished.node).copied() else { return Ok(()) };
        self.router.ended(
            now,
            &Ending {
                part,
                no: HandOffNo(finished.send_no),
                node,
                outcome,
                took: Nanos::from_millis(finished.duration),
                report: report(&finished.load),
            },
        );
        if let Some(held) = self.held.get_mut(&part.of) {
            held.out = held.out.saturating_sub(1);
        }
        self.forget(part.of);
        Ok(())
    }

    pub fn status_back(&mut self, status: StatusBack) {
        if let Some(node) = self.node_ids.get(&status.node) {
            self.router.reported(*node, report(&status.load));
        }
    }

    pub fn datagram(&mut self, now: Nanos, datagram: &Datagram) {
        let Some(news) = self.tags.read(&bytes_of(&datagram.msg)) else { return };
        self.router.told(now, PeerId(datagram.sender), &news);
    }

    pub fn lapsed(&mut self, req: &str) {
        if let Some(Item::Multiget(multiget)) = self.items.get(req).copied() {
            self.router.lapsed(multiget);
            self.over(multiget);
        }
    }

    /// Writes down all that the router decides now.
    pub fn pull(&mut self, now: Nanos, output: &mut Vec<Action>) {
        let router = self.id;
        while let Some(decision) = self.router.next(now) {
            match decision {
                Decision::HandOff { part, node, stop_at } => {
                    let Some(held) = self.held.get_mut(&part.of) else { continue };
                    held.out += 1;
                    let req = held.parts[part.index].clone();
                    let node = self.nodes[node.0 as usize].clone();
                    output.push(Action::Transmit { router, req, node, stop_at: stop_at.as_millis() });
                }
                Decision::CallOff { part, no } => {
                    let Some(held) = self.held.get(&part.of) else { continue };
                    let req = held.parts[part.index].clone();
                    output.push(Action::Withdraw { router, req, send_no: no.0 });
                }
                Decision::Settle { multiget, whole, last } => {
                    let Some(held) = self.held.get(&multiget) else { continue };
                    output.push(Action::WrapUp { router, req: held.req.clone(), full: whole });
                    if last {
                        self.over(multiget);
                    }
                }
                Decision::Dismiss { multiget, wait } => {
                    let Some(held) = self.held.get(&multiget) else { continue };
                    output.push(Action::Bounce { router, req: held.req.clone(), wait: wait.as_millis() });
                    self.over(multiget);
                }
                Decision::BreakOff { multiget } => {
                    let Some(held) = self.held.get(&multiget) else { continue };
                    output.push(Action::FinishError { router, req: held.req.clone() });
                    self.over(multiget);
                }
                Decision::FollowList => output.push(Action::StreamChanges { router, full: true }),
                // Connections there fall silent with their nodes only.
                Decision::Renew { .. } => {}
                Decision::Tell { news } => {
                    for message in self.tags.write(&news, MESSAGE) {
                        output.push(Action::Publish { router, msg: hex_of(&message) });
                    }
                }
                Decision::Wake { after } => {
                    output.push(Action::Timer { router, after: after.as_millis(), label: 0 });
                }
            }
        }
    }

    fn over(&mut self, multiget: MultigetId) {
        if let Some(held) = self.held.get_mut(&multiget) {
            held.over = true;
        }
        self.forget(multiget);
    }

    fn forget(&mut self, multiget: MultigetId) {
        if self.held.get(&multiget).is_none_or(|held| !held.over || held.out > 0) {
            return;
        }
        if let Some(held) = self.held.remove(&multiget) {
            self.items.remove(&held.req);
            for part in held.parts {
                self.items.remove(&part);
            }
        }
    }
}

fn outcome(how: u32) -> Result<Outcome, String> {
    Ok(match how {
        200 => Outcome::Answered,
        502 => Outcome::Error,
        429 => Outcome::TurnedAway,
        408 => Outcome::TimedOut,
        521 => Outcome::Unreachable,
        520 => Outcome::Broken,
        444 => Outcome::CalledOff,
        409 => Outcome::NeverSent,
        other => return Err(format!("unknown outcome {other}")),
    })
}

fn report(load: &std::collections::BTreeMap<String, f64>) -> LoadReport {
    fernknot_protocol::report::report(load.iter().map(|(name, value)| (name.as_str(), *value)))
}

/// The wire has bytes in hex; what is not hex is passed over.
fn bytes_of(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> =
        hex.chars().filter_map(|digit| digit.to_digit(16)).map(|digit| digit as u8).collect();
    digits.chunks_exact(2).map(|pair| pair[0] << 4 | pair[1]).collect()
}

fn hex_of(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
