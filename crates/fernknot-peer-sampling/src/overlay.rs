//! One process's part of the whole.

use crate::descriptor::{PeerDescriptor, Role};
use fernknot::interface::Nanos;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddrV4;

/// A registrar of which nobody heard for so many periods is dropped, unless no other is known.
const OLD: u32 = 40;
/// An unanswered shuffle, or a failed connection, ages a registrar by so many periods.
const AGED_BY_SILENCE: u32 = 10;
/// Registrars told with each shuffle.
const REGISTRARS_TOLD: usize = 3;
/// How often the oldest of the own zone is asked instead of the oldest of all: bytes between zones are dear.
const OWN_ZONE: f64 = 0.5;
/// How often a seed is asked, so that parts that lost each other meet again.
const ASK_SEED: f64 = 1.0 / 16.0;
/// Least entries kept for each zone, as long as the view has room for it.
const KEPT_A_ZONE: usize = 2;
/// A gap between two calls of the host counts as no more than so many periods: one that was frozen doesn't forget all.
const MOST_GAP: f64 = 2.0;
/// Longest name of a zone, in bytes.
const LONGEST_ZONE: usize = 100;

/// What a process may hold and tell.
#[derive(Clone, Copy, Debug)]
pub struct PeerSamplerSettings {
    /// Entries of the view that is shuffled.
    pub view: usize,
    /// Entries of it that are told with a shuffle.
    pub sample: usize,
    /// Registrars kept besides.
    pub registrars: usize,
    /// Addresses from the settings that are remembered, the newest first.
    pub seeds: usize,
}

