//! Nodes as the control plane sees them: they send heartbeats, drain, deregister, crash and come again under another id.

use crate::control_clients::state::{ControlClientEvent, Node, NodePhase, Purpose, node_id};
use crate::simulation::Simulation;
use crate::time::{NEVER, millis};

/// What a node does in a turn.
enum NodeCall {
    /// It ends without telling anybody.
    Crash,
    /// A heartbeat with this state, which is also what the request is for.
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
        let ready_for = self.rng.between(millis(3000), millis(9000));
        let now = self.now;
        let node = &mut self.control_clients.nodes[index];
        node.call_sequence += 1;
        if node.phase == NodePhase::Out {
            *node = Node {
                incarnation: next_incarnation,
                call_sequence: 1,
                phase: NodePhase::Ready,
                phase_ends_at: now + ready_for,
            };
        }
        match self.next_node_call(index, crashes) {
            NodeCall::Crash => {}
            NodeCall::Deregister => self.send_deregistration(index),
            NodeCall::Heartbeat { state, purpose } => self.send_heartbeat(index, state, purpose),
        }
        let interval = self.settings.bounds.heartbeat_interval;
        self.schedule_client(interval, ControlClientEvent::NodeTurn(index));
    }

    fn next_node_call(&mut self, index: usize, crashes: bool) -> NodeCall {
        let node = &mut self.control_clients.nodes[index];
        let has_phase_ended = node.phase_ends_at < self.now;
        let heartbeat = |state| NodeCall::Heartbeat { state, purpose: Purpose::Heartbeat(index) };
        match node.phase {
            NodePhase::Ready if has_phase_ended && crashes => {
                node.phase = NodePhase::Out;
                if self.settings.gateways > 0 {
                    self.stop_node(index);
                    return NodeCall::Crash;
                }
                heartbeat("ready")
            }
            NodePhase::Ready if has_phase_ended => {
                node.phase = NodePhase::Draining;
                NodeCall::Heartbeat { state: "draining", purpose: Purpose::Drain(index) }
            }
            NodePhase::Leaving if has_phase_ended => {
                node.phase_ends_at = NEVER;
                NodeCall::Deregister
            }
            NodePhase::Draining | NodePhase::Leaving => heartbeat("draining"),
            NodePhase::Ready | NodePhase::Out => heartbeat("ready"),
        }
    }

    fn send_deregistration(&mut self, index: usize) {
        let id = node_id(self.control_clients.nodes[index].incarnation);
        let head = format!("POST /-/nodes/{id}/deregister HTTP/1.1\r\nHost: x\r\n");
        self.begin_request(Purpose::Deregister(index), &head, "", None);
    }

    fn send_heartbeat(&mut self, index: usize, state: &str, purpose: Purpose) {
        // A heartbeat without a response by the time of the next is forgotten.
        self.control_clients.requests.retain(|_, request| request.purpose != Purpose::Heartbeat(index));
        let node = &self.control_clients.nodes[index];
        let (incarnation, sequence) = (node.incarnation, node.call_sequence);
        // With gateways a node keeps its address through all incarnations.
        let octet = if self.settings.gateways > 0 { 1 } else { incarnation % 250 + 1 };
        let body = format!(
            r#"{{"backend":"books","address":"10.9.{index}.{octet}:80","zone":"zone-{index}","epoch":"v1","capacity":3,
            "state":"{state}","warmup_left_ms":0,"call_seq":{sequence}}}"#,
        );
        let head = format!("POST /-/nodes/{}/heartbeat HTTP/1.1\r\nHost: x\r\n", node_id(incarnation));
        self.begin_request(purpose, &head, &body, None);
    }
}
