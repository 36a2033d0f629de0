//! What routers tell each other of nodes.

use fernknot::interface::{Nanos, NodeId, Update};
use fernknot_protocol::peer_updates::NodeTags;

#[test]
fn what_is_written_is_read_and_what_is_cut_off_or_strange_is_left_out() {
    let mut tags = NodeTags::default();
    tags.add("10.0.0.1:80", NodeId(0));
    tags.add("10.0.0.2:80", NodeId(1));
    let took = Update::Answered(Nanos::from_millis(200.0));
    let news = [
        (NodeId(1), Update::Sent),
        (NodeId(0), Update::Overdue),
        (NodeId(1), Update::Failed),
        (NodeId(0), took),
    ];
    let messages = tags.write(&news, 256);
    let read = tags.read(&messages[0]).unwrap();
    assert_eq!(read[..3], news[..3]);
    let (node, Update::Answered(latency)) = read[3] else { panic!("{read:?}") };
    assert!(node == NodeId(0) && (180.0..220.0).contains(&latency.as_millis()));
    for cut in [0, 1, 2, 4, 5, messages[0].len() - 1] {
        assert_eq!(tags.read(&messages[0][..cut]), None, "cut at {cut}");
    }
    assert_eq!(NodeTags::default().read(&messages[0]), Some(Vec::new()));
    let split = tags.write(&news, 8);
    assert!(split.len() > 1 && split.iter().all(|message| message.len() <= 8));
    assert_eq!(split.iter().flat_map(|message| tags.read(message).unwrap()).count(), news.len());
}
