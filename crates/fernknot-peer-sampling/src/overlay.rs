//! One process's part of the whole.

use crate::descriptor::{PeerDescriptor, Role};
use fernknot::interface::Nanos;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddrV4;

/// A controller of which nobody heard for so many periods is dropped, unless no other is known.
const EXPIRY_PERIODS: u32 = 40;
/// An unanswered shuffle, or a failed connection, ages a controller by so many periods.
const FAILURE_AGING_PERIODS: u32 = 10;
/// Controllers told with each shuffle.
const CONTROLLERS_PER_SHUFFLE: usize = 3;
/// How often the oldest of the own zone is asked instead of the oldest of all: bytes between zones are dear.
const OWN_ZONE_PROBABILITY: f64 = 0.5;
/// How often a seed is asked, so that parts that lost each other meet again.
const SEED_PROBABILITY: f64 = 1.0 / 16.0;
/// Least entries kept for each zone, as long as the view has room for it.
const MIN_ENTRIES_PER_ZONE: usize = 2;
/// A gap between two calls of the host counts as no more than so many periods: one that was frozen doesn't forget all.
const MAX_GAP_PERIODS: f64 = 2.0;
/// Longest name of a zone, in bytes.
const MAX_ZONE_NAME_BYTES: usize = 100;

/// What a process may hold and tell.
#[derive(Clone, Copy, Debug)]
pub struct PeerSamplerSettings {
    /// Entries of the view that is shuffled.
    pub view_size: usize,
    /// Entries of it that are told with a shuffle.
    pub sample_size: usize,
    /// Controllers kept besides.
    pub max_controllers: usize,
    /// Addresses from the settings that are remembered, the newest first.
    pub max_seeds: usize,
}

impl Default for PeerSamplerSettings {
    fn default() -> Self {
        PeerSamplerSettings { view_size: 20, sample_size: 6, max_controllers: 12, max_seeds: 12 }
    }
}

/// What the host has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send this to a process; its answer goes to [`Overlay::answered`].
    Shuffle { to: SocketAddrV4, sample: Vec<PeerDescriptor> },
}

struct PendingShuffle {
    to: SocketAddrV4,
    sent: Vec<SocketAddrV4>,
}

/// Which processes this one knows.
pub struct PeerSampler {
    own_descriptor: PeerDescriptor,
    period: Nanos,
    settings: PeerSamplerSettings,
    view: Vec<PeerDescriptor>,
    controllers: Vec<PeerDescriptor>,
    seeds: Vec<SocketAddrV4>,
    /// Seeds not asked yet since they were told.
    unasked_seeds: Vec<SocketAddrV4>,
    pending_shuffle: Option<PendingShuffle>,
    now: Option<Nanos>,
    rng: ChaCha8Rng,
    next_shuffle_at: Option<Nanos>,
}

impl PeerSampler {
    /// Knows its seeds only. The first shuffle is due within a period of the first [`Self::next`].
    pub fn new(
        me: PeerDescriptor,
        seeds: &[SocketAddrV4],
        period: Nanos,
        bounds: PeerSamplerSettings,
        seed: u64,
    ) -> PeerSampler {
        let mut overlay = PeerSampler {
            own_descriptor: PeerDescriptor { age_ms: 0, ..me },
            period: Nanos(period.0.max(1)),
            settings: PeerSamplerSettings {
                view_size: bounds.view_size.max(1),
                sample_size: bounds.sample_size.max(1),
                ..bounds
            },
            view: Vec::new(),
            controllers: Vec::new(),
            seeds: Vec::new(),
            unasked_seeds: Vec::new(),
            pending_shuffle: None,
            now: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
            next_shuffle_at: None,
        };
        overlay.set_seeds(seeds);
        overlay
    }

    /// The settings name other seeds now. Earlier ones are remembered as long as there is room.
    pub fn set_seeds(&mut self, seeds: &[SocketAddrV4]) {
        let earlier = std::mem::take(&mut self.seeds);
        self.unasked_seeds.truncate(self.settings.max_seeds);
        for seed in seeds.iter().chain(&earlier) {
            if self.seeds.len() < self.settings.max_seeds
                && *seed != self.own_descriptor.addr
                && !self.seeds.contains(seed)
            {
                if !earlier.contains(seed) {
                    self.unasked_seeds.push(*seed);
                }
                self.seeds.push(*seed);
            }
        }
    }

    /// All processes known here, the youngest word first.
    pub fn known_processes(&self) -> Vec<&PeerDescriptor> {
        let kept = self.controllers.iter();
        let others =
            self.view.iter().filter(|entry| self.controllers.iter().all(|kept| kept.addr != entry.addr));
        let mut all: Vec<&PeerDescriptor> = kept.chain(others).collect();
        all.sort_by_key(|entry| (entry.age_ms, entry.addr));
        all
    }

    /// Processes of a role, in a zone or in all, the youngest word first.
    pub fn peers(&self, role: Role, zone: Option<&str>) -> Vec<&PeerDescriptor> {
        let mut peers = self.known_processes();
        peers.retain(|entry| entry.role == role && zone.is_none_or(|zone| entry.zone == zone));
        peers
    }

