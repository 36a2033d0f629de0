//! Nothing that a trial started outlives it.

use rustix::process::{Pid, Signal, kill_process, test_kill_process};
use std::io::Read;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// The children of a process that are routers.
fn routers_of(parent: u32) -> Vec<i32> {
    let entries = std::fs::read_dir("/proc").unwrap().flatten();
    let pid = |entry: std::fs::DirEntry| entry.file_name().to_str()?.parse::<i32>().ok();
    let is_child = |pid: &i32| {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        let after = stat.rsplit(") ").next().unwrap_or_default().to_string();
        let of = after.split(' ').nth(1).and_then(|word| word.parse().ok());
        of == Some(parent) && stat.contains("(fernknot-router)")
    };
    entries.filter_map(pid).filter(is_child).collect()
}

/// Guards the machine that a trial runs on: the rig is killed, and can do nothing more itself.
#[test]
fn a_rig_that_is_killed_takes_its_routers_with_it() {
    let mut rig = Command::new(env!("CARGO_BIN_EXE_fernknot-fault-tests"))
        .args(["loss", "--routers", "4", "--period", "200"])
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let start = Instant::now();
    let mut routers = Vec::new();
    while routers.len() < 4 {
        if rig.try_wait().unwrap().is_some() {
            let mut words = String::new();
            rig.stderr.take().unwrap().read_to_string(&mut words).unwrap();
            panic!("the rig ended: {words}");
        }
        assert!(start.elapsed() < Duration::from_secs(30), "never four routers: {routers:?}");
        std::thread::sleep(Duration::from_millis(5));
        routers = routers_of(rig.id());
    }
    kill_process(Pid::from_child(&rig), Signal::KILL).unwrap();
    rig.wait().unwrap();
    let lives = |pid: &i32| {
        let state = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        test_kill_process(Pid::from_raw(*pid).unwrap()).is_ok() && !state.contains(") Z ")
    };
    while routers.iter().any(lives) {
        assert!(start.elapsed() < Duration::from_secs(60), "outlived the rig: {routers:?}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
