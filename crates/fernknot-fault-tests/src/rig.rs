//! The processes of a trial, and the playing of its schedule.

use crate::checker::{Break, History, Occurred, Verdict};
use crate::clients::Clients;
use crate::relay::{Connections, Datagrams, Stream, Way};
use crate::schedule::{Schedule, Step};
use fernknot_stand_in::{Behaviour, CONFIG, DataNode, Discovery};
use rustix::process::{Pid, Signal, kill_process, set_parent_process_death_signal};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Nothing that is awaited takes longer, on a machine however busy.
const PATIENCE: Duration = Duration::from_secs(60);
const STORES: usize = 4;

/// Trials of one process stand side by side.
static TRIALS: AtomicU32 = AtomicU32::new(0);

struct Router {
    child: Option<Child>,
    config: PathBuf,
    listen: SocketAddr,
    discovery: Discovery,
    stores: Vec<Connections>,
}

pub struct Rig {
    program: PathBuf,
    schedule: Schedule,
    routers: Vec<Router>,
    stores: Vec<DataNode>,
    public: Vec<SocketAddr>,
    datagrams: Datagrams,
    begun: Instant,
    verdicts: Arc<Mutex<Vec<Verdict>>>,
    lines: Arc<Mutex<Vec<(usize, String)>>>,
    occurred: Vec<(Duration, Occurred)>,
}

/// What a trial left behind.
pub struct Outcome {
    pub history: History,
    pub breaks: Vec<Break>,
    /// How long each wait of the schedule took.
    pub waits: Vec<(usize, Duration)>,
    /// Datagrams of membership that one router sent in a second, in the mean over those that ran to the end.
    pub datagrams_per_s: f64,
}

/// The router's program, which is built beside this one.
pub fn program() -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|error| format!("own path: {error}"))?;
    let beside = |folder: &Path| Some(folder.join("fernknot-router")).filter(|path| path.is_file());
    own.ancestors()
        .skip(1)
        .take(2)
        .find_map(beside)
        .ok_or_else(|| format!("no fernknot-router beside {}: build it first", own.display()))
}

/// Plays a schedule and judges it.
pub fn play(schedule: &Schedule) -> Result<Outcome, String> {
    let mut rig = Rig::start(schedule.clone()).map_err(|error| format!("the rig: {error}"))?;
    rig.play()
}

impl Rig {
    fn start(schedule: Schedule) -> std::io::Result<Rig> {
        let program = program().map_err(std::io::Error::other)?;
        let trial = TRIALS.fetch_add(1, Ordering::Relaxed);
        // A network of its own for each process and trial, so that no two ever ask for one port.
        let net = std::process::id() % 25_000 + 25_000 * (trial % 2);
        let ip = |host: usize| Ipv4Addr::new(127, 20 + (net / 250) as u8, (net % 250) as u8, host as u8);
        let port = |base: u16| base + (trial / 2 % 1000) as u16 * 8;
        let at = |host: usize, base: u16| SocketAddr::from((ip(host), port(base)));
        let count = schedule.routers;
        let public: Vec<SocketAddr> = (1..=count).map(|host| at(host, 20_001)).collect();
        let own: Vec<SocketAddr> = (1..=count).map(|host| at(host, 20_002)).collect();
        let all = at(254, 20_001);
        let datagrams = Datagrams::start(&public, &own, all, schedule.seed)?;
        let store = |_| DataNode::start(Behaviour::Late(Duration::from_millis(3)));
        let stores: Vec<DataNode> = (0..STORES).map(store).collect::<std::io::Result<_>>()?;
        let mut routers = Vec::new();
        for (index, own) in own.into_iter().enumerate() {
            let discovery = Discovery::start("127.0.0.1:0")?;
            let relays: Vec<Connections> = stores
                .iter()
                .map(|store| Connections::start(store.address))
                .collect::<std::io::Result<_>>()?;
            for (number, relay) in relays.iter().enumerate() {
                discovery.put(&format!("s-{number}"), relay.address, number as u32 % 2, "up");
            }
            let config = std::env::temp_dir().join(format!("fernknot-trial-{net}-{trial}-{index}.json"));
            std::fs::write(&config, configuration(&schedule, index, &public, own, all).to_string())?;
            let listen = at(index + 1, 20_003);
            routers.push(Router { child: None, config, listen, discovery, stores: relays });
        }
        let mut rig = Rig {
            program,
            schedule,
            routers,
            stores,
            public,
            datagrams,
            begun: Instant::now(),
            verdicts: Arc::default(),
            lines: Arc::default(),
            occurred: Vec::new(),
        };
        for index in 0..count {
            rig.spawn(index)?;
        }
        Ok(rig)
    }

