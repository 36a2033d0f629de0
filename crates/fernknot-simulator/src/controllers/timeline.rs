//! Controllers' log lines, and the state known to each controller, for the log of a run.

use crate::controllers::actions::COUNTERS_CALL;
use crate::controllers::machine::{KnownState, Machine};
use crate::faults::schedule::Trigger;
use crate::http_request::parse_request;
use crate::simulation::Simulation;
use crate::topology::machine_index;
use fernknot_controller::Controller;
use fernknot_http_api::Reply;

impl Simulation {
    /// Records a log line of a controller. Controllers log each view change, so this also tracks the newest view.
    pub(super) fn observe_log(&mut self, index: usize, text: &str) {
        self.trace(|| format!("{index}: {text}"));
        self.observe_view(index);
        if self.settings.trace {
            self.request_counters(index);
        }
    }

    /// Tracks the leader of the newest view that any controller has entered: the target of `Target::Leader` faults.
    fn observe_view(&mut self, index: usize) {
        let view = self.machines[index].controller.as_ref().and_then(Controller::active_view);
        let Some(view) = view.filter(|view| view.number.0 > self.faults.newest_view) else { return };
        let leader = view.members.first().map(|leader| machine_index(leader.addr));
        self.faults.newest_view = view.number.0;
        self.faults.leader = leader;
        self.fire_trigger(Trigger::LeaderChange);
    }

    /// Requests the controller's counters through the operators' interface.
    fn request_counters(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        let local_time = machine.local_time(self.now);
        let request = parse_request("GET /-/counters HTTP/1.1\r\n", "");
        if let (Some(controller), Some(request)) = (&mut machine.controller, request) {
            controller.handle_call(local_time, COUNTERS_CALL, &request);
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
            let all: Vec<String> = self.machines.iter().map(format_known_state).collect();
            self.trace(|| format!("  who knows what (view/revision/epoch/lease): {}", all.join("  ")));
        }
    }
}

fn format_known_state(machine: &Machine) -> String {
    if !machine.is_up() {
        return "down".into();
    }
    let KnownState { view, revision, epoch, has_lease } = machine.known_state;
    format!("{view}/{revision}/{epoch}/{}", if has_lease { "held" } else { "none" })
}
