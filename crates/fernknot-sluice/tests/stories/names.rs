//! Nodes and services that come and go.

use super::{Story, plan, request};
use fernknot::interface::Nanos;
use fernknot_intake::ClientLimits;

#[test]
fn given_a_node_that_no_well_teller_names_when_it_is_dropped_then_nothing_further_goes_to_it() {
    let mut story = Story::begin(260, plan(ClientLimits::default()));
    story.hears_anew(Vec::new());
    story.waits_well(Nanos(3_000_000_000));
    let client = story.client();
    let begun = story.lines.len();
    story.comes(client, &request("a", 500));
    story.waits(Nanos(600_000_000));
    assert_eq!(story.lines.len(), begun, "it was sent to a node that the list has dropped");
    assert!(story.got(client).starts_with("HTTP/1.1 503 "));
}
