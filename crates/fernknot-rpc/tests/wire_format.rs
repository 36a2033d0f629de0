//! Messages between processes are encoded as in earlier releases, so that processes of both releases can communicate.

#[path = "../../../tests/common/fixtures.rs"]
mod fixtures;
#[path = "common/samples.rs"]
mod samples;

use fernknot_consensus::{Message, Revision, ViewNumber};
use fernknot_protocol::buffer::Buffer;
use fernknot_rpc::{
    ControllerEndpoint, ControllerMessage, ControllerToGateway, GatewayToController, InspectionTopic,
    ShuffleDatagram, Subscription, read_message, write_message,
};
use fixtures::Fixtures;
use samples::{access_control, addr, assignment, descriptors, gateway, nodes, routing_config, usage_report};

/// Limit in bytes on the length of a sample message that is read back.
const MAX_MESSAGE_BYTES: usize = 1024;

/// Returns the name under which a message to a controller or gateway is recorded. A new variant needs a name here, and
/// a sample value below; the same holds for the functions that follow.
fn recorded_name_of_gateway_message(message: &GatewayToController) -> &'static str {
    match message {
        GatewayToController::Subscribe { subscription: Subscription::All, .. } => "subscribe-to-all",
        GatewayToController::Subscribe { subscription: Subscription::Services(_), .. } => {
            "subscribe-to-services"
        }
        GatewayToController::Heartbeat { ready: true } => "alive-and-ready",
        GatewayToController::Heartbeat { ready: false } => "alive-and-not-ready",
        GatewayToController::RelayedHeartbeats(_) => "alive-downstream",
        GatewayToController::ShuttingDown => "leaving",
        GatewayToController::Peer(message) => recorded_name_of_controller_message(message),
        GatewayToController::Inspect(topic) => recorded_name_of_topic(*topic),
        GatewayToController::ForceView { .. } => "force-view",
        GatewayToController::UsageReports(_) => "usage",
    }
}

fn recorded_name_of_controller_message(message: &ControllerMessage) -> &'static str {
    match message {
        ControllerMessage::Identify { .. } => "peer-hello",
        ControllerMessage::Consensus(_) => "peer-consensus",
        ControllerMessage::NodeUpdates(_) => "peer-nodes",
        ControllerMessage::RecentIncarnations(_) => "peer-nodes-alive",
        ControllerMessage::RequestNodes(_) => "peer-nodes-wanted",
        ControllerMessage::LiveGateways(_) => "peer-gateways",
        ControllerMessage::GatewayShutDown { .. } => "peer-gateway-left",
        ControllerMessage::Assignment(_) => "peer-ownership",
        ControllerMessage::ForwardChange { .. } => "peer-replace",
        ControllerMessage::ChangeOutcome { .. } => "peer-replaced",
        ControllerMessage::KnownControllers(_) => "peer-addresses",
        ControllerMessage::UsageReports(_) => "peer-usage",
        ControllerMessage::TimeOfDay { .. } => "peer-time",
    }
}

fn recorded_name_of_topic(topic: InspectionTopic) -> &'static str {
    match topic {
        InspectionTopic::Nodes => "ask-nodes",
        InspectionTopic::Views => "ask-views",
        InspectionTopic::Relays => "ask-homes",
        InspectionTopic::Ownership => "ask-duties",
        InspectionTopic::Counters => "ask-counters",
    }
}

fn recorded_name_of_subscriber_message(message: &ControllerToGateway) -> &'static str {
    match message {
        ControllerToGateway::Config { .. } => "told-configuration",
        ControllerToGateway::NodeUpdates(_) => "told-nodes",
        ControllerToGateway::SnapshotComplete => "told-whole",
        ControllerToGateway::Heartbeat { .. } => "told-heartbeat",
        ControllerToGateway::Assignment(_) => "told-ownership",
        ControllerToGateway::InspectionReport(_) => "told-answer",
        ControllerToGateway::ForceViewResult(Ok(_)) => "told-view-forced",
        ControllerToGateway::ForceViewResult(Err(_)) => "told-view-not-forced",
        ControllerToGateway::ConfigWithAccessControl { .. } => "told-configuration-with-tenants",
        ControllerToGateway::TimeOfDay { .. } => "told-time",
    }
}

