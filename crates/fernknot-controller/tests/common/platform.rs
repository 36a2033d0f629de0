//! The platform's side of the role of usage reporter, with a checker of the rules that hold for it.

use super::{START_UNIX_MS, ms};
use fernknot::interface::Nanos;
use fernknot_usage_reporting::{CallOutcome, UsageCall};
use std::collections::BTreeMap;

/// Length of a window, in milliseconds.
const WINDOW_MS: u64 = 5000;
/// Time within which the role may not return to an earlier holder.
const LEASE: Nanos = Nanos(3_000_000_000);

/// What the platform does with a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlatformMode {
    #[default]
    Accept,
    /// Accepts and answers after this time.
    Slow(Nanos),
    /// Accepts and never answers.
    AcceptSilently,
    /// Never answers and accepts nothing.
    Silent,
    /// Accepts and resets the connection.
    AcceptAndReset,
    /// Answers with this status and accepts nothing.
    Reject(u16),
    /// No connection opens.
    Unreachable,
}

#[derive(Clone, Debug)]
pub struct AcceptedReport {
    pub at: Nanos,
    pub body: String,
}

/// The platform, which checks each call. Its panics name the rule that is broken.
#[derive(Default)]
pub struct Platform {
    pub mode: PlatformMode,
    /// First accepted report on each window.
    pub accepted: BTreeMap<u64, AcceptedReport>,
    /// Holder and time of each accepted call.
    pub acts: Vec<(String, Nanos)>,
    /// Number of calls with an outdated token.
    pub fenced: u64,
    holder_of_token: BTreeMap<u64, String>,
    highest_token: u64,
}

impl Platform {
    /// Handles a call. Returns the outcome for the caller, if there is one, and the time until then.
    pub fn receive(&mut self, now: Nanos, call: &UsageCall) -> (Option<CallOutcome>, Nanos) {
        let answer = |status| (Some(CallOutcome::Answered(status)), Nanos(0));
        match self.mode {
            PlatformMode::Silent | PlatformMode::Unreachable => return (None, Nanos(0)),
            PlatformMode::Reject(status) => return answer(status),
            _ => {}
        }
        if !self.accept(now, call) {
            return answer(409);
        }
        match self.mode {
            PlatformMode::AcceptSilently => (None, Nanos(0)),
            PlatformMode::AcceptAndReset => (Some(CallOutcome::Unclear), Nanos(0)),
            PlatformMode::Slow(wait) => (Some(CallOutcome::Answered(200)), wait),
            _ => answer(200),
        }
    }

    fn accept(&mut self, now: Nanos, call: &UsageCall) -> bool {
        let token = call.token.0;
        let holder = self.holder_of_token.entry(token).or_insert_with(|| call.holder.clone());
        assert_eq!(*holder, call.holder, "ONE: two holders of token {token}");
        if token < self.highest_token {
            self.fenced += 1;
            return false;
        }
        self.highest_token = token;
        let body = String::from_utf8(call.body.clone()).expect("JSON");
        let first = self.accepted.entry(call.window.0);
        let first = first.or_insert_with(|| AcceptedReport { at: now, body: body.clone() });
        assert_eq!(first.body, body, "ONE: two contents of window {}", call.window.0);
        let recent = self.acts.iter().rev().take_while(|(_, at)| now - *at < LEASE);
        let returns =
            recent.skip_while(|(holder, _)| *holder == call.holder).any(|(holder, _)| *holder == call.holder);
        assert!(!returns, "ONE: {} acts again within the lease", call.holder);
        self.acts.push((call.holder.clone(), now));
        true
    }

    /// Fails unless every window that is due at `now` was reported in time, beginning with the first one reported.
    /// Windows that were due before `forgiven_before` may have been reported later.
    pub fn check_due(&self, now: Nanos, usage_delay: Nanos, forgiven_before: Nanos) {
        let first = *self.accepted.keys().next().expect("a window was reported");
        let end = |window: u64| ms((window + 1) * WINDOW_MS - START_UNIX_MS);
        for window in (first..).take_while(|window| end(*window) + usage_delay <= now) {
            let report = self.accepted.get(&window).unwrap_or_else(|| panic!("window {window} is missing"));
            let due_at = end(window) + usage_delay;
            assert!(
                report.at <= due_at || due_at < forgiven_before,
                "window {window} was due at {due_at:?} and reported at {:?}",
                report.at
            );
        }
    }

    pub fn body(&self, window: u64) -> &str {
        &self.accepted.get(&window).unwrap_or_else(|| panic!("window {window} is missing")).body
    }
}