    fn spawn(&mut self, index: usize) -> std::io::Result<()> {
        let router = &mut self.routers[index];
        let mut command = Command::new(&self.program);
        command
            .env("ROUTER_CONFIG", &router.config)
            .env("ROUTER_LISTEN", router.listen.to_string())
            .env("ROUTER_DISCOVERY", router.discovery.address.to_string())
            .stdin(Stdio::null())
            .stderr(Stdio::piped());
        // SAFETY: between fork and exec only this one call to the system is made, which takes no lock. It ends
        // the router when the rig is killed itself.
        unsafe {
            command.pre_exec(|| Ok(set_parent_process_death_signal(Some(Signal::KILL))?));
        }
        let mut child = command.spawn()?;
        if let Some(stderr) = child.stderr.take() {
            let (verdicts, lines, public, begun) =
                (self.verdicts.clone(), self.lines.clone(), self.public.clone(), self.begun);
            thread::spawn(move || {
                for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                    if let Some(verdict) = verdict(&line, index, begun.elapsed(), &public) {
                        verdicts.lock().expect("no panic before").push(verdict);
                    }
                    lines.lock().expect("no panic before").push((index, line));
                }
            });
        }
        router.child = Some(child);
        Ok(())
    }

    fn play(&mut self) -> Result<Outcome, String> {
        let all: Vec<usize> = (0..self.schedule.routers).collect();
        let mut breaks = Vec::new();
        let mut waits = Vec::new();
        // All hear of each other first, and views are old enough to be gone by.
        let ready = [
            Step::Await { by: all.clone(), of: all.clone(), is: vec!["alive".to_string()] },
            Step::View { by: all.clone(), key: "young".to_string(), is: false },
        ];
        for step in &ready {
            self.step(step).map_err(|why| format!("the trial never got ready: {why}"))?;
        }
        let addresses = self.routers.iter().map(|router| router.listen).collect();
        let clients = Clients::start(addresses, self.schedule.load_per_s, self.schedule.seed, self.begun);
        let sent_before = self.sent();
        let from = Instant::now();
        for (index, step) in self.schedule.steps.clone().iter().enumerate() {
            let start = Instant::now();
            if let Err(why) = self.step(step) {
                breaks.push(Break { promise: "awaited", lines: vec![format!("steps[{index}]: {why}")] });
                break;
            }
            waits.push((index, start.elapsed()));
        }
        let took = from.elapsed().as_secs_f64();
        let sent_after = self.sent();
        let rates: Vec<f64> = sent_before
            .iter()
            .zip(&sent_after)
            .filter_map(|(before, after)| Some(after.as_ref()?.checked_sub(*before.as_ref()?)? as f64 / took))
            .collect();
        let requests = clients.finish();
        let calls = self.stores.iter().map(|store| store.calls().into_iter().map(|call| call.id).collect());
        let history = History {
            routers: self.schedule.routers,
            period: Duration::from_secs_f64(self.schedule.period_ms / 1e3),
            requests,
            calls: calls.collect(),
            verdicts: std::mem::take(&mut *self.verdicts.lock().expect("no panic before")),
            occurred: std::mem::take(&mut self.occurred),
        };
        breaks.extend(crate::checker::check(&history));
        let datagrams_per_s = rates.iter().sum::<f64>() / rates.len().max(1) as f64;
        Ok(Outcome { history, breaks, waits, datagrams_per_s })
    }

    fn occur(&mut self, what: Occurred) {
        self.occurred.push((self.begun.elapsed(), what));
    }

    fn signal(&self, index: usize, signal: Signal) -> Result<(), String> {
        let child = self.routers[index].child.as_ref().ok_or(format!("router {index} does not run"))?;
        kill_process(Pid::from_child(child), signal).map_err(|error| format!("router {index}: {error}"))
    }

    fn step(&mut self, step: &Step) -> Result<(), String> {
        match step {
            Step::Kill { routers } => {
                for index in routers {
                    self.occur(Occurred::Down { router: *index });
                    self.signal(*index, Signal::KILL)?;
                }
                routers.iter().for_each(|index| self.reap(*index));
            }
            Step::Stop { routers } => {
                for index in routers {
                    self.occur(Occurred::Down { router: *index });
                    self.signal(*index, Signal::STOP)?;
                }
            }
            Step::Wake { routers } => {
                for index in routers {
                    self.signal(*index, Signal::CONT)?;
                    self.occur(Occurred::Up { router: *index });
                }
            }
            Step::Term { routers } => {
                for index in routers {
                    self.occur(Occurred::Down { router: *index });
                    self.signal(*index, Signal::TERM)?;
                }
                routers.iter().for_each(|index| self.reap(*index));
            }
            Step::Start { routers } => {
                for index in routers {
                    self.spawn(*index).map_err(|error| format!("router {index}: {error}"))?;
                }
                // Clients that come before it listens are refused, which is no fault of its own.
                let start = Instant::now();
                for index in routers {
                    let up =
                        || get(self.routers[*index].listen, "/up").is_some_and(|text| text.contains(" 200 "));
                    while !up() {
                        if start.elapsed() > PATIENCE {
                            return Err(format!("router {index} never came up"));
                        }
                        thread::sleep(Duration::from_millis(2));
                    }
                    self.occur(Occurred::Up { router: *index });
                }
            }
            Step::Cut { from, to, secret } => {
                self.datagrams.set(from, to, |way| way.cut = true);
                if !secret {
                    self.occur(Occurred::Cut { from: from.clone(), to: to.clone() });
                }
            }
            Step::Mend { from, to } => {
                self.datagrams.set(from, to, |way| *way = Way::default());
                self.occur(Occurred::Mend { from: from.clone(), to: to.clone() });
            }
            Step::Spoil { lose, repeat, delay_ms } => {
                let all: Vec<usize> = (0..self.schedule.routers).collect();
                let delay = Duration::from_secs_f64(delay_ms / 1e3);
                self.datagrams
                    .set(&all, &all, |way| *way = Way { lose: *lose, repeat: *repeat, delay, ..*way });
            }
            Step::Silence { routers } => self.streams(routers, Stream::Silent),
            Step::Reset { routers } => self.streams(routers, Stream::Resets),
            Step::Speak { routers } => self.streams(routers, Stream::Passes),
            Step::Await { by, of, is } => {
                let wanted = |view: &View, observer: usize| {
                    let holds = |of: &usize| view.states.get(of).is_some_and(|state| is.contains(state));
                    of.iter().filter(|of| **of != observer).all(holds)
                };
                self.until(by, wanted)
                    .map_err(|last| format!("{of:?} never {is:?} at all of {by:?}: {last}"))?;
            }
            Step::View { by, key, is } => {
                let wanted = |view: &View, _| view.own.get(key).is_some_and(|value| *value == is.to_string());
                self.until(by, wanted)
                    .map_err(|last| format!("{key} never {is} at all of {by:?}: {last}"))?;
            }
            Step::Last { ms } => thread::sleep(Duration::from_millis(*ms)),
            Step::Settle { periods } => {
                thread::sleep(
                    Duration::from_secs_f64(self.schedule.period_ms / 1e3).mul_f64(*periods as f64),
                );
            }
        }
        Ok(())
    }

    fn streams(&self, routers: &[usize], mode: Stream) {
        routers.iter().flat_map(|index| &self.routers[*index].stores).for_each(|relay| relay.set(mode));
    }

    /// Waits for the end of a process that was told to end.
    fn reap(&mut self, index: usize) {
        if let Some(mut child) = self.routers[index].child.take() {
            let _ = child.wait();
        }
    }

    /// Waits until all of these say what is wanted, each for itself; the last view of one that did not comes back.
    fn until(&self, by: &[usize], wanted: impl Fn(&View, usize) -> bool) -> Result<(), String> {
        let start = Instant::now();
        let mut left: Vec<usize> = by.to_vec();
        let mut last = String::new();
        while start.elapsed() < PATIENCE {
            left.retain(|index| {
                let text = get(self.routers[*index].listen, "/fleet").unwrap_or_default();
                let holds = wanted(&View::read(&text, &self.public), *index);
                if !holds {
                    last = text;
                }
                !holds
            });
            if left.is_empty() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(5));
        }
        Err(format!("router {} says {last}", left[0]))
    }

    /// Datagrams of membership that each has sent.
    fn sent(&self) -> Vec<Option<u64>> {
        let count = |router: &Router| {
            let text = get(router.listen, "/counters")?;
            text.lines().find_map(|line| line.strip_prefix("fleet_datagrams_sent ")?.parse().ok())
        };
        self.routers.iter().map(|router| router.child.as_ref().and_then(|_| count(router))).collect()
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        for router in &mut self.routers {
            if let Some(child) = &mut router.child {
                // One that has ended already is as good.
                let _ = child.kill();
                let _ = child.wait();
            }
            let _ = std::fs::remove_file(&router.config);
        }
    }
}

