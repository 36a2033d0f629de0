//! Network events, passed to the controller.

use crate::action::{PendingCall, SubscriberId};
use crate::host::connections::{Connection, ConnectionRole};
use crate::host::limits::MAX_UNIDENTIFIED_MESSAGE_BYTES;
use crate::host::state::Host;
use fernknot::interface::Nanos;
use fernknot_http_api::{HttpServerConnection, ReadOutcome};
use fernknot_net::{ConnectionId, Event};
use fernknot_rpc::{ControllerMessage, GatewayToController, read_message};
use fernknot_telemetry::component;
use fernknot_usage_reporting::CallOutcome;
use std::net::SocketAddrV4;

impl Host {
    pub(super) fn handle_event(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Accepted { connection, listener, .. } => self.handle_accepted(now, connection, listener),
            Event::Connected { connection } => self.handle_connected(now, connection),
            Event::Received { connection } => self.handle_received(now, connection),
            // A half-closed connection is closed: a caller that closes its sending side is not sent a reply.
            Event::ReadClosed { connection } | Event::Closed { connection, .. } => {
                self.read_platform_answer(now, connection, true);
                self.connection_closed(now, connection);
            }
            Event::Datagram { from, bytes } => {
                if let Some(reply) = self.shuffle.handle_datagram(now, from, &bytes) {
                    self.event_loop.send_datagram(from, &reply);
                }
            }
            Event::Woken => {}
        }
    }

    fn handle_accepted(&mut self, now: Nanos, id: ConnectionId, listener: ConnectionId) {
        let role = match listener == self.control_listener {
            true => ConnectionRole::HttpCaller(HttpServerConnection::default()),
            false => ConnectionRole::InboundInternal(None),
        };
        self.connections.add(id, role, now);
    }

    fn handle_connected(&mut self, now: Nanos, id: ConnectionId) {
        match self.connections.get_mut(id).map(|connection| &connection.role) {
            Some(ConnectionRole::OutboundPeer(to)) => self.controller.peer_connected(now, *to),
            Some(ConnectionRole::Platform(platform)) => {
                let call = platform.call;
                self.write_platform_call(now, id, call);
            }
            _ => {}
        }
    }

    fn handle_received(&mut self, now: Nanos, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        connection.last_received_at = now;
        match connection.role {
            ConnectionRole::HttpCaller(_) => self.handle_http_input(id),
            ConnectionRole::InboundInternal(_) => self.handle_internal_input(now, id),
            ConnectionRole::Platform(_) => self.read_platform_answer(now, id, false),
            // Controllers send only over connections that they opened themselves, so this is a violation of the
            // protocol.
            ConnectionRole::OutboundPeer(_) => self.connection_closed(now, id),
        }
    }

    /// Closes a connection that was closed by the other end or is no longer needed, and notifies the controller.
    pub(super) fn connection_closed(&mut self, now: Nanos, id: ConnectionId) {
        let Some(connection) = self.connections.remove(id) else { return };
        self.event_loop.close(id);
        match connection.role {
            ConnectionRole::HttpCaller(http) if http.has_pending_call() => {
                self.controller.cancel_call(PendingCall { connection: id.0, call: http.last_call() });
            }
            ConnectionRole::HttpCaller(_) => {}
            ConnectionRole::InboundInternal(_) => self.controller.unsubscribe(SubscriberId(id.0)),
            ConnectionRole::OutboundPeer(to) => self.controller.peer_disconnected(now, to),
            ConnectionRole::Platform(platform) => {
                self.controller.platform_call_finished(now, platform.call, CallOutcome::Unclear);
            }
        }
    }

    /// Reads the next request of a caller, if it has been received completely.
    pub(super) fn handle_http_input(&mut self, id: ConnectionId) {
        let now = self.now();
        let Some(http) = self.connections.http_mut(id) else { return };
        let Some(input) = self.event_loop.input(id) else { return };
        let mut input = std::mem::take(input);
        let Some(output) = self.event_loop.output(id) else { return };
        let outcome = http.read_request(&mut input, output, &self.http_settings);
        let call = PendingCall { connection: id.0, call: http.last_call() };
        if let Some(unread_input) = self.event_loop.input(id) {
            *unread_input = input;
        }
        match outcome {
            ReadOutcome::Incomplete => {}
            ReadOutcome::Request(request) => self.controller.handle_call(now, call, &request),
            ReadOutcome::Rejected => {
                self.connections.remove(id);
                self.event_loop.close_after_flush(id);
            }
        }
    }

    /// Reads all messages received from another process of the system.
    fn handle_internal_input(&mut self, now: Nanos, id: ConnectionId) {
        loop {
            let Some(Connection { role: ConnectionRole::InboundInternal(sender), .. }) =
                self.connections.get_mut(id)
            else {
                return;
            };
            let sender = *sender;
            let max_bytes = match sender {
                Some(_) => self.limits.max_message_bytes,
                None => MAX_UNIDENTIFIED_MESSAGE_BYTES,
            };
            let Some(input) = self.event_loop.input(id) else { return };
            match read_message::<GatewayToController>(input, max_bytes) {
                Ok(None) => return,
                Ok(Some(GatewayToController::Peer(message))) => {
                    self.handle_peer_message(now, id, sender, message);
                }
                Ok(Some(message)) => {
                    self.controller.handle_gateway_message(now, SubscriberId(id.0), message);
                }
                Err(error) => {
                    let peer = self.event_loop.peer(id);
                    log::warn!(
                        target: component::CONNECTIONS,
                        "closing the connection from {peer:?}: cannot read a message: {error}"
                    );
                    return self.connection_closed(now, id);
                }
            }
        }
    }

    /// Handles a message of a controller. Messages over a connection are ignored until the sender has identified
    /// itself there.
    fn handle_peer_message(
        &mut self,
        now: Nanos,
        id: ConnectionId,
        sender: Option<SocketAddrV4>,
        message: ControllerMessage,
    ) {
        let sender = match message {
            ControllerMessage::Identify { addr, .. } => Some(addr),
            _ => sender,
        };
        let Some(sender) = sender else { return };
        if let Some(connection) = self.connections.get_mut(id) {
            connection.role = ConnectionRole::InboundInternal(Some(sender));
        }
        self.controller.handle_peer_message(now, sender, message);
    }
}