    /// Addresses where a controller may answer, the likeliest first: known ones, then every seed ever told.
    pub fn controller_candidates(&self) -> Vec<SocketAddrV4> {
        let mut places: Vec<SocketAddrV4> =
            self.peers(Role::Controller, None).into_iter().map(|entry| entry.addr).collect();
        places.extend(
            self.seeds.iter().filter(|seed| self.controllers.iter().all(|entry| entry.addr != **seed)),
        );
        places
    }

    /// Another process shuffles with this one: the answer to send back.
    pub fn handle_shuffle(
        &mut self,
        now: Nanos,
        from: SocketAddrV4,
        sample: &[PeerDescriptor],
    ) -> Vec<PeerDescriptor> {
        self.advance_clock(now);
        let answer = self.draw_sample(from);
        let sent: Vec<SocketAddrV4> = answer.iter().map(|entry| entry.addr).collect();
        self.merge(sample, &sent);
        answer
    }

    /// The answer to a shuffle came.
    pub fn handle_shuffle_reply(&mut self, now: Nanos, from: SocketAddrV4, sample: &[PeerDescriptor]) {
        self.advance_clock(now);
        let Some(asked) = self.pending_shuffle.take_if(|asked| asked.to == from) else { return };
        // Who answers was just given up: it is taken back only where there is room, else the known would get more so.
        let room = self.view.len() < self.settings.view_size / 2;
        let others: Vec<PeerDescriptor> =
            sample.iter().filter(|entry| room || entry.addr != from).cloned().collect();
        self.merge(&others, &asked.sent);
        sample.iter().filter(|entry| entry.addr == from).for_each(|entry| self.keep_controller(entry));
    }

    /// A process could not be reached, for whatever call.
    pub fn record_failure(&mut self, addr: SocketAddrV4) {
        let aged = self.periods_as_age_ms(FAILURE_AGING_PERIODS);
        self.view.retain(|entry| entry.addr != addr);
        for entry in self.controllers.iter_mut().filter(|entry| entry.addr == addr) {
            entry.age_ms = entry.age_ms.saturating_add(aged);
        }
        self.drop_expired();
    }

    /// A process answered a call of another kind: it lives.
    pub fn record_contact(&mut self, addr: SocketAddrV4) {
        for entry in self.controllers.iter_mut().filter(|entry| entry.addr == addr) {
            entry.age_ms = 0;
        }
    }

    /// The next thing to do, until there is none.
    pub fn poll_action(&mut self, now: Nanos) -> Option<Action> {
        self.advance_clock(now);
        let spread = self.period.times(0.9 + 0.2 * self.rng.random::<f64>());
        let Some(due) = self.next_shuffle_at else {
            // Those that start at once don't all ask at once.
            self.next_shuffle_at = Some(now + self.period.times(0.5 * self.rng.random::<f64>()));
            return None;
        };
        if now < due {
            return None;
        }
        self.next_shuffle_at = Some(now + spread);
        if let Some(asked) = self.pending_shuffle.take() {
            self.record_failure(asked.to);
        }
        self.drop_expired();
        let to = self.choose_partner()?;
        self.view.retain(|entry| entry.addr != to);
        let sample = self.draw_sample(to);
        let sent = sample.iter().map(|entry| entry.addr).collect();
        self.pending_shuffle = Some(PendingShuffle { to, sent });
        Some(Action::Shuffle { to, sample })
    }

    /// When to ask again though nothing came.
    pub fn wakes_at(&self) -> Option<Nanos> {
        self.next_shuffle_at
    }

    /// So many periods in the milliseconds of ages.
    fn periods_as_age_ms(&self, count: u32) -> u32 {
        (self.period.0 / 1_000_000).saturating_mul(count as u64).clamp(1, u32::MAX as u64) as u32
    }

    fn advance_clock(&mut self, now: Nanos) {
        let before = *self.now.get_or_insert(now);
        let millis = (now - before).0 / 1_000_000;
        // What is below a millisecond counts with the next call.
        self.now = Some(before + Nanos(millis * 1_000_000));
        let aged =
            millis.min((self.period.times(MAX_GAP_PERIODS).0 / 1_000_000).max(1)).min(u32::MAX as u64) as u32;
        for entry in self.view.iter_mut().chain(&mut self.controllers) {
            entry.age_ms = entry.age_ms.saturating_add(aged);
        }
    }

