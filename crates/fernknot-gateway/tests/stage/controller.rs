//! A controller as a gateway hears it: cuts, configurations, nodes and pulses.

use super::{Due, Mark, REGISTRAR, SENDING, SETTLING, Stage, addr};
use fernknot::interface::Nanos;
use fernknot_net::{Buffer, ConnectionId};
use fernknot_ownership::{Assignment, FencingToken, GatewayRecord};
use fernknot_registry::NodeRecord;
use fernknot_rpc::{
    ControllerEndpoint, ControllerToGateway, GatewayToController, read_message, write_message,
};
use std::collections::BTreeMap;

pub const APPLY_MS: f64 = 1500.0;
const PULSE: Nanos = Nanos(100_000_000);

#[derive(Default)]
pub struct Teller {
    ears: BTreeMap<ConnectionId, Ear>,
    /// The fence of the newest cut.
    fence: u64,
}

#[derive(Default)]
struct Ear {
    input: Buffer,
    who: Option<GatewayRecord>,
    /// Versions told.
    told: usize,
}

impl Teller {
    pub fn gone(&mut self, berth: ConnectionId) {
        self.ears.remove(&berth);
    }
}

impl Stage {
    fn tells(&mut self, berth: ConnectionId, word: &ControllerToGateway, mark: Option<Mark>) {
        let mut out = Buffer::default();
        write_message(&mut out, word);
        self.sends(berth, out.data().to_vec(), mark);
    }

    pub fn controller_gets(&mut self, berth: ConnectionId, bytes: &[u8]) {
        self.teller.ears.entry(berth).or_default().input.push(bytes);
        loop {
            let Some(ear) = self.teller.ears.get_mut(&berth) else { return };
            match read_message::<GatewayToController>(&mut ear.input, 1 << 20) {
                Ok(Some(GatewayToController::Subscribe { gateway: who, .. })) => {
                    ear.who = Some(who.clone());
                    self.teller.fence += 1;
                    let fence = FencingToken::new(1, self.teller.fence as u32);
                    let cut = Assignment { fencing_token: fence, gateways: vec![who], presumed_alive: 1 };
                    self.tells(berth, &ControllerToGateway::Assignment(cut), None);
                    let facts = self.facts_of_nodes();
                    self.tells(berth, &ControllerToGateway::NodeUpdates(facts), None);
                    self.tell_plan(berth);
                    self.tells(berth, &ControllerToGateway::SnapshotComplete, None);
                    self.tell_pulse(berth);
                }
                Ok(Some(_)) => {}
                Ok(None) => return,
                Err(why) => return self.checker.fault(format!("a word that is none: {why}")),
            }
        }
    }

    fn tell_plan(&mut self, berth: ConnectionId) {
        let newest = self.plans.len();
        let Some(ear) = self.teller.ears.get_mut(&berth).filter(|ear| ear.told < newest) else { return };
        ear.told = newest;
        let plan = self.plans[newest - 1].clone();
        self.tells(
            berth,
            &ControllerToGateway::Config { revision: newest as u64, config: plan },
            Some(Mark::Plan(newest - 1)),
        );
    }

    fn tell_pulse(&mut self, berth: ConnectionId) {
        let controllers = vec![ControllerEndpoint { addr: addr(REGISTRAR), zone: "north".into() }];
        let fence = FencingToken::new(1, self.teller.fence as u32).0;
        let order = self.plans.len() as u64;
        let pulse = ControllerToGateway::Heartbeat {
            sender: 1,
            revision: order,
            holds_lease: true,
            hops: 0,
            fencing_token: fence,
            controllers: controllers,
        };
        self.tells(berth, &pulse, None);
    }

    fn listeners(&self) -> Vec<ConnectionId> {
        self.teller.ears.iter().filter(|(_, ear)| ear.who.is_some()).map(|(berth, _)| *berth).collect()
    }

    /// Pulses, and versions that are news.
    pub fn pulse(&mut self, again: bool) {
        for berth in self.listeners() {
            self.tell_plan(berth);
            self.tell_pulse(berth);
        }
        if again && self.now < SENDING + SETTLING {
            self.at(self.now + PULSE, Due::Pulse { again });
        }
    }

    /// Tells of nodes, now or after a while.
    pub fn tell_nodes(&mut self, facts: &[NodeRecord]) {
        for berth in self.listeners() {
            self.tells(berth, &ControllerToGateway::NodeUpdates(facts.to_vec()), None);
        }
    }
}
