//! Conversion between the topics that `fernknot-distribution` selects sources for and the subscriptions on the wire.

use fernknot_distribution::Topic;
use fernknot_rpc::Subscription;
use std::collections::BTreeSet;

/// Returns the subscription to these topics. `services` are those of the configuration in force.
pub(super) fn subscription_to(topics: &[Topic], services: &BTreeSet<String>) -> Subscription {
    let service = |topic: &Topic| match topic {
        Topic::Configuration => None,
        Topic::Service(name) => Some(name.as_str().to_string()),
    };
    let names: Vec<String> = topics.iter().filter_map(service).collect();
    match names.len() >= services.len() {
        true => Subscription::All,
        false => Subscription::Services(names),
    }
}

/// Returns the topics of a subscription. `services` are those of the configuration in force.
pub(super) fn topics_of(subscription: &Subscription, services: &BTreeSet<String>) -> Vec<Topic> {
    let mut topics: Vec<Topic> = match subscription {
        Subscription::All => services.iter().map(|name| Topic::service(name)).collect(),
        Subscription::Services(names) => names.iter().map(|name| Topic::service(name)).collect(),
    };
    topics.push(Topic::Configuration);
    topics
}
