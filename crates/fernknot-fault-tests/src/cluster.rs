//! Processes of one run: routers, stores, discovery, and the relays between them.

use crate::addresses::RunAddresses;
use crate::connection_relay::ConnectionMode;
use crate::datagram_relay::{DatagramRelay, LinkFaults};
use crate::error::FaultTestError;
use crate::history::{FaultEvent, StatusChange};
use crate::router_config::{RouterAddresses, router_config};
use crate::router_log::parse_status_change;
use crate::router_process::{RouterProcess, router_program};
use crate::router_view::{RouterView, datagrams_sent, http_get};
use crate::schedule::Schedule;
use fernknot_stand_in::{DataNode, NodeBehaviour};
use rustix::process::Signal;
use std::io::{BufRead, BufReader, Result as IoResult};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ChildStderr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Limit of each wait for routers, long enough for a busy machine.
const WAIT_LIMIT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const START_POLL_INTERVAL: Duration = Duration::from_millis(2);
const STORES: usize = 4;
/// Time that a store takes to answer a part.
const STORE_LATENCY: Duration = Duration::from_millis(3);
/// Panic message for a poisoned lock.
const LOCK_NOT_POISONED: &str = "no holder of the lock panics";

/// Processes of one run, which end when the value is dropped.
pub(crate) struct Cluster {
    program: PathBuf,
    routers: Vec<RouterProcess>,
    stores: Vec<DataNode>,
    /// Public datagram address of each router, which the list of peers names.
    public: Vec<SocketAddr>,
    datagrams: DatagramRelay,
    run_start: Instant,
    status_changes: Arc<Mutex<Vec<StatusChange>>>,
    fault_events: Vec<(Duration, FaultEvent)>,
}

impl Cluster {
    /// Starts the processes for a schedule.
    pub fn start(schedule: &Schedule) -> Result<Cluster, FaultTestError> {
        let program = router_program()?;
        let mut cluster = Cluster::prepare(schedule, program).map_err(FaultTestError::Setup)?;
        for router in 0..schedule.routers {
            cluster.spawn(router).map_err(FaultTestError::Setup)?;
        }
        Ok(cluster)
    }

    /// Starts the relays, stores and discovery, but not the processes of the routers.
    fn prepare(schedule: &Schedule, program: PathBuf) -> IoResult<Cluster> {
        let addresses = RunAddresses::new();
        let router_numbers = || 0..schedule.routers;
        let public: Vec<SocketAddr> =
            router_numbers().map(|router| addresses.public_datagram_address(router)).collect();
        let private: Vec<SocketAddr> =
            router_numbers().map(|router| addresses.private_datagram_address(router)).collect();
        let broadcast = addresses.broadcast_address();
        let datagrams = DatagramRelay::start(&public, &private, broadcast, schedule.seed)?;
        let store = |_| DataNode::start(NodeBehaviour::Delayed(STORE_LATENCY));
        let stores: Vec<DataNode> = (0..STORES).map(store).collect::<IoResult<_>>()?;
        let prepare_router = |router: usize| {
            let own = RouterAddresses { public: &public, private: private[router], broadcast };
            let config = router_config(schedule, router, &own);
            let path = std::env::temp_dir().join(format!("{}-{router}.json", addresses.file_stem()));
            RouterProcess::prepare(router, addresses.client_address(router), path, &config, &stores)
        };
        let routers: Vec<RouterProcess> = router_numbers().map(prepare_router).collect::<IoResult<_>>()?;
        Ok(Cluster {
            program,
            routers,
            stores,
            public,
            datagrams,
            run_start: Instant::now(),
            status_changes: Arc::default(),
            fault_events: Vec::new(),
        })
    }

    fn spawn(&mut self, router: usize) -> IoResult<()> {
        if let Some(log) = self.routers[router].spawn(&self.program)? {
            self.watch_log(router, log);
        }
        Ok(())
    }

    /// Starts a thread that records the status changes in the log of a router until it ends.
    fn watch_log(&self, router: usize, log: ChildStderr) {
        let (changes, public, run_start) = (self.status_changes.clone(), self.public.clone(), self.run_start);
        thread::spawn(move || {
            for line in BufReader::new(log).lines().map_while(Result::ok) {
                if let Some(change) = parse_status_change(&line, router, run_start.elapsed(), &public) {
                    changes.lock().expect(LOCK_NOT_POISONED).push(change);
                }
            }
        });
    }

    /// Returns the instant from which the times in the records of the run count.
    pub fn run_start(&self) -> Instant {
        self.run_start
    }

    /// Returns the address at which each router accepts clients.
    pub fn client_addresses(&self) -> Vec<SocketAddr> {
        self.routers.iter().map(|router| router.listen).collect()
    }

    /// Returns the ids of the parts that each store ran.
    pub fn store_calls(&self) -> Vec<Vec<String>> {
        let ids = |store: &DataNode| store.calls().into_iter().map(|call| call.id).collect();
        self.stores.iter().map(ids).collect()
    }

    /// Removes and returns the status changes logged so far.
    pub fn take_status_changes(&mut self) -> Vec<StatusChange> {
        std::mem::take(&mut *self.status_changes.lock().expect(LOCK_NOT_POISONED))
    }

