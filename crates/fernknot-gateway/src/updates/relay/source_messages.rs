//! Messages of the processes from which this gateway receives updates.

use super::super::sources::Source;
use super::super::state::Update;
use super::UpdateRelay;
use fernknot::interface::Nanos;
use fernknot_distribution::SourceHeartbeat;
use fernknot_net::ConnectionId;
use fernknot_ownership::{Assignment, FencingToken};
use fernknot_rpc::{ControllerEndpoint, ControllerToGateway};
use fernknot_schema::SystemConfig;
use fernknot_telemetry::component;

impl UpdateRelay {
    /// Handles a message of a source, and adds the update for the gateway itself, if there is one, to `updates`.
    pub(super) fn handle_source_message(
        &mut self,
        now: Nanos,
        id: ConnectionId,
        message: ControllerToGateway,
        updates: &mut Vec<Update>,
    ) {
        let Some(stream) = self.sources.get_mut(id) else { return };
        let (source, watermark) = (stream.source, stream.watermark);
        self.relays.record_message(now, source.addr, source.kind);
        match message {
            ControllerToGateway::Heartbeat {
                sender,
                revision,
                holds_lease,
                hops,
                fencing_token,
                controllers,
            } => {
                let heartbeat = SourceHeartbeat {
                    revision,
                    registry_version: 0,
                    fencing_token: FencingToken(fencing_token),
                    has_lease: holds_lease,
                    hops,
                };
                if holds_lease && stream.carries_config {
                    let timeout = self.heartbeat_interval;
                    self.config_source_log.record_lease(now, source, revision, timeout);
                }
                self.handle_heartbeat(now, source, heartbeat, sender, controllers);
                if holds_lease {
                    updates.push(Update::SourceHealthy);
                }
            }
            ControllerToGateway::Config { revision, config } => {
                let config = SystemConfig { routing: config, access: None };
                updates.push(Update::Config { revision, config });
            }
            ControllerToGateway::ConfigWithAccessControl { revision, config, access } => {
                let config = SystemConfig { routing: config, access: Some(access) };
                updates.push(Update::Config { revision, config });
            }
            ControllerToGateway::NodeUpdates(records) => updates.push(Update::Nodes(records)),
            ControllerToGateway::SnapshotComplete => {
                stream.is_complete = true;
                let subscription = stream.subscription.clone();
                self.snapshots.record_complete(&subscription, &self.services);
                self.checks_snapshots = true;
                updates.push(Update::SnapshotComplete { watermark, subscription });
            }
            ControllerToGateway::Assignment(assignment) => self.handle_assignment(now, assignment),
            ControllerToGateway::TimeOfDay { unix_ms } => {
                if stream.carries_config {
                    self.usage.record_time_of_day(now, unix_ms);
                }
            }
            ControllerToGateway::InspectionReport(_) | ControllerToGateway::ForceViewResult(_) => {}
        }
    }

    fn handle_heartbeat(
        &mut self,
        now: Nanos,
        source: Source,
        heartbeat: SourceHeartbeat,
        sender: u64,
        controllers: Vec<ControllerEndpoint>,
    ) {
        self.relays.record_heartbeat(now, source.addr, source.kind, heartbeat);
        if !heartbeat.has_lease {
            return;
        }
        self.last_heartbeat_from = sender;
        self.checks_snapshots = true;
        self.ownership.confirm(now, heartbeat.fencing_token);
        if !controllers.is_empty() {
            self.controllers.replace(controllers);
            self.relays.set_controllers(&self.controllers.endpoints());
        }
    }

    fn handle_assignment(&mut self, now: Nanos, assignment: Assignment) {
        if assignment.fencing_token <= self.fencing_token() {
            return;
        }
        let (count, token) = (assignment.gateways.len(), assignment.fencing_token.0);
        log::info!(target: component::OWNERSHIP, "assignment with fencing token {token} applied: {count} live gateways");
        self.ownership.apply(now, assignment);
        self.relays.apply_assignment(now, self.ownership.assignment());
    }
}
