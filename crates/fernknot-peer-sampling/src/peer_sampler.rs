//! State machine of one process: the processes it knows, and the peer of its next shuffle.

use crate::known_controllers::KnownControllers;
use crate::partial_view::PartialView;
use crate::peer_descriptor::{PeerDescriptor, Role};
use crate::seeds::Seeds;
use fernknot::interface::Nanos;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddrV4;

const NANOS_PER_MILLISECOND: u64 = 1_000_000;
/// Age at which an entry expires, in periods.
const EXPIRY_PERIODS: u32 = 40;
/// Periods added to a controller's age after a shuffle without a reply or a failed connection.
const FAILURE_AGING_PERIODS: u32 = 10;
/// Maximum number of controllers sent with each shuffle.
const CONTROLLERS_PER_SHUFFLE: usize = 3;
/// Probability that the peer is the oldest entry of this process's zone instead of all zones; reduces the expensive
/// traffic between zones.
const OWN_ZONE_PROBABILITY: f64 = 0.5;
/// Probability that the peer is a seed or a controller, so that separated groups of processes find each other again.
const SEED_PROBABILITY: f64 = 1.0 / 16.0;
/// Maximum number of periods by which one call ages the entries, so that they do not all expire after a stall of this
/// process.
const MAX_GAP_PERIODS: f64 = 2.0;
/// Maximum delay of the first shuffle, as a share of a period. The delay is random, so that processes that start at the
/// same time do not shuffle at the same time.
const MAX_FIRST_DELAY_PERIODS: f64 = 0.5;
/// Minimum time between two shuffles, as a share of a period.
const MIN_INTERVAL_PERIODS: f64 = 0.9;
/// Maximum random addition to the time between two shuffles, as a share of a period.
const INTERVAL_JITTER_PERIODS: f64 = 0.2;
/// Maximum length of a zone's name, in bytes; descriptors with longer names are ignored.
const MAX_ZONE_NAME_BYTES: usize = 100;

/// Limits on the entries that a process remembers and sends.
#[derive(Clone, Copy, Debug)]
pub struct PeerSamplerSettings {
    /// Maximum number of entries in the partial view.
    pub view_size: usize,
    /// Maximum number of entries of the view that are sent with a shuffle.
    pub sample_size: usize,
    /// Maximum number of controllers kept in addition to the view.
    pub max_controllers: usize,
    /// Maximum number of seeds; the newest are kept.
    pub max_seeds: usize,
}

impl Default for PeerSamplerSettings {
    fn default() -> Self {
        PeerSamplerSettings { view_size: 20, sample_size: 6, max_controllers: 12, max_seeds: 12 }
    }
}

/// Action that the host has to execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a sample to a peer, and pass its reply to [`PeerSampler::handle_shuffle_reply`].
    Shuffle {
        /// Address of the peer.
        to: SocketAddrV4,
        /// Descriptors to send: this process's own, then random ones of the view and of the known controllers.
        sample: Vec<PeerDescriptor>,
    },
}

/// Shuffle that is waiting for its reply.
struct PendingShuffle {
    to: SocketAddrV4,
    sent: Vec<SocketAddrV4>,
}

/// Other processes known to one process.
///
/// The host passes in shuffles, replies and the results of other calls to known addresses, and polls [`Action`]s until
/// there are none. Descriptors age with the time of the calls.
pub struct PeerSampler {
    own_descriptor: PeerDescriptor,
    period: Nanos,
    sample_size: usize,
    view: PartialView,
    controllers: KnownControllers,
    seeds: Seeds,
    pending_shuffle: Option<PendingShuffle>,
    now: Option<Nanos>,
    rng: ChaCha8Rng,
    next_shuffle_at: Option<Nanos>,
}

impl PeerSampler {
    /// Creates a sampler that knows only its seeds. The first shuffle is due within half a period of the first
    /// [`Self::poll_action`].
    ///
    /// `period` is the time between two shuffles; `seed` makes this process's random choices repeatable.
    pub fn new(
        own_descriptor: PeerDescriptor,
        seeds: &[SocketAddrV4],
        period: Nanos,
        settings: PeerSamplerSettings,
        seed: u64,
    ) -> PeerSampler {
        let period = Nanos(period.0.max(1));
        let expiry_age_ms = periods_as_age_ms(period, EXPIRY_PERIODS);
        let mut sampler = PeerSampler {
            seeds: Seeds::new(settings.max_seeds, own_descriptor.addr),
            own_descriptor: PeerDescriptor { age_ms: 0, ..own_descriptor },
            period,
            sample_size: settings.sample_size.max(1),
            view: PartialView::new(settings.view_size.max(1)),
            controllers: KnownControllers::new(settings.max_controllers, expiry_age_ms),
            pending_shuffle: None,
            now: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
            next_shuffle_at: None,
        };
        sampler.set_seeds(seeds);
        sampler
    }