    /// Removes and returns the faults injected so far.
    pub fn take_fault_events(&mut self) -> Vec<(Duration, FaultEvent)> {
        std::mem::take(&mut self.fault_events)
    }

    /// Returns the number of membership datagrams that each router has sent; `None` if it does not run or answer.
    pub fn datagrams_sent(&self) -> Vec<Option<u64>> {
        let count = |router: &RouterProcess| {
            if router.is_running() { datagrams_sent(router.listen) } else { None }
        };
        self.routers.iter().map(count).collect()
    }

    // ---- Faults ----------------------------------------------------------------------------

    fn record(&mut self, event: FaultEvent) {
        self.fault_events.push((self.run_start.elapsed(), event));
    }

    /// Sends routers a signal that ends or suspends them. `Down` is recorded before the signal, so that no effect of
    /// the fault precedes its record.
    pub fn record_down_and_signal(
        &mut self,
        routers: &[usize],
        signal: Signal,
    ) -> Result<(), FaultTestError> {
        for router in routers {
            self.record(FaultEvent::Down { router: *router });
            self.routers[*router].signal(signal)?;
        }
        Ok(())
    }

    /// Sends routers a signal that ends them, and waits until they have exited.
    pub fn signal_and_reap(&mut self, routers: &[usize], signal: Signal) -> Result<(), FaultTestError> {
        self.record_down_and_signal(routers, signal)?;
        for router in routers {
            self.routers[*router].reap();
        }
        Ok(())
    }

    /// Resumes suspended routers. `Up` is recorded after the signal, so that the router counts as down until then.
    pub fn resume(&mut self, routers: &[usize]) -> Result<(), FaultTestError> {
        for router in routers {
            self.routers[*router].signal(Signal::CONT)?;
            self.record(FaultEvent::Up { router: *router });
        }
        Ok(())
    }

    /// Starts routers and waits until each answers `GET /up`; only then `Up` is recorded, because connections of
    /// clients are refused until then.
    pub fn restart(&mut self, routers: &[usize]) -> Result<(), FaultTestError> {
        for router in routers {
            self.spawn(*router).map_err(|source| FaultTestError::Spawn { router: *router, source })?;
        }
        let start = Instant::now();
        for router in routers {
            while !self.is_up(*router) {
                if start.elapsed() > WAIT_LIMIT {
                    return Err(FaultTestError::StartTimeout { router: *router, limit: WAIT_LIMIT });
                }
                thread::sleep(START_POLL_INTERVAL);
            }
            self.record(FaultEvent::Up { router: *router });
        }
        Ok(())
    }

    fn is_up(&self, router: usize) -> bool {
        http_get(self.routers[router].listen, "/up").is_some_and(|answer| answer.contains(" 200 "))
    }

    /// Drops all datagrams from routers in `from` to routers in `to`; a `hidden` fault is not recorded for the checker.
    pub fn partition(&mut self, from: &[usize], to: &[usize], hidden: bool) {
        self.datagrams.change_links(from, to, |link| link.blocked = true);
        if !hidden {
            self.record(FaultEvent::Partitioned { from: from.to_vec(), to: to.to_vec() });
        }
    }

    /// Ends all faults of the datagrams from routers in `from` to routers in `to`.
    pub fn heal(&mut self, from: &[usize], to: &[usize]) {
        self.datagrams.change_links(from, to, |link| *link = LinkFaults::default());
        self.record(FaultEvent::Healed { from: from.to_vec(), to: to.to_vec() });
    }

    /// Sets the loss, duplication and delay of the datagrams between all routers; blocked links stay blocked.
    pub fn degrade(&mut self, loss: f64, duplication: f64, max_delay: Duration) {
        let all: Vec<usize> = (0..self.routers.len()).collect();
        self.datagrams.change_links(&all, &all, |link| {
            *link = LinkFaults { loss, duplication, max_delay, ..*link };
        });
    }

    /// Sets the mode of these routers' connections to the stores.
    pub fn set_connection_mode(&self, routers: &[usize], mode: ConnectionMode) {
        for router in routers {
            self.routers[*router].set_connection_mode(mode);
        }
    }

    // ---- Waits -----------------------------------------------------------------------------

    /// Waits until the membership view of each observer has satisfied the condition once. `description` stands for the
    /// condition in the error.
    pub fn await_views(
        &self,
        observers: &[usize],
        description: &str,
        is_satisfied: impl Fn(&RouterView, usize) -> bool,
    ) -> Result<(), FaultTestError> {
        let start = Instant::now();
        let mut waiting: Vec<usize> = observers.to_vec();
        let mut last_view = String::new();
        while start.elapsed() < WAIT_LIMIT {
            waiting.retain(|router| {
                let text = http_get(self.routers[*router].listen, "/fleet").unwrap_or_default();
                let is_done = is_satisfied(&RouterView::parse(&text, &self.public), *router);
                if !is_done {
                    last_view = text;
                }
                !is_done
            });
            if waiting.is_empty() {
                return Ok(());
            }
            thread::sleep(POLL_INTERVAL);
        }
        let condition = description.to_string();
        Err(FaultTestError::ConditionNotMet { condition, router: waiting[0], view: last_view })
    }
}
