//! Router processes end with the fault tests that started them.

use rustix::process::{Pid, Signal, kill_process, test_kill_process};
use std::io::Read;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Returns the process ids of the routers that are children of a process.
fn router_pids_of(parent: u32) -> Vec<i32> {
    let entries = std::fs::read_dir("/proc").unwrap().flatten();
    let pid = |entry: std::fs::DirEntry| entry.file_name().to_str()?.parse::<i32>().ok();
    let is_child = |pid: &i32| {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        let fields_after_name = stat.rsplit(") ").next().unwrap_or_default().to_string();
        let parent_of_child = fields_after_name.split(' ').nth(1).and_then(|word| word.parse().ok());
        parent_of_child == Some(parent) && stat.contains("(fernknot-router)")
    };
    entries.filter_map(pid).filter(is_child).collect()
}

/// Router processes must not leak when the fault tests are killed and cannot stop them.
#[test]
fn routers_exit_when_the_fault_tests_are_killed() {
    let mut fault_tests = Command::new(env!("CARGO_BIN_EXE_fernknot-fault-tests"))
        .args(["loss", "--routers", "4", "--period", "200"])
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let start = Instant::now();
    let mut routers = Vec::new();
    while routers.len() < 4 {
        if fault_tests.try_wait().unwrap().is_some() {
            let mut output = String::new();
            fault_tests.stderr.take().unwrap().read_to_string(&mut output).unwrap();
            panic!("the fault tests ended: {output}");
        }
        assert!(start.elapsed() < Duration::from_secs(30), "never four routers: {routers:?}");
        std::thread::sleep(Duration::from_millis(5));
        routers = router_pids_of(fault_tests.id());
    }
    kill_process(Pid::from_child(&fault_tests), Signal::KILL).unwrap();
    fault_tests.wait().unwrap();
    let is_running = |pid: &i32| {
        let state = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        test_kill_process(Pid::from_raw(*pid).unwrap()).is_ok() && !state.contains(") Z ")
    };
    while routers.iter().any(is_running) {
        assert!(start.elapsed() < Duration::from_secs(60), "outlived the fault tests: {routers:?}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