fn gateway_messages() -> Vec<GatewayToController> {
    vec![
        GatewayToController::Subscribe {
            gateway: gateway(1),
            ready: true,
            subscription: Subscription::All,
            revision: 101,
        },
        GatewayToController::Subscribe {
            gateway: gateway(2),
            ready: false,
            subscription: Subscription::Services(vec!["service-1".into(), "service-2".into()]),
            revision: 102,
        },
        GatewayToController::Heartbeat { ready: true },
        GatewayToController::Heartbeat { ready: false },
        GatewayToController::RelayedHeartbeats(vec![gateway(3), gateway(4)]),
        GatewayToController::ShuttingDown,
        GatewayToController::Inspect(InspectionTopic::Nodes),
        GatewayToController::Inspect(InspectionTopic::Views),
        GatewayToController::Inspect(InspectionTopic::Relays),
        GatewayToController::Inspect(InspectionTopic::Ownership),
        GatewayToController::Inspect(InspectionTopic::Counters),
        GatewayToController::ForceView { lost: vec![addr(5), addr(6)] },
        GatewayToController::UsageReports(vec![usage_report(1), usage_report(2)]),
    ]
}

fn controller_messages() -> Vec<ControllerMessage> {
    vec![
        ControllerMessage::Identify { addr: addr(7), zone: "zone-7".into() },
        ControllerMessage::Consensus(Message::Commit { view: ViewNumber(201), revision: Revision(202) }),
        ControllerMessage::NodeUpdates(nodes()),
        ControllerMessage::RecentIncarnations(vec![203, 204]),
        ControllerMessage::RequestNodes(vec![205, 206]),
        ControllerMessage::LiveGateways(vec![gateway(8), gateway(9)]),
        ControllerMessage::GatewayShutDown { incarnation: 207 },
        ControllerMessage::Assignment(assignment()),
        ControllerMessage::ForwardChange {
            incarnation: 208,
            call: 209,
            base_epoch: 210,
            body: b"configuration".to_vec(),
        },
        ControllerMessage::ChangeOutcome {
            incarnation: 211,
            call: 212,
            status: 412,
            reason: "another version is in force".into(),
        },
        ControllerMessage::KnownControllers(vec![addr(10), addr(11)]),
        ControllerMessage::UsageReports(vec![usage_report(3)]),
        ControllerMessage::TimeOfDay { unix_ms: 213 },
    ]
}

fn subscriber_messages() -> Vec<ControllerToGateway> {
    let controllers =
        [12, 13].map(|number| ControllerEndpoint { addr: addr(number), zone: format!("zone-{number}") });
    vec![
        ControllerToGateway::Config { revision: 301, config: routing_config() },
        ControllerToGateway::NodeUpdates(nodes()),
        ControllerToGateway::SnapshotComplete,
        ControllerToGateway::Heartbeat {
            sender: 302,
            revision: 303,
            holds_lease: true,
            hops: 3,
            fencing_token: 304,
            controllers: controllers.to_vec(),
        },
        ControllerToGateway::Assignment(assignment()),
        ControllerToGateway::InspectionReport("what is held here".into()),
        ControllerToGateway::ForceViewResult(Ok(305)),
        ControllerToGateway::ForceViewResult(Err("a majority is heard".into())),
        ControllerToGateway::ConfigWithAccessControl {
            revision: 306,
            config: routing_config(),
            access: access_control(),
        },
        ControllerToGateway::TimeOfDay { unix_ms: 307 },
    ]
}

#[test]
fn given_recorded_messages_when_encoded_and_decoded_then_bytes_and_values_are_the_same() {
    let mut fixtures = Fixtures::open("wire_format.hex");
    let peers = controller_messages().into_iter().map(GatewayToController::Peer);
    for message in gateway_messages().into_iter().chain(peers) {
        fixtures.check(recorded_name_of_gateway_message(&message), &message);
    }
    for message in subscriber_messages() {
        fixtures.check(recorded_name_of_subscriber_message(&message), &message);
    }
    fixtures.finish();
}

#[test]
fn given_recorded_datagrams_when_encoded_and_decoded_then_bytes_and_values_are_the_same() {
    let mut fixtures = Fixtures::open("shuffle_format.hex");
    fixtures.check("shuffle-asked", &ShuffleDatagram { is_reply: false, sample: descriptors() });
    fixtures.check("shuffle-answered", &ShuffleDatagram { is_reply: true, sample: descriptors() });
    fixtures.finish();
}

#[test]
fn given_a_recorded_stream_when_messages_are_framed_and_read_back_then_bytes_and_messages_are_the_same() {
    let mut fixtures = Fixtures::open("frame_format.hex");
    let messages = [
        GatewayToController::ShuttingDown,
        GatewayToController::ForceView { lost: vec![addr(14), addr(15)] },
    ];
    let mut written = Buffer::default();
    messages.iter().for_each(|message| write_message(&mut written, message));
    let recorded = fixtures.take("two-frames");
    assert_eq!(written.data(), recorded);

    let mut stream = Buffer::default();
    stream.push(&recorded);
    for message in messages {
        assert_eq!(read_message(&mut stream, MAX_MESSAGE_BYTES), Ok(Some(message)));
    }
    assert_eq!(read_message::<GatewayToController>(&mut stream, MAX_MESSAGE_BYTES), Ok(None));
    fixtures.finish();
}
