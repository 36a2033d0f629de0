//! The settings object as the bench and the sockets give it, and what is made of it.

use fernknot::interface::*;
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Facts {
    #[serde(default)]
    accounts: Vec<Account>,
    allowed: Allowed,
    balancers: usize,
    classes: Vec<Class>,
    discovery: String,
    family_info: FamilyInfo,
    rules: Rules,
    #[serde(default)]
    worth_by: WorthBy,
    locality: Option<u32>,
    #[serde(default)]
    zones: Vec<String>,
    #[serde(default)]
    client_habits: ClientHabits,
    position: Option<usize>,
    tick: f64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase")]
struct ClientHabits {
    marks_retry: Option<bool>,
}

/// What earnings are counted by.
#[derive(Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum WorthBy {
    #[default]
    Request,
    Work,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Account {
    quota_per_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Allowed {
    #[serde(default)]
    cancel: bool,
    #[serde(default)]
    peers: bool,
    try_limit: u32,
    #[serde(default)]
    max_retry_after: f64,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    second_copies: bool,
    conn_idle: Option<f64>,
    connect_timeout: Option<f64>,
    max_streams: Option<usize>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Class {
    #[serde(default)]
    aim_stretch: f64,
    #[serde(default)]
    name: String,
    on_time: f64,
    deadline: f64,
    effect: ClassEffect,
    #[serde(default)]
    late_share: f64,
    #[serde(default)]
    repeat_window: f64,
    worth: f64,
    phases: Option<PhasesGiven>,
}

/// A use case that may be asked in two phases; all but the key itself may be left out.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
struct PhasesGiven {
    least_first: Option<f64>,
    most_first: Option<f64>,
    silent: Option<Silent>,
    names_others: Option<bool>,
    least_matches: Option<f64>,
    split: Option<Split>,
    refuses: Option<bool>,
    prunes: Option<bool>,
}

/// What a block means that did not answer the first phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Silent {
    /// It is fetched as if it matched.
    Fetch,
    /// It is left out, and the answer is not whole.
    Leave,
    /// The query is refused.
    Refuse,
}

/// How the goal time is split between the phases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Split {
    /// By what second phases of such a size have taken lately.
    Learned,
    Half,
}

/// How a use case is asked in two phases.
#[derive(Clone, Debug, PartialEq)]
pub struct PhaseFacts {
    pub goal: Nanos,
    /// The least and the most that the first phase may have of the goal time.
    pub first_least: f64,
    pub first_most: f64,
    pub silent: Silent,
    /// A block's match answer may name others than itself.
    pub names_others: bool,
    /// The share of the first phase with which the second may be opened.
    pub least: f64,
    pub split: Split,
    /// A second phase that cannot be in time is refused; what does not match is not fetched. Both off for
    /// comparison only.
    pub refuses: bool,
    pub prunes: bool,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum ClassEffect {
    Safe,
    Keyed,
    Unsafe,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct FamilyInfo {
    places: u32,
    width: u32,
    slabs: Option<u32>,
    bundle_max: Option<usize>,
    #[serde(default)]
    class_fetch: Vec<f64>,
    #[serde(default)]
    min_share: Vec<f64>,
    #[serde(default)]
    class_need: Vec<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Rules {
    free_resends: Option<f64>,
    extra_share: Option<f64>,
    counted_over: Option<f64>,
    cold_from: f64,
    cold: f64,
    fall_multiple: f64,
    fall: f64,
    drain_grace: Option<f64>,
}

/// What the sockets need of the settings, beside the module.
#[derive(Clone, Debug)]
pub struct SocketFacts {
    /// The use cases' names as paths have them, and whether each needs a key, in the module's order.
    pub use_cases: Vec<(String, bool)>,
    pub shards: u32,
    /// Calls that one connection carries at once, and parts that one call holds.
    pub streams: usize,
    pub batch: usize,
    pub idle: Nanos,
    pub connect_within: Nanos,
    pub drain_grace: Nanos,
    /// The longest that any client waits.
    pub longest_wait: Nanos,
    /// For each use case, how it is asked in two phases, if it may be.
    pub phases: Vec<Option<PhaseFacts>>,
    pub position: usize,
    /// The zones as the list names them, in the order of their numbers.
    pub zones: Vec<String>,
}

impl Facts {
    /// What the decision module is told.
    pub fn site(&self) -> Result<SiteFacts, String> {
        let facts = self;
        let millis = Nanos::from_millis;
        let family = &facts.family_info;
        let of = |list: &[f64], index: usize, default: f64| list.get(index).copied().unwrap_or(default);
        let use_case = |(index, class): (usize, &Class)| UseCaseFacts {
            goal: millis(class.on_time),
            hard_limit: millis(class.deadline),
            earnings: class.worth,
            late_share: class.late_share,
            squared: false,
            effect: match class.effect {
                ClassEffect::Safe => Effect::Replayable,
                ClassEffect::Keyed => Effect::Referenced(millis(class.repeat_window)),
                ClassEffect::Unsafe => Effect::SingleUse,
            },
            stretch: class.aim_stretch,
            need: of(&family.class_need, index, 1.0),
            floor: of(&family.min_share, index, of(&family.class_need, index, 1.0)),
            second_step: of(&family.class_fetch, index, 0.0) > 0.0,
            most_hand_offs: None,
        };
        // Guards against a router that takes all that is near for far: its zone must be one that is named.
        if let Some(zone) = facts.locality.filter(|zone| *zone as usize >= facts.zones.len().max(1)) {
            return Err(format!("locality: {zone} is none of the {} zones", facts.zones.len()));
        }
        let rules = &facts.rules;
        let budget = match (rules.free_resends, rules.extra_share, rules.counted_over) {
            (None, None, _) => None,
            (free, share, Some(window)) => Some(BudgetFacts {
                free: free.unwrap_or(0.0),
                share: share.unwrap_or(0.0),
                window: millis(window),
                each_shard: false,
            }),
            _ => return Err("rules.countedOver: missing beside freeResends or extraShare".to_string()),
        };
        Ok(SiteFacts {
            routers: facts.balancers,
            use_cases: facts.classes.iter().enumerate().map(use_case).collect(),
            shortest_goal: None,
            customers: facts.accounts.iter().map(|account| account.quota_per_s).collect(),
            tick: millis(facts.tick),
            cold: ColdFacts {
                from: rules.cold_from,
                warm_after: millis(rules.cold),
                multiple: rules.fall_multiple,
                window: millis(rules.fall),
            },
            budget,
            places: family.places,
            width: family.width,
            cancel: facts.allowed.cancel,
            second_copies: facts.allowed.second_copies,
            most_hand_offs: facts.allowed.try_limit,
            longest_wait: facts.allowed.retry_after.then_some(millis(facts.allowed.max_retry_after)),
            must_ask: facts.discovery == "ask",
            peers: facts.allowed.peers,
            marks_repeats: facts.client_habits.marks_retry.unwrap_or(true),
            refusals_cost: false,
            zone: facts.locality.filter(|_| facts.zones.len() > 1).map(ZoneId),
            by_work: facts.worth_by == WorthBy::Work,
        })
    }

    /// How each use case is asked in two phases, if it may be.
    pub fn phases(&self) -> Result<Vec<Option<PhaseFacts>>, String> {
        let phases = |(index, class): (usize, &Class)| {
            let Some(given) = &class.phases else { return Ok(None) };
            let least = self.family_info.min_share.get(index).or(self.family_info.class_need.get(index));
            let facts = PhaseFacts {
                goal: Nanos::from_millis(class.on_time),
                first_least: given.least_first.unwrap_or(0.2),
                first_most: given.most_first.unwrap_or(0.8),
                silent: given.silent.unwrap_or(Silent::Fetch),
                names_others: given.names_others.unwrap_or(false),
                least: given.least_matches.or(least.copied()).unwrap_or(1.0),
                split: given.split.unwrap_or(Split::Learned),
                refuses: given.refuses.unwrap_or(true),
                prunes: given.prunes.unwrap_or(true),
            };
            let wrong = |key: &str, value: f64, why: &str| {
                Err(format!("classes[{index}].phases.{key}: {value} {why}"))
            };
            if !(facts.first_least > 0.0 && facts.first_least < 1.0) {
                return wrong("leastFirst", facts.first_least, "is not between 0 and 1");
            }
            if !(facts.first_most >= facts.first_least && facts.first_most < 1.0) {
                return wrong("mostFirst", facts.first_most, "is not between leastFirst and 1");
            }
            if !(facts.least > 0.0 && facts.least <= 1.0) {
                return wrong("leastMatches", facts.least, "is no share above 0");
            }
            Ok(Some(facts))
        };
        self.classes.iter().enumerate().map(phases).collect()
    }

    /// What the sockets need; a drill can do without.
    pub fn sockets(&self) -> Result<SocketFacts, String> {
        let span = |key: &str, value: Option<f64>| match value {
            Some(value) if value > 0.0 => Ok(Nanos::from_millis(value)),
            Some(value) => Err(format!("{key}: {value} is no time")),
            None => Err(format!("{key}: missing")),
        };
        let count = |key: &str, value: Option<usize>| match value {
            Some(0) => Err(format!("{key}: must be at least 1")),
            Some(value) => Ok(value),
            None => Err(format!("{key}: missing")),
        };
        for (index, class) in self.classes.iter().enumerate() {
            let seen = self.classes[..index].iter().any(|other| other.name == class.name);
            if class.name.is_empty() || seen {
                return Err(format!("classes[{index}].name: missing or given twice"));
            }
        }
        let class = |class: &Class| (class.name.clone(), matches!(class.effect, ClassEffect::Keyed));
        Ok(SocketFacts {
            use_cases: self.classes.iter().map(class).collect(),
            shards: count("familyInfo.slabs", self.family_info.slabs.map(|slabs| slabs as usize))? as u32,
            streams: count("allowed.maxStreams", self.allowed.max_streams)?,
            batch: count("familyInfo.bundleMax", self.family_info.bundle_max)?,
            idle: span("allowed.connIdle", self.allowed.conn_idle)?,
            connect_within: span("allowed.connectTimeout", self.allowed.connect_timeout)?,
            drain_grace: span("rules.drainGrace", self.rules.drain_grace)?,
            longest_wait: Nanos::from_millis(
                self.classes.iter().map(|class| class.deadline).fold(0.0, f64::max),
            ),
            phases: self.phases()?,
            position: self.position.ok_or("position: missing")?,
            zones: self.zones.clone(),
        })
    }
}
