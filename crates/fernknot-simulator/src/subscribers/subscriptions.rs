//! Subscriptions to controllers: selection, time-outs and loss of the connection.

use crate::controllers::machine::Input;
use crate::event::Event;
use crate::simulation::Simulation;
use crate::subscribers::state::SubscriberEvent;
use crate::time::millis;
use crate::topology::{FIRST_SUBSCRIBER, gateway_addr, zone_name};
use fernknot::interface::Nanos;
use fernknot_controller::SubscriberId;
use fernknot_ownership::{GatewayRecord, IncarnationId};
use fernknot_rpc::{GatewayToController, Subscription};

const CHECK_INTERVAL: Nanos = millis(100);
/// Time after which a subscriber leaves its controller if it receives no message, or no heartbeat that reports contact
/// with a majority (the lease).
const CONTROLLER_TIMEOUT: Nanos = millis(1000);
/// Time after the beginning of a subscription after which a subscriber that has received no message leaves its
/// controller.
const FIRST_MESSAGE_TIMEOUT: Nanos = millis(300);

impl Simulation {
    pub(crate) fn start_subscribers(&mut self) {
        for subscriber in 0..self.subscribers.count() {
            let delay = millis(400 + 50 * subscriber as u64);
            self.schedule_subscriber(delay, SubscriberEvent::CheckController { subscriber });
        }
    }

    pub(super) fn schedule_subscriber(&mut self, delay: Nanos, event: SubscriberEvent) {
        self.schedule(delay, Event::Subscriber(event));
    }

    pub(crate) fn on_subscriber_event(&mut self, event: SubscriberEvent) {
        match event {
            SubscriberEvent::Connected { subscriber, subscription } => {
                self.attach_subscriber(subscriber, subscription);
            }
            SubscriberEvent::Message { subscriber, subscription, message } => {
                if self.subscribers.list[subscriber].has_subscription(subscription) {
                    self.subscriber_receives(subscriber, message);
                }
            }
            SubscriberEvent::Disconnected { subscriber, subscription } => {
                if self.subscribers.list[subscriber].has_subscription(subscription) {
                    self.subscribers.list[subscriber].subscription = None;
                    self.subscribe_elsewhere(subscriber);
                }
            }
            SubscriberEvent::CheckController { subscriber } => self.check_controller(subscriber),
        }
    }

    /// Leaves the controller if it has been silent or without a majority for too long, and otherwise sends it a
    /// heartbeat.
    fn check_controller(&mut self, index: usize) {
        let event = SubscriberEvent::CheckController { subscriber: index };
        self.schedule_subscriber(CHECK_INTERVAL, event);
        let subscriber = &self.subscribers.list[index];
        let (controller, incarnation) = (subscriber.controller, subscriber.incarnation);
        let timeout = if subscriber.has_received { CONTROLLER_TIMEOUT } else { FIRST_MESSAGE_TIMEOUT };
        let is_silent = self.now - subscriber.last_received > timeout;
        let has_no_majority = self.now - subscriber.last_lease > CONTROLLER_TIMEOUT;
        let Some(subscription) = subscriber.subscription.filter(|_| !is_silent && !has_no_majority) else {
            return self.subscribe_elsewhere(index);
        };
        if incarnation != 0 && !self.network.is_partitioned(FIRST_SUBSCRIBER + index, controller) {
            let delay = self.sample_delay(index, controller);
            let from = SubscriberId(subscription);
            let message = GatewayToController::Heartbeat { ready: true };
            self.schedule_input(delay, controller, incarnation, Input::GatewayMessage { from, message });
        }
    }

