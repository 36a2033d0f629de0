//! Form of the settings object, before validation. The fields have the names of their keys in snake case.

use crate::phases::{LatencySplit, UnansweredBlock};
use serde::Deserialize;

/// The settings object in the form that the bench (the simulator that drives the decision module) and the router's
/// configuration file have. Unknown keys are ignored.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase", rename = "Facts")]
pub struct RawSettings {
    #[serde(default)]
    pub(crate) accounts: Vec<Account>,
    pub(crate) allowed: Allowed,
    pub(crate) balancers: usize,
    pub(crate) classes: Vec<Class>,
    pub(crate) discovery: String,
    pub(crate) family_info: FamilyInfo,
    pub(crate) rules: Rules,
    #[serde(default)]
    pub(crate) worth_by: WorthBy,
    pub(crate) locality: Option<u32>,
    #[serde(default)]
    pub(crate) zones: Vec<String>,
    #[serde(default)]
    pub(crate) client_habits: ClientHabits,
    pub(crate) position: Option<usize>,
    /// Resolution of the clock of the program that drives the decision module, in milliseconds.
    pub(crate) tick: f64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct ClientHabits {
    pub(crate) marks_retry: Option<bool>,
}

/// Unit in which the value of answers is counted.
#[derive(Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum WorthBy {
    #[default]
    Request,
    Work,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Account {
    pub(crate) quota_per_s: f64,
}

/// Features that a router may use, and limits that apply to it. Durations are in milliseconds.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Allowed {
    #[serde(default)]
    pub(crate) cancel: bool,
    #[serde(default)]
    pub(crate) peers: bool,
    pub(crate) try_limit: u32,
    #[serde(default)]
    pub(crate) max_retry_after: f64,
    #[serde(default)]
    pub(crate) retry_after: bool,
    #[serde(default)]
    pub(crate) second_copies: bool,
    pub(crate) conn_idle: Option<f64>,
    pub(crate) connect_timeout: Option<f64>,
    pub(crate) max_streams: Option<usize>,
}

/// A use case: a kind of queries with one latency target and one value. Durations are in milliseconds.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Class {
    #[serde(default)]
    pub(crate) aim_stretch: f64,
    #[serde(default)]
    pub(crate) name: String,
    pub(crate) on_time: f64,
    pub(crate) deadline: f64,
    pub(crate) effect: ClassEffect,
    #[serde(default)]
    pub(crate) late_share: f64,
    #[serde(default)]
    pub(crate) repeat_window: f64,
    pub(crate) worth: f64,
    pub(crate) phases: Option<PhasesGiven>,
}

/// Two-phase settings of a use case, see `TwoPhaseSettings`; all keys are optional.
#[derive(Deserialize)]
// The parser's error messages contain the struct's name.
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub(crate) struct PhasesGiven {
    #[serde(rename = "leastFirst")]
    pub(crate) min_first: Option<f64>,
    #[serde(rename = "mostFirst")]
    pub(crate) max_first: Option<f64>,
    #[serde(rename = "silent")]
    pub(crate) unanswered_block: Option<UnansweredBlock>,
    pub(crate) names_others: Option<bool>,
    pub(crate) least_matches: Option<f64>,
    pub(crate) split: Option<LatencySplit>,
    pub(crate) refuses: Option<bool>,
    pub(crate) prunes: Option<bool>,
}

/// Side effects of a request of a class, which determine whether it may be repeated.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum ClassEffect {
    Safe,
    Keyed,
    Unsafe,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct FamilyInfo {
    pub(crate) places: u32,
    pub(crate) width: u32,
    pub(crate) slabs: Option<u32>,
    pub(crate) bundle_max: Option<usize>,
    #[serde(default)]
    pub(crate) class_fetch: Vec<f64>,
    #[serde(default)]
    pub(crate) min_share: Vec<f64>,
    #[serde(default)]
    pub(crate) class_need: Vec<f64>,
}

/// Rules for retries, slow start and draining. Durations are in milliseconds.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Rules {
    pub(crate) free_resends: Option<f64>,
    pub(crate) extra_share: Option<f64>,
    pub(crate) counted_over: Option<f64>,
    pub(crate) cold_from: f64,
    pub(crate) cold: f64,
    pub(crate) fall_multiple: f64,
    pub(crate) fall: f64,
    pub(crate) drain_grace: Option<f64>,
}
