//! Encoding of the updates that routers exchange.

use fernknot::interface::{Nanos, NodeId, Update};
use fernknot_protocol::peer_updates::NodeTags;

#[test]
fn updates_are_read_as_written_and_truncated_messages_and_unknown_nodes_are_ignored() {
    let mut tags = NodeTags::default();
    tags.add("10.0.0.1:80", NodeId(0));
    tags.add("10.0.0.2:80", NodeId(1));
    let answered = Update::Answered(Nanos::from_millis(200.0));
    let updates = [
        (NodeId(1), Update::Sent),
        (NodeId(0), Update::Overdue),
        (NodeId(1), Update::Failed),
        (NodeId(0), answered),
    ];
    let messages = tags.write(&updates, 256);
    let read = tags.read(&messages[0]).unwrap();
    assert_eq!(read[..3], updates[..3]);
    let (node, Update::Answered(latency)) = read[3] else { panic!("{read:?}") };
    assert!(node == NodeId(0) && (180.0..220.0).contains(&latency.as_millis()));
    for length in [0, 1, 2, 4, 5, messages[0].len() - 1] {
        assert_eq!(tags.read(&messages[0][..length]), None, "truncated to {length} bytes");
    }
    assert_eq!(NodeTags::default().read(&messages[0]), Some(Vec::new()));
    let split = tags.write(&updates, 8);
    assert!(split.len() > 1 && split.iter().all(|message| message.len() <= 8));
    assert_eq!(split.iter().flat_map(|message| tags.read(message).unwrap()).count(), updates.len());
}