    /// Adds the seeds of new settings. Earlier ones are kept as long as there is room.
    pub fn set_seeds(&mut self, seeds: &[SocketAddrV4]) {
        self.seeds.set(seeds);
    }

    /// Returns all known processes, the youngest description first.
    pub fn known_processes(&self) -> Vec<&PeerDescriptor> {
        let others = self.view.iter().filter(|entry| !self.controllers.contains(entry.addr));
        let mut all: Vec<&PeerDescriptor> = self.controllers.iter().chain(others).collect();
        all.sort_by_key(|entry| (entry.age_ms, entry.addr));
        all
    }

    /// Returns the known processes of a role in a zone, or in all zones, the youngest description first.
    pub fn peers(&self, role: Role, zone: Option<&str>) -> Vec<&PeerDescriptor> {
        let mut peers = self.known_processes();
        peers.retain(|entry| entry.role == role && zone.is_none_or(|zone| entry.zone == zone));
        peers
    }

    /// Returns the addresses at which a controller may respond, the likeliest first: the known controllers, then the
    /// seeds.
    pub fn controller_candidates(&self) -> Vec<SocketAddrV4> {
        let known = self.peers(Role::Controller, None).into_iter().map(|entry| entry.addr);
        let seeds = self.seeds.addrs().iter().copied().filter(|seed| !self.controllers.contains(*seed));
        known.chain(seeds).collect()
    }

    /// Handles a shuffle from another process. Returns the sample to send back.
    #[must_use]
    pub fn handle_shuffle(
        &mut self,
        now: Nanos,
        from: SocketAddrV4,
        sample: &[PeerDescriptor],
    ) -> Vec<PeerDescriptor> {
        self.advance_clock(now);
        let reply = self.draw_sample(from);
        self.merge(sample, addrs_of(&reply));
        reply
    }

    /// Handles the reply to a shuffle; ignored unless it comes from the peer of the pending shuffle.
    pub fn handle_shuffle_reply(&mut self, now: Nanos, from: SocketAddrV4, sample: &[PeerDescriptor]) {
        self.advance_clock(now);
        let Some(pending) = self.pending_shuffle.take_if(|pending| pending.to == from) else { return };
        // The peer was removed from the view for this shuffle. It is added again only if there is room, so that
        // processes known by many do not become known by even more.
        let has_room = self.view.is_half_empty();
        let others: Vec<PeerDescriptor> =
            sample.iter().filter(|entry| has_room || entry.addr != from).cloned().collect();
        self.merge(&others, pending.sent);
        sample.iter().filter(|entry| entry.addr == from).for_each(|entry| self.merge_controller(entry));
    }

    /// Records that a process could not be reached by any kind of call.
    pub fn record_failure(&mut self, addr: SocketAddrV4) {
        self.view.remove(addr);
        self.controllers.add_age(addr, periods_as_age_ms(self.period, FAILURE_AGING_PERIODS));
        self.drop_expired();
    }

    /// Records that a process answered a call other than a shuffle.
    pub fn record_contact(&mut self, addr: SocketAddrV4) {
        self.controllers.reset_age(addr);
    }

    /// Returns the next action; the host polls until there is none.
    #[must_use]
    pub fn poll_action(&mut self, now: Nanos) -> Option<Action> {
        self.advance_clock(now);
        let interval =
            self.period.times(MIN_INTERVAL_PERIODS + INTERVAL_JITTER_PERIODS * self.rng.random::<f64>());
        let Some(due) = self.next_shuffle_at else {
            let delay = self.period.times(MAX_FIRST_DELAY_PERIODS * self.rng.random::<f64>());
            self.next_shuffle_at = Some(now + delay);
            return None;
        };
        if now < due {
            return None;
        }
        self.next_shuffle_at = Some(now + interval);
        self.begin_shuffle()
    }

    /// Time at which an action may be due without further input; `None` before the first [`Self::poll_action`].
    pub fn wakes_at(&self) -> Option<Nanos> {
        self.next_shuffle_at
    }

    fn begin_shuffle(&mut self) -> Option<Action> {
        if let Some(unanswered) = self.pending_shuffle.take() {
            self.record_failure(unanswered.to);
        }
        self.drop_expired();
        let to = self.choose_peer()?;
        self.view.remove(to);
        let sample = self.draw_sample(to);
        self.pending_shuffle = Some(PendingShuffle { to, sent: addrs_of(&sample) });
        Some(Action::Shuffle { to, sample })
    }