/// What a router says of its fleet.
struct View {
    own: BTreeMap<String, String>,
    states: BTreeMap<usize, String>,
}

impl View {
    fn read(text: &str, public: &[SocketAddr]) -> View {
        let lines = text.lines().skip_while(|line| !line.contains(" incarnation="));
        let mut view = View { own: BTreeMap::new(), states: BTreeMap::new() };
        for (index, line) in lines.enumerate() {
            let mut words = line.split(' ');
            let (Some(address), Some(state)) = (words.next(), words.next()) else { continue };
            if index == 0 {
                let pairs = words.filter_map(|word| word.split_once('='));
                view.own = pairs.map(|(key, value)| (key.to_string(), value.to_string())).collect();
            } else if let Some(of) = public.iter().position(|public| public.to_string() == address) {
                view.states.insert(of, state.to_string());
            }
        }
        view
    }
}

fn get(address: SocketAddr, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    write!(stream, "GET {path} HTTP/1.1\r\nConnection: close\r\n\r\n").ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer)
}

/// A line of a router's log that tells of another router.
fn verdict(line: &str, by: usize, at: Duration, public: &[SocketAddr]) -> Option<Verdict> {
    let rest = line.split_once(" fleet: a router ")?.1;
    let value = |key: &str| rest.split(' ').find_map(|word| word.strip_prefix(key)?.strip_prefix('='));
    let router = value("router")?;
    let of = public.iter().position(|public| public.to_string() == router)?;
    Some(Verdict { at, by, of, from: value("from")?.into(), to: value("to")?.into(), line: line.into() })
}