    /// Subscribes to a random one of the advertised controllers whose last failure is the earliest.
    fn subscribe_elsewhere(&mut self, index: usize) {
        self.leave_controller(index);
        let failures = &self.subscribers.list[index].last_failures;
        let last_failure = |controller: &usize| failures.get(controller).copied().unwrap_or_default();
        let advertised = &self.discovery.advertised;
        let earliest = advertised.iter().map(last_failure).min();
        let candidates: Vec<usize> = advertised
            .iter()
            .copied()
            .filter(|controller| Some(last_failure(controller)) == earliest)
            .collect();
        let Some(controller) = self.rng.choose(&candidates) else { return };
        let old = self.subscribers.list[index].controller;
        self.trace(|| format!("subscriber {index} goes from {old} to {controller}"));
        let subscription = self.next_sequence();
        let now = self.now;
        let subscriber = &mut self.subscribers.list[index];
        subscriber.subscription = Some(subscription);
        subscriber.controller = controller;
        subscriber.incarnation = 0;
        subscriber.is_broken = false;
        subscriber.has_received = false;
        subscriber.last_received = now;
        subscriber.last_lease = now;
        subscriber.last_arrival = now;
        let delay = self.sample_delay(index, controller) + self.sample_delay(controller, index);
        self.schedule_subscriber(delay, SubscriberEvent::Connected { subscriber: index, subscription });
    }

    /// Ends the current subscription, if any, and notifies its controller.
    fn leave_controller(&mut self, index: usize) {
        let subscriber = &self.subscribers.list[index];
        let (controller, incarnation) = (subscriber.controller, subscriber.incarnation);
        let Some(subscription) = subscriber.subscription else { return };
        if incarnation != 0 {
            let is_partitioned = self.network.is_partitioned(FIRST_SUBSCRIBER + index, controller);
            let delay =
                if is_partitioned { CONTROLLER_TIMEOUT } else { self.sample_delay(index, controller) };
            let input = Input::SubscriberGone(SubscriberId(subscription));
            self.schedule_input(delay, controller, incarnation, input);
        }
        self.subscribers.list[index].last_failures.insert(controller, self.now);
    }

    fn attach_subscriber(&mut self, index: usize, subscription: u64) {
        let subscriber = &self.subscribers.list[index];
        let (controller, revision) = (subscriber.controller, subscriber.revision);
        let machine = &self.machines[controller];
        if !subscriber.has_subscription(subscription) || !machine.is_reachable() {
            return;
        }
        if !self.network.is_linked(FIRST_SUBSCRIBER + index, controller) {
            return;
        }
        let (is_up, incarnation) = (machine.is_up(), machine.incarnation);
        let subscriber = &mut self.subscribers.list[index];
        if !is_up {
            subscriber.subscription = None;
            subscriber.last_failures.insert(controller, self.now);
            return;
        }
        subscriber.incarnation = incarnation;
        let gateway = GatewayRecord {
            incarnation: IncarnationId(index as u64 + 1),
            addr: gateway_addr(index),
            zone: zone_name(index),
        };
        let message = GatewayToController::Subscribe {
            gateway,
            ready: true,
            subscription: Subscription::All,
            revision,
        };
        let delay = self.sample_delay(index, controller);
        let from = SubscriberId(subscription);
        self.schedule_input(delay, controller, incarnation, Input::GatewayMessage { from, message });
    }

    /// Breaks the subscriptions at a controller whose process has ended or whose connections were reset. Subscribers
    /// are notified unless the machine has lost power.
    pub(crate) fn drop_subscribers(&mut self, controller: usize, incarnation: u64, loses_power: bool) {
        for index in 0..self.subscribers.count() {
            let is_up = self.machines[controller].is_up();
            let subscriber = &mut self.subscribers.list[index];
            if subscriber.controller != controller || subscriber.incarnation != incarnation {
                continue;
            }
            let Some(subscription) = subscriber.subscription else { continue };
            subscriber.is_broken = true;
            if is_up {
                // A reset is visible to both ends, and it disturbs the subscriber too.
                subscriber.disturbed_at = self.now;
                self.deliver(controller, Input::SubscriberGone(SubscriberId(subscription)));
            }
            if !loses_power {
                let event = SubscriberEvent::Disconnected { subscriber: index, subscription };
                self.schedule_subscriber(millis(5), event);
            }
        }
    }

    /// Breaks the connections of subscribers across a partitioned link.
    pub(crate) fn partition_subscribers(&mut self, from: usize, to: usize) {
        for (index, subscriber) in self.subscribers.list.iter_mut().enumerate() {
            let link = (FIRST_SUBSCRIBER + index, subscriber.controller);
            if link == (from, to) || link == (to, from) {
                subscriber.is_broken = true;
            }
        }
    }
}
