//! Execution of the controller's actions.

use crate::action::{Action, PendingCall, SubscriberId};
use crate::host::state::Host;
use fernknot::interface::Nanos;
use fernknot_consensus::{PersistentState, WriteId};
use fernknot_http_api::Reply;
use fernknot_net::{Buffer, ConnectionId};
use fernknot_rpc::{ControllerMessage, ControllerToGateway, GatewayToController, write_message};
use fernknot_telemetry::component;
use std::net::SocketAddrV4;

impl Host {
    /// Executes all actions of the controller.
    pub(super) fn perform_actions(&mut self, now: Nanos) {
        while let Some(action) = self.controller.poll_action(now) {
            match action {
                Action::Reply { call, reply } => self.reply(call, &reply),
                Action::Send { to, message } => self.send_to_peer(now, to, message),
                Action::Notify { to, message } => self.notify(&to, &message),
                Action::Connect { to } => self.connect(now, to),
                Action::AbortConnect { to } => {
                    if let Some(id) = self.connections.outbound(to) {
                        self.drop_connection(id);
                    }
                }
                Action::Store { write_id, state } => self.store(now, write_id, &state),
                Action::StoreKnownPeers { addrs } => self.disk.store_known_peers(&addrs),
                Action::StartPlatformCall { call } => self.start_platform_call(now, call),
                Action::AbortPlatformCall { call } => self.abort_platform_call(call),
                Action::Log { level, target, text } => log::log!(target: target, level, "{text}"),
            }
        }
    }

    fn reply(&mut self, call: PendingCall, reply: &Reply) {
        let is_last = self.shutdown_deadline.is_some();
        let id = ConnectionId(call.connection);
        let Some(http) = self.connections.http_mut(id) else { return };
        let Some(output) = self.event_loop.output(id) else { return };
        if !http.write_reply(output, call.call, reply, is_last) {
            self.connections.remove(id);
            return self.event_loop.close_after_flush(id);
        }
        // The next request may have been received meanwhile.
        self.handle_http_input(id);
    }

    fn send_to_peer(&mut self, now: Nanos, to: SocketAddrV4, message: ControllerMessage) {
        let Some(id) = self.connections.outbound(to) else { return };
        if self.event_loop.pending_output_bytes(id) > self.limits.max_output_bytes() {
            log::warn!(
                target: component::CONNECTIONS,
                "closing the connection to controller {to}: it does not read its messages; connecting again"
            );
            self.drop_connection(id);
            return self.controller.peer_disconnected(now, to);
        }
        if let Some(output) = self.event_loop.output(id) {
            write_message(output, &GatewayToController::Peer(message));
        }
    }

    /// Sends a message to several subscribers, encoded once for all of them.
    fn notify(&mut self, to: &[SubscriberId], message: &ControllerToGateway) {
        let mut bytes = Buffer::default();
        write_message(&mut bytes, message);
        for subscriber in to {
            let id = ConnectionId(subscriber.0);
            if self.event_loop.pending_output_bytes(id) > self.limits.max_output_bytes() {
                log::warn!(
                    target: component::CONNECTIONS,
                    "closing the connection to a subscriber: it does not read its messages"
                );
                self.controller.unsubscribe(*subscriber);
                self.drop_connection(id);
            } else if let Some(output) = self.event_loop.output(id) {
                output.push(bytes.data());
            }
        }
    }

    fn connect(&mut self, now: Nanos, to: SocketAddrV4) {
        match self.event_loop.connect(to) {
            Ok(id) => self.connections.add_outbound(id, to, now),
            Err(error) => {
                log::warn!(
                    target: component::CONNECTIONS,
                    "cannot open a connection to controller {to}: {error}; retrying"
                );
                self.controller.peer_disconnected(now, to);
            }
        }
    }

    fn store(&mut self, now: Nanos, write_id: WriteId, state: &PersistentState) {
        if !self.disk.store(write_id, state) {
            self.controller.write_completed(now, write_id, false);
        }
        if self.disk.is_absent() {
            self.poll_disk(now);
        }
    }

    /// Passes the recovered state, the completed writes and the health of the disk to the controller.
    pub(super) fn poll_disk(&mut self, now: Nanos) {
        if let Some(recovered) = self.disk.take_recovered() {
            let revision = recovered.consensus.as_ref().map_or(0, |state| state.revision.0);
            log::info!(target: component::STORAGE, "control state loaded from disk, revision {revision}");
            let (state, known_peers) = (recovered.consensus, &recovered.known_peers);
            self.controller.disk_loaded(now, state, known_peers, recovered.is_empty);
        }
        for (write_id, ok) in self.disk.take_completed() {
            self.controller.write_completed(now, write_id, ok);
        }
        if let Some(is_healthy) = self.disk.is_healthy() {
            self.controller.set_disk_health(now, is_healthy);
        }
    }
}