    fn choose_partner(&mut self) -> Option<SocketAddrV4> {
        if let Some(seed) = self.unasked_seeds.pop() {
            return Some(seed);
        }
        let lonely = self.view.is_empty() && self.controllers.is_empty();
        if lonely || self.rng.random_bool(SEED_PROBABILITY) {
            let mut places = self.seeds.clone();
            places.extend(self.controllers.iter().map(|entry| entry.addr));
            if !places.is_empty() {
                return Some(places[self.rng.random_range(0..places.len())]);
            }
        }
        let own_zone = self.rng.random_bool(OWN_ZONE_PROBABILITY);
        let here = |entry: &&PeerDescriptor| !own_zone || entry.zone == self.own_descriptor.zone;
        let oldest = self.view.iter().filter(here).max_by_key(|entry| entry.age_ms);
        let oldest = oldest.or_else(|| self.view.iter().max_by_key(|entry| entry.age_ms));
        oldest.or(self.controllers.first()).map(|entry| entry.addr)
    }

    /// This process, a few of the view and a few controllers.
    fn draw_sample(&mut self, to: SocketAddrV4) -> Vec<PeerDescriptor> {
        let mut sample = vec![self.own_descriptor.clone()];
        let mut others: Vec<PeerDescriptor> =
            self.view.iter().filter(|entry| entry.addr != to).cloned().collect();
        others.shuffle(&mut self.rng);
        others.truncate(self.settings.sample_size);
        sample.extend(others);
        let mut controllers: Vec<PeerDescriptor> = self
            .controllers
            .iter()
            .filter(|entry| entry.addr != to && entry.age_ms < self.periods_as_age_ms(EXPIRY_PERIODS) / 2)
            .cloned()
            .collect();
        controllers.shuffle(&mut self.rng);
        for entry in controllers.into_iter().take(CONTROLLERS_PER_SHUFFLE) {
            if sample.iter().all(|told| told.addr != entry.addr) {
                sample.push(entry);
            }
        }
        sample
    }

    fn merge(&mut self, told: &[PeerDescriptor], sent: &[SocketAddrV4]) {
        // What was sent is given up first for what came.
        let mut sent: Vec<SocketAddrV4> = sent.to_vec();
        for entry in told.iter().take(1 + self.settings.sample_size + CONTROLLERS_PER_SHUFFLE) {
            if entry.addr == self.own_descriptor.addr
                || entry.zone.len() > MAX_ZONE_NAME_BYTES
                || entry.age_ms >= self.periods_as_age_ms(EXPIRY_PERIODS)
            {
                continue;
            }
            self.keep_controller(entry);
            if let Some(known) = self.view.iter_mut().find(|known| known.addr == entry.addr) {
                known.merge_younger(entry);
            } else if self.view.len() < self.settings.view_size {
                self.view.push(entry.clone());
            } else if let Some(at) =
                self.sent_entry_to_replace(&mut sent).or_else(|| self.crowded_zone_entry_to_replace(entry))
            {
                self.view[at] = entry.clone();
            }
        }
    }

    fn sent_entry_to_replace(&self, sent: &mut Vec<SocketAddrV4>) -> Option<usize> {
        while let Some(addr) = sent.pop() {
            if let Some(at) = self.view.iter().position(|entry| entry.addr == addr) {
                return Some(at);
            }
        }
        None
    }

    /// The oldest entry of the zone with the most, if the new one is of a zone with too few.
    fn crowded_zone_entry_to_replace(&self, entry: &PeerDescriptor) -> Option<usize> {
        let of = |zone: &str| self.view.iter().filter(|known| known.zone == zone).count();
        let most = self.view.iter().map(|known| of(&known.zone)).max().unwrap_or(0);
        if of(&entry.zone) >= MIN_ENTRIES_PER_ZONE || most <= MIN_ENTRIES_PER_ZONE {
            return None;
        }
        let crowd = self.view.iter().enumerate().filter(|(_, known)| of(&known.zone) == most);
        crowd.max_by_key(|(_, known)| known.age_ms).map(|(at, _)| at)
    }

    fn keep_controller(&mut self, entry: &PeerDescriptor) {
        if entry.role != Role::Controller
            || entry.addr == self.own_descriptor.addr
            || entry.zone.len() > MAX_ZONE_NAME_BYTES
        {
            return;
        }
        if let Some(known) = self.controllers.iter_mut().find(|known| known.addr == entry.addr) {
            known.merge_younger(entry);
            return;
        }
        self.controllers.push(entry.clone());
        if self.controllers.len() > self.settings.max_controllers {
            // The oldest goes, but the last of a zone stays before others.
            let of = |zone: &str| self.controllers.iter().filter(|known| known.zone == zone).count();
            let spare = self.controllers.iter().enumerate();
            let old = self.periods_as_age_ms(EXPIRY_PERIODS);
            let worst =
                spare.max_by_key(|(_, known)| (known.age_ms >= old / 2 || of(&known.zone) > 1, known.age_ms));
            if let Some(at) = worst.map(|(at, _)| at) {
                self.controllers.swap_remove(at);
            }
        }
    }

    fn drop_expired(&mut self) {
        let old = self.periods_as_age_ms(EXPIRY_PERIODS);
        self.view.retain(|entry| entry.age_ms < old);
        // With none younger left, an old word is better than none.
        if self.controllers.iter().any(|entry| entry.age_ms < old) {
            self.controllers.retain(|entry| entry.age_ms < old);
        }
    }
}