fn configuration(
    schedule: &Schedule,
    index: usize,
    public: &[SocketAddr],
    own: SocketAddr,
    all: SocketAddr,
) -> Value {
    let mut config: Value = serde_json::from_str(CONFIG).unwrap_or_default();
    config["name"] = json!(format!("n{index}"));
    config["seed"] =
        json!(format!("{:016x}", schedule.seed.wrapping_mul(0x9e37_79b9).wrapping_add(index as u64)));
    config["peer_listen"] = json!(own.to_string());
    config["peers"] = public.iter().map(|address| address.to_string()).collect();
    config["peers_all"] = json!(all.to_string());
    config["fleet"] = json!({"period": schedule.period_ms, "datagrams": 6400.0 / schedule.period_ms});
    let settings = &mut config["settings"];
    settings["balancers"] = json!(schedule.routers);
    settings["position"] = json!(index);
    settings["allowed"]["peers"] = json!(true);
    let buy = json!({"name": "buy", "effect": "unsafe", "onTime": 1500.0, "deadline": 3000.0,
        "lateShare": 0.0, "worth": 3.0});
    settings["classes"].as_array_mut().into_iter().for_each(|classes| classes.push(buy.clone()));
    for (key, value) in [("classFetch", 0.0), ("classNeed", 1.0), ("minShare", 1.0)] {
        let list = settings["familyInfo"][key].as_array_mut();
        list.into_iter().for_each(|list| list.push(json!(value)));
    }
    config
}
