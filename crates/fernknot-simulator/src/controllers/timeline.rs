//! What controllers log, and for the log of a run, who knows what.

use crate::controllers::actions::TIMELINE_CALL;
use crate::controllers::machine::{KnownState, Machine};
use crate::faults::schedule::Trigger;
use crate::http_request::parse_request;
use crate::simulation::Simulation;
use fernknot_http_api::Reply;

/// How the sentence begins by which a controller logs that it has entered a view: its number, `with`, and its members,
/// the leader first.
const VIEW_ENTERED: &str = "view ";

/// The number of a view and the machine of its leader, from a controller's log.
fn entered_view(text: &str) -> Option<(u64, Option<usize>)> {
    let mut parts = text.strip_prefix(VIEW_ENTERED)?.split([' ', ',']);
    let number = parts.next().and_then(|number| number.parse().ok()).unwrap_or(0);
    let leader_octet = parts.nth(1).and_then(|ip| ip.rsplit('.').next()?.parse::<usize>().ok());
    Some((number, leader_octet.map(|octet| octet.wrapping_sub(1))))
}

impl Simulation {
    /// A controller logs a sentence. Faults that aim at the leader go by the newest view that anybody entered.
    pub(super) fn observe_log(&mut self, index: usize, text: &str) {
        self.trace(|| format!("{index}: {text}"));
        if let Some((number, leader)) = entered_view(text)
            && number > self.faults.newest_view
        {
            self.faults.newest_view = number;
            self.faults.leader = leader;
            self.fire_trigger(Trigger::LeaderChange);
        }
        if self.settings.trace {
            self.request_counters(index);
        }
    }

    /// Asks what it knows now, as any operator may.
    fn request_counters(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        let local_time = machine.local_time(self.now);
        let request = parse_request("GET /-/counters HTTP/1.1\r\n", "");
        if let (Some(controller), Some(request)) = (&mut machine.controller, request) {
            controller.handle_call(local_time, TIMELINE_CALL, &request);
        }
    }

    pub(super) fn record_counters(&mut self, index: usize, reply: &Reply) {
        let counters: serde_json::Value = serde_json::from_slice(reply.body.bytes()).unwrap_or_default();
        let counter = |name: &str| counters.get(name).and_then(serde_json::Value::as_u64).unwrap_or(0);
        let known = KnownState {
            view: counter("view"),
            revision: counter("revision"),
            epoch: counter("epoch"),
            has_lease: counter("lease") == 1,
        };
        if std::mem::replace(&mut self.machines[index].known_state, known) != known {
            let all: Vec<String> = self.machines.iter().map(describe_knowledge).collect();
            self.trace(|| format!("  who knows what (view/revision/epoch/lease): {}", all.join("  ")));
        }
    }
}

fn describe_knowledge(machine: &Machine) -> String {
    if !machine.is_up() {
        return "down".into();
    }
    let KnownState { view, revision, epoch, has_lease } = machine.known_state;
    format!("{view}/{revision}/{epoch}/{}", if has_lease { "held" } else { "none" })
}
