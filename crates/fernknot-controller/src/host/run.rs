//! Main loop of the host: polls the disk, executes actions, and waits for network events and due times.

use crate::host::settings::{contact_timeout, duration, seed_addrs, settings_check_interval};
use crate::host::state::Host;
use fernknot::interface::Nanos;
use fernknot_telemetry::component;

/// Time after a requested stop at which the process ends whatever is pending, as a share of the grace period in the
/// settings.
const SHUTDOWN_GRACE_SHARE: f64 = 0.25;
/// Interval between polls of the disk while a write is pending, as a share of the apply deadline.
const DISK_POLL_SHARE: f64 = 1.0 / 12.0;
/// Maximum duration of one wait during the shutdown, as a share of the remaining time.
const CLOSE_WAIT_SHARE: f64 = 0.2;

impl Host {
    /// Runs until a requested stop is complete.
    pub fn run(&mut self) {
        let mut events = Vec::new();
        loop {
            let now = self.now();
            self.check_signals(now);
            self.update_time_of_day(now);
            self.poll_disk(now);
            self.perform_actions(now);
            self.send_shuffles(now);
            if self.next_sweep <= now {
                self.close_idle_connections(now);
            }
            if self.is_shut_down(now) {
                return self.close();
            }
            let wait = self.next_timeout(now) - now;
            self.event_loop.poll(Some(duration(wait)), &mut events);
            for event in events.drain(..) {
                self.handle_event(event);
            }
        }
    }

    fn check_signals(&mut self, now: Nanos) {
        if self.signals.take_stop_request() && self.shutdown_deadline.is_none() {
            log::info!(target: component::PROCESS, "stop requested; shutting down");
            let grace_period = Nanos::from_millis(self.settings.bounds.grace_s * 1000.0);
            self.shutdown_deadline = Some(now + grace_period.times(SHUTDOWN_GRACE_SHARE));
            self.controller.begin_shutdown(now);
        }
        if self.signals.take_reload_request() || now >= self.next_settings_check {
            self.reload_settings(now);
        }
    }

    /// Takes over the seeds (addresses of controllers) of the settings file, if the file has been modified since the
    /// last check.
    fn reload_settings(&mut self, now: Nanos) {
        self.next_settings_check = now + settings_check_interval(&self.settings);
        if !self.settings_file.take_modified() {
            return;
        }
        let Some(settings) = self.settings_file.reload() else { return };
        if settings.seeds != self.settings.seeds {
            log::info!(target: component::SETTINGS, "seeds changed, now {} in the settings file", settings.seeds.len());
        }
        let seeds = seed_addrs(&settings);
        self.controller.add_seeds(now, &seeds);
        self.shuffle.set_seeds(&seeds);
        self.settings.seeds = settings.seeds;
    }

    fn send_shuffles(&mut self, now: Nanos) {
        while let Some((to, bytes)) = self.shuffle.poll_datagram(now) {
            self.event_loop.send_datagram(to, &bytes);
        }
    }

    /// Closes idle connections. Without a lease, also adds the controllers that peer sampling has found: those named
    /// by the settings and the view may not suffice for a majority.
    fn close_idle_connections(&mut self, now: Nanos) {
        let contact_timeout = contact_timeout(&self.settings);
        self.next_sweep = now + contact_timeout;
        for id in self.connections.idle(now, contact_timeout) {
            self.connection_closed(now, id);
        }
        if !self.controller.holds_lease() {
            self.controller.add_seeds(now, &self.shuffle.candidate_controllers());
        }
    }

    fn is_shut_down(&self, now: Nanos) -> bool {
        self.shutdown_deadline.is_some_and(|deadline| now >= deadline || self.controller.can_exit())
    }

    fn next_timeout(&self, now: Nanos) -> Nanos {
        let settings_check = self.next_settings_check;
        let shuffle = self.shuffle.next_timeout().unwrap_or(settings_check);
        let next = self.controller.next_timeout().min(settings_check).min(self.next_sweep).min(shuffle);
        match self.disk.is_writing() {
            true => {
                let apply_deadline = Nanos::from_millis(self.settings.bounds.apply_ms);
                next.min(now + apply_deadline.times(DISK_POLL_SHARE))
            }
            false => next,
        }
    }

    /// Stops listening, and waits until pending replies are sent or the setting `bounds.loss_slack_ms` has passed.
    fn close(&mut self) {
        self.event_loop.stop_listening(self.control_listener);
        self.event_loop.stop_listening(self.internal_listener);
        let mut events = Vec::new();
        let deadline = self.now() + Nanos::from_millis(self.settings.bounds.loss_slack_ms);
        while self.has_pending_output() && self.now() < deadline {
            let remaining = deadline - self.now();
            self.event_loop.poll(Some(duration(remaining.times(CLOSE_WAIT_SHARE))), &mut events);
            events.clear();
        }
        log::info!(target: component::PROCESS, "controller stopped");
    }

    fn has_pending_output(&self) -> bool {
        self.connections.ids().any(|id| self.event_loop.pending_output_bytes(id) > 0)
    }
}