impl Default for PeerSamplerSettings {
    fn default() -> Self {
        PeerSamplerSettings { view: 20, sample: 6, registrars: 12, seeds: 12 }
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
    me: PeerDescriptor,
    period: Nanos,
    bounds: PeerSamplerSettings,
    view: Vec<PeerDescriptor>,
    registrars: Vec<PeerDescriptor>,
    seeds: Vec<SocketAddrV4>,
    /// Seeds not asked yet since they were told.
    to_ask: Vec<SocketAddrV4>,
    asked: Option<PendingShuffle>,
    now: Option<Nanos>,
    chance: ChaCha8Rng,
    due: Option<Nanos>,
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
            me: PeerDescriptor { age: 0, ..me },
            period: Nanos(period.0.max(1)),
            bounds: PeerSamplerSettings { view: bounds.view.max(1), sample: bounds.sample.max(1), ..bounds },
            view: Vec::new(),
            registrars: Vec::new(),
            seeds: Vec::new(),
            to_ask: Vec::new(),
            asked: None,
            now: None,
            chance: ChaCha8Rng::seed_from_u64(seed),
            due: None,
        };
        overlay.seeds(seeds);
        overlay
    }

    /// The settings name other seeds now. Earlier ones are remembered as long as there is room.
    pub fn seeds(&mut self, seeds: &[SocketAddrV4]) {
        let earlier = std::mem::take(&mut self.seeds);
        self.to_ask.truncate(self.bounds.seeds);
        for seed in seeds.iter().chain(&earlier) {
            if self.seeds.len() < self.bounds.seeds && *seed != self.me.addr && !self.seeds.contains(seed) {
                if !earlier.contains(seed) {
                    self.to_ask.push(*seed);
                }
                self.seeds.push(*seed);
            }
        }
    }

    /// All processes known here, the youngest word first.
    pub fn know(&self) -> Vec<&PeerDescriptor> {
        let kept = self.registrars.iter();
        let others =
            self.view.iter().filter(|entry| self.registrars.iter().all(|kept| kept.addr != entry.addr));
        let mut all: Vec<&PeerDescriptor> = kept.chain(others).collect();
        all.sort_by_key(|entry| (entry.age, entry.addr));
        all
    }

    /// Processes of a role, in a zone or in all, the youngest word first.
    pub fn peers(&self, role: Role, zone: Option<&str>) -> Vec<&PeerDescriptor> {
        let mut peers = self.know();
        peers.retain(|entry| entry.role == role && zone.is_none_or(|zone| entry.zone == zone));
        peers
    }

    /// Addresses where a registrar may answer, the likeliest first: known ones, then every seed ever told.
    pub fn where_registrars_may_be(&self) -> Vec<SocketAddrV4> {
        let mut places: Vec<SocketAddrV4> =
            self.peers(Role::Registrar, None).into_iter().map(|entry| entry.addr).collect();
        places.extend(
            self.seeds.iter().filter(|seed| self.registrars.iter().all(|entry| entry.addr != **seed)),
        );
        places
    }

    /// Another process shuffles with this one: the answer to send back.
    pub fn heard(
        &mut self,
        now: Nanos,
        from: SocketAddrV4,
        sample: &[PeerDescriptor],
    ) -> Vec<PeerDescriptor> {
        self.tick(now);
        let answer = self.sample(from);
        let sent: Vec<SocketAddrV4> = answer.iter().map(|entry| entry.addr).collect();
        self.merge(sample, &sent);
        answer
    }

    /// The answer to a shuffle came.
    pub fn answered(&mut self, now: Nanos, from: SocketAddrV4, sample: &[PeerDescriptor]) {
        self.tick(now);
        let Some(asked) = self.asked.take_if(|asked| asked.to == from) else { return };
        // Who answers was just given up: it is taken back only where there is room, else the known would get more so.
        let room = self.view.len() < self.bounds.view / 2;
        let others: Vec<PeerDescriptor> =
            sample.iter().filter(|entry| room || entry.addr != from).cloned().collect();
        self.merge(&others, &asked.sent);
        sample.iter().filter(|entry| entry.addr == from).for_each(|entry| self.keep_registrar(entry));
    }

    /// A process could not be reached, for whatever call.
    pub fn failed(&mut self, addr: SocketAddrV4) {
        let aged = self.periods(AGED_BY_SILENCE);
        self.view.retain(|entry| entry.addr != addr);
        for entry in self.registrars.iter_mut().filter(|entry| entry.addr == addr) {
            entry.age = entry.age.saturating_add(aged);
        }
        self.drop_old();
    }

    /// A process answered a call of another kind: it lives.
    pub fn lives(&mut self, addr: SocketAddrV4) {
        for entry in self.registrars.iter_mut().filter(|entry| entry.addr == addr) {
            entry.age = 0;
        }
    }

    /// The next thing to do, until there is none.
    pub fn next(&mut self, now: Nanos) -> Option<Action> {
        self.tick(now);
        let spread = self.period.times(0.9 + 0.2 * self.chance.random::<f64>());
        let Some(due) = self.due else {
            // Those that start at once don't all ask at once.
            self.due = Some(now + self.period.times(0.5 * self.chance.random::<f64>()));
            return None;
        };
        if now < due {
            return None;
        }
        self.due = Some(now + spread);
        if let Some(asked) = self.asked.take() {
            self.failed(asked.to);
        }
        self.drop_old();
        let to = self.partner()?;
        self.view.retain(|entry| entry.addr != to);
        let sample = self.sample(to);
        let sent = sample.iter().map(|entry| entry.addr).collect();
        self.asked = Some(PendingShuffle { to, sent });
        Some(Action::Shuffle { to, sample })
    }

    /// When to ask again though nothing came.
    pub fn wakes_at(&self) -> Option<Nanos> {
        self.due
    }

    /// So many periods in the milliseconds of ages.
    fn periods(&self, count: u32) -> u32 {
        (self.period.0 / 1_000_000).saturating_mul(count as u64).clamp(1, u32::MAX as u64) as u32
    }

    fn tick(&mut self, now: Nanos) {
        let before = *self.now.get_or_insert(now);
        let millis = (now - before).0 / 1_000_000;
        // What is below a millisecond counts with the next call.
        self.now = Some(before + Nanos(millis * 1_000_000));
        let aged = millis.min((self.period.times(MOST_GAP).0 / 1_000_000).max(1)).min(u32::MAX as u64) as u32;
        for entry in self.view.iter_mut().chain(&mut self.registrars) {
            entry.age = entry.age.saturating_add(aged);
        }
    }

    fn partner(&mut self) -> Option<SocketAddrV4> {
        if let Some(seed) = self.to_ask.pop() {
            return Some(seed);
        }
        let lonely = self.view.is_empty() && self.registrars.is_empty();
        if lonely || self.chance.random_bool(ASK_SEED) {
            let mut places = self.seeds.clone();
            places.extend(self.registrars.iter().map(|entry| entry.addr));
            if !places.is_empty() {
                return Some(places[self.chance.random_range(0..places.len())]);
            }
        }
        let own_zone = self.chance.random_bool(OWN_ZONE);
        let here = |entry: &&PeerDescriptor| !own_zone || entry.zone == self.me.zone;
        let oldest = self.view.iter().filter(here).max_by_key(|entry| entry.age);
        let oldest = oldest.or_else(|| self.view.iter().max_by_key(|entry| entry.age));
        oldest.or(self.registrars.first()).map(|entry| entry.addr)
    }

    /// This process, a few of the view and a few registrars.
    fn sample(&mut self, to: SocketAddrV4) -> Vec<PeerDescriptor> {
        let mut sample = vec![self.me.clone()];
        let mut others: Vec<PeerDescriptor> =
            self.view.iter().filter(|entry| entry.addr != to).cloned().collect();
        others.shuffle(&mut self.chance);
        others.truncate(self.bounds.sample);
        sample.extend(others);
        let mut registrars: Vec<PeerDescriptor> = self
            .registrars
            .iter()
            .filter(|entry| entry.addr != to && entry.age < self.periods(OLD) / 2)
            .cloned()
            .collect();
        registrars.shuffle(&mut self.chance);
        for entry in registrars.into_iter().take(REGISTRARS_TOLD) {
            if sample.iter().all(|told| told.addr != entry.addr) {
                sample.push(entry);
            }
        }
        sample
    }

    fn merge(&mut self, told: &[PeerDescriptor], sent: &[SocketAddrV4]) {
        // What was sent is given up first for what came.
        let mut sent: Vec<SocketAddrV4> = sent.to_vec();
        for entry in told.iter().take(1 + self.bounds.sample + REGISTRARS_TOLD) {
            if entry.addr == self.me.addr || entry.zone.len() > LONGEST_ZONE || entry.age >= self.periods(OLD)
            {
                continue;
            }
            self.keep_registrar(entry);
            if let Some(known) = self.view.iter_mut().find(|known| known.addr == entry.addr) {
                known.renew(entry);
            } else if self.view.len() < self.bounds.view {
                self.view.push(entry.clone());
            } else if let Some(at) = self.place_of_sent(&mut sent).or_else(|| self.place_of_crowd(entry)) {
                self.view[at] = entry.clone();
            }
        }
    }

    fn place_of_sent(&self, sent: &mut Vec<SocketAddrV4>) -> Option<usize> {
        while let Some(addr) = sent.pop() {
            if let Some(at) = self.view.iter().position(|entry| entry.addr == addr) {
                return Some(at);
            }
        }
        None
    }

    /// The oldest entry of the zone with the most, if the new one is of a zone with too few.
    fn place_of_crowd(&self, entry: &PeerDescriptor) -> Option<usize> {
        let of = |zone: &str| self.view.iter().filter(|known| known.zone == zone).count();
        let most = self.view.iter().map(|known| of(&known.zone)).max().unwrap_or(0);
        if of(&entry.zone) >= KEPT_A_ZONE || most <= KEPT_A_ZONE {
            return None;
        }
        let crowd = self.view.iter().enumerate().filter(|(_, known)| of(&known.zone) == most);
        crowd.max_by_key(|(_, known)| known.age).map(|(at, _)| at)
    }

    fn keep_registrar(&mut self, entry: &PeerDescriptor) {
        if entry.role != Role::Registrar || entry.addr == self.me.addr || entry.zone.len() > LONGEST_ZONE {
            return;
        }
        if let Some(known) = self.registrars.iter_mut().find(|known| known.addr == entry.addr) {
            known.renew(entry);
            return;
        }
        self.registrars.push(entry.clone());
        if self.registrars.len() > self.bounds.registrars {
            // The oldest goes, but the last of a zone stays before others.
            let of = |zone: &str| self.registrars.iter().filter(|known| known.zone == zone).count();
            let spare = self.registrars.iter().enumerate();
            let old = self.periods(OLD);
            let worst =
                spare.max_by_key(|(_, known)| (known.age >= old / 2 || of(&known.zone) > 1, known.age));
            if let Some(at) = worst.map(|(at, _)| at) {
                self.registrars.swap_remove(at);
            }
        }
    }

    fn drop_old(&mut self) {
        let old = self.periods(OLD);
        self.view.retain(|entry| entry.age < old);
        // With none younger left, an old word is better than none.
        if self.registrars.iter().any(|entry| entry.age < old) {
            self.registrars.retain(|entry| entry.age < old);
        }
    }
}
