//! Nodes as clients of the control plane: they send heartbeats, drain, deregister, crash and return with another id.

use crate::control_clients::state::{ControlClientEvent, Node, NodePhase, Purpose, node_id};
use crate::simulation::Simulation;
use crate::time::{NEVER, millis};

/// Action of a node in one turn.
enum NodeAction {
    /// Ends without notifying a controller.
    Crash,
    /// Sends a heartbeat with this state.
    Heartbeat {
        state: &'static str,
        purpose: Purpose,
    },
    Deregister,
}

impl Simulation {
    pub(super) fn node_turn(&mut self, index: usize) {
        let next_incarnation = self.next_sequence();
        let crashes = self.rng.below(8) == 0;
        let ready_duration = self.rng.between(millis(3000), millis(9000));
        let now = self.now;
        let node = &mut self.control_clients.nodes[index];
        node.call_sequence += 1;
        if node.phase == NodePhase::Stopped {
            *node = Node {
                incarnation: next_incarnation,
                call_sequence: 1,
                phase: NodePhase::Ready,
                phase_ends_at: now + ready_duration,
            };
        }
        match self.next_node_action(index, crashes) {
            NodeAction::Crash => {}
            NodeAction::Deregister => self.send_deregistration(index),
            NodeAction::Heartbeat { state, purpose } => self.send_heartbeat(index, state, purpose),
        }
        let interval = self.settings.bounds.heartbeat_interval;
        self.schedule_client(interval, ControlClientEvent::NodeTurn(index));
    }

    fn next_node_action(&mut self, index: usize, crashes: bool) -> NodeAction {
        let node = &mut self.control_clients.nodes[index];
        let has_phase_ended = node.phase_ends_at < self.now;
        let heartbeat = |state| NodeAction::Heartbeat { state, purpose: Purpose::Heartbeat(index) };
        match node.phase {
            NodePhase::Ready if has_phase_ended && crashes => {
                node.phase = NodePhase::Stopped;
                if self.settings.gateways > 0 {
                    self.stop_node(index);
                    return NodeAction::Crash;
                }
                heartbeat("ready")
            }
            NodePhase::Ready if has_phase_ended => {
                node.phase = NodePhase::Draining;
                NodeAction::Heartbeat { state: "draining", purpose: Purpose::Drain(index) }
            }
            NodePhase::Leaving if has_phase_ended => {
                node.phase_ends_at = NEVER;
                NodeAction::Deregister
            }
            NodePhase::Draining | NodePhase::Leaving => heartbeat("draining"),
            NodePhase::Ready | NodePhase::Stopped => heartbeat("ready"),
        }
    }

    fn send_deregistration(&mut self, index: usize) {
        let id = node_id(self.control_clients.nodes[index].incarnation);
        let head = format!("POST /-/nodes/{id}/deregister HTTP/1.1\r\nHost: x\r\n");
        self.begin_request(Purpose::Deregister(index), &head, "", None);
    }

    fn send_heartbeat(&mut self, index: usize, state: &str, purpose: Purpose) {
        // The next heartbeat replaces one that is still without a response.
        self.control_clients.requests.retain(|_, request| request.purpose != Purpose::Heartbeat(index));
        let node = &self.control_clients.nodes[index];
        let (incarnation, sequence) = (node.incarnation, node.call_sequence);
        // With gateways a node keeps its address across incarnations.
        let octet = if self.settings.gateways > 0 { 1 } else { incarnation % 250 + 1 };
        let body = format!(
            r#"{{"backend":"books","address":"10.9.{index}.{octet}:80","zone":"zone-{index}","epoch":"v1","capacity":3,
            "state":"{state}","warmup_left_ms":0,"call_seq":{sequence}}}"#,
        );
        let head = format!("POST /-/nodes/{}/heartbeat HTTP/1.1\r\nHost: x\r\n", node_id(incarnation));
        self.begin_request(purpose, &head, &body, None);
    }
}