    /// Ages all entries by the full milliseconds since the last call, up to [`MAX_GAP_PERIODS`].
    fn advance_clock(&mut self, now: Nanos) {
        let before = *self.now.get_or_insert(now);
        let elapsed_ms = (now - before).0 / NANOS_PER_MILLISECOND;
        // The remainder below a millisecond is counted by the next call.
        self.now = Some(before + Nanos(elapsed_ms * NANOS_PER_MILLISECOND));
        let max_gap_ms = (self.period.times(MAX_GAP_PERIODS).0 / NANOS_PER_MILLISECOND).max(1);
        let age_ms = elapsed_ms.min(max_gap_ms).min(u32::MAX as u64) as u32;
        for entry in self.view.iter_mut().chain(self.controllers.iter_mut()) {
            entry.age_ms = entry.age_ms.saturating_add(age_ms);
        }
    }

    /// Chooses the next peer: a seed not contacted yet, occasionally a random seed or controller, otherwise the oldest
    /// entry of the view.
    fn choose_peer(&mut self) -> Option<SocketAddrV4> {
        if let Some(seed) = self.seeds.take_not_contacted() {
            return Some(seed);
        }
        let knows_nobody = self.view.is_empty() && self.controllers.is_empty();
        if knows_nobody || self.rng.random_bool(SEED_PROBABILITY) {
            let mut addrs = self.seeds.addrs().to_vec();
            addrs.extend(self.controllers.iter().map(|entry| entry.addr));
            if !addrs.is_empty() {
                return Some(addrs[self.rng.random_range(0..addrs.len())]);
            }
        }
        let zone = self.rng.random_bool(OWN_ZONE_PROBABILITY).then_some(self.own_descriptor.zone.as_str());
        let oldest = self.view.oldest(zone).or_else(|| self.view.oldest(None));
        oldest.or(self.controllers.iter().next()).map(|entry| entry.addr)
    }

    /// Returns a sample: this process, random entries of the view and random controllers.
    fn draw_sample(&mut self, to: SocketAddrV4) -> Vec<PeerDescriptor> {
        let mut sample = vec![self.own_descriptor.clone()];
        let mut others: Vec<PeerDescriptor> =
            self.view.iter().filter(|entry| entry.addr != to).cloned().collect();
        others.shuffle(&mut self.rng);
        sample.extend(others.into_iter().take(self.sample_size));
        let mut controllers: Vec<PeerDescriptor> =
            self.controllers.young().filter(|entry| entry.addr != to).cloned().collect();
        controllers.shuffle(&mut self.rng);
        for controller in controllers.into_iter().take(CONTROLLERS_PER_SHUFFLE) {
            if sample.iter().all(|entry| entry.addr != controller.addr) {
                sample.push(controller);
            }
        }
        sample
    }

    /// Merges a received sample into the view and the known controllers. In a full view, the entries at the addresses
    /// `sent` to the peer are replaced first.
    fn merge(&mut self, sample: &[PeerDescriptor], mut sent: Vec<SocketAddrV4>) {
        let max_entries = 1 + self.sample_size + CONTROLLERS_PER_SHUFFLE;
        let expiry_age_ms = self.expiry_age_ms();
        for entry in sample.iter().take(max_entries) {
            if self.is_acceptable(entry) && entry.age_ms < expiry_age_ms {
                self.controllers.merge(entry);
                self.view.merge(entry, &mut sent);
            }
        }
    }

    fn merge_controller(&mut self, entry: &PeerDescriptor) {
        if self.is_acceptable(entry) {
            self.controllers.merge(entry);
        }
    }

    fn is_acceptable(&self, entry: &PeerDescriptor) -> bool {
        entry.addr != self.own_descriptor.addr && entry.zone.len() <= MAX_ZONE_NAME_BYTES
    }

    fn drop_expired(&mut self) {
        self.view.drop_expired(self.expiry_age_ms());
        self.controllers.drop_expired();
    }

    fn expiry_age_ms(&self) -> u32 {
        periods_as_age_ms(self.period, EXPIRY_PERIODS)
    }
}

fn addrs_of(sample: &[PeerDescriptor]) -> Vec<SocketAddrV4> {
    sample.iter().map(|entry| entry.addr).collect()
}

/// Converts a number of periods to an age in milliseconds, at least 1.
fn periods_as_age_ms(period: Nanos, count: u32) -> u32 {
    let period_ms = period.0 / NANOS_PER_MILLISECOND;
    period_ms.saturating_mul(count as u64).clamp(1, u32::MAX as u64) as u32
}
