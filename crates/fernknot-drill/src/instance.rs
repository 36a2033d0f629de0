//! One instance: a router and the names that the wire has for what it holds.

use crate::peers;
use crate::wire::*;
use fernknot::decide::Router;
use fernknot::interface::*;
use std::collections::HashMap;

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
    tags: peers::Tags,
    items: HashMap<String, Item>,
    held: HashMap<MultigetId, Held>,
}

impl Instance {
    pub fn new(now: Nanos, start: PowerOn) -> Result<Instance, String> {
        Ok(Instance {
            id: start.router,
            router: Router::new(start.prng, site_facts(start.facts)?, now),
            nodes: Vec::new(),
            node_ids: HashMap::new(),
            tags: peers::Tags::default(),
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
        let news = self.tags.read(&datagram.msg);
        self.router.told(now, PeerId(datagram.sender), &news);
    }

    pub fn lapsed(&mut self, now: Nanos, req: &str) {
        if let Some(Item::Multiget(multiget)) = self.items.get(req).copied() {
            self.router.lapsed(now, multiget);
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
                Decision::HangUp { node } => {
                    output.push(Action::HangUp { router, node: self.nodes[node.0 as usize].clone() });
                }
                Decision::Tell { news } => {
                    output.push(Action::Publish { router, msg: self.tags.write(&news) });
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
    LoadReport { busy_share: load.get("cpu_share").copied(), waiting: load.get("pending").copied() }
}

fn site_facts(facts: Facts) -> Result<SiteFacts, String> {
    let millis = Nanos::from_millis;
    let family = &facts.family_info;
    let of = |list: &[f64], index: usize, default: f64| list.get(index).copied().unwrap_or(default);
    let use_case = |(index, class): (usize, &Class)| UseCaseFacts {
        goal: millis(class.on_time),
        hard_limit: millis(class.deadline),
        earnings: class.worth,
        late_share: class.late_share,
        effect: match class.effect {
            ClassEffect::Safe => Effect::Replayable,
            ClassEffect::Keyed => Effect::Referenced(millis(class.repeat_window)),
            ClassEffect::Unsafe => Effect::SingleUse,
        },
        stretch: class.aim_stretch,
        need: of(&family.class_need, index, 1.0),
        floor: of(&family.min_share, index, of(&family.class_need, index, 1.0)),
        second_step: of(&family.class_fetch, index, 0.0) > 0.0,
    };
    let rules = &facts.rules;
    let budget = match (rules.free_resends, rules.extra_share, rules.counted_over) {
        (None, None, None) => None,
        (free, share, Some(window)) => Some(BudgetFacts {
            free: free.unwrap_or(0.0),
            share: share.unwrap_or(0.0),
            window: millis(window),
        }),
        _ => return Err("facts: rules.countedOver is missing beside freeResends or extraShare".to_string()),
    };
    Ok(SiteFacts {
        routers: facts.balancers,
        use_cases: facts.classes.iter().enumerate().map(use_case).collect(),
        customers: facts.accounts.iter().map(|account| account.quota_per_s).collect(),
        tick: millis(facts.tick),
        cold: ColdFacts {
            from: rules.cold_from,
            warm_after: millis(rules.cold),
            multiple: rules.fall_multiple,
            window: millis(rules.fall),
        },
        budget,
        places: family.places,
        width: family.width,
        cancel: facts.allowed.cancel,
        second_copies: facts.allowed.second_copies,
        most_hand_offs: facts.allowed.try_limit,
        longest_wait: facts.allowed.retry_after.then_some(millis(facts.allowed.max_retry_after)),
        must_ask: facts.discovery == "ask",
        peers: facts.allowed.peers,
    })
}
