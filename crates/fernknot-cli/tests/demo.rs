//! `fernknot demo` starts a system that serves queries.

mod common;

use common::{fernknot, text};
use std::path::Path;
use std::process::Command;

/// Builds the controller and gateway programs if they are missing in the directory of the command line.
fn build_missing_programs() {
    let profile_directory = Path::new(env!("CARGO_BIN_EXE_fernknot")).parent().unwrap();
    let names = ["fernknot-controller", "fernknot-gateway"];
    if names.iter().all(|name| profile_directory.join(name).is_file()) {
        return;
    }
    let profile_name = profile_directory.file_name().unwrap().to_str().unwrap();
    let mut build = Command::new(env!("CARGO"));
    build.args(["build", "--profile", if profile_name == "debug" { "dev" } else { profile_name }]);
    names.iter().for_each(|name| _ = build.args(["-p", name]));
    build.env("CARGO_TARGET_DIR", profile_directory.parent().unwrap());
    assert!(build.status().unwrap().success(), "the programs do not build");
}

#[test]
fn given_no_running_system_when_the_demo_runs_then_it_serves_queries_without_violations() {
    build_missing_programs();
    let out = fernknot(&["demo", "--gateways", "1", "--seconds", "1"]);
    let output = text(&out.stdout) + &text(&out.stderr);
    assert_eq!(out.status.code(), Some(0), "{output}");
    for expected in
        ["version 1 of the configuration was accepted", "the greatest 20 records", "; 0 rules broken"]
    {
        assert!(output.contains(expected), "{expected} is not in {output}");
    }
}
