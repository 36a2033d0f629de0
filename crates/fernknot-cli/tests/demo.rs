//! The one command by which a newcomer sees the system serve.

mod common;

use common::{fernknot, text};
use std::path::Path;
use std::process::Command;

/// Builds the programs where they are missing beside the command line.
fn programs() {
    let profile = Path::new(env!("CARGO_BIN_EXE_fernknot")).parent().unwrap();
    let names = ["fernknot-controller", "fernknot-gateway"];
    if names.iter().all(|name| profile.join(name).is_file()) {
        return;
    }
    let folder = profile.file_name().unwrap().to_str().unwrap();
    let mut build = Command::new(env!("CARGO"));
    build.args(["build", "--profile", if folder == "debug" { "dev" } else { folder }]);
    names.iter().for_each(|name| _ = build.args(["-p", name]));
    build.env("CARGO_TARGET_DIR", profile.parent().unwrap());
    assert!(build.status().unwrap().success(), "the programs do not build");
}

#[test]
fn given_a_fresh_checkout_when_the_demo_runs_then_it_serves_and_breaks_no_rule() {
    programs();
    let out = fernknot(&["demo", "--gateways", "1", "--seconds", "1"]);
    let output = text(&out.stdout) + &text(&out.stderr);
    assert_eq!(out.status.code(), Some(0), "{output}");
    for sentence in
        ["version 1 of the configuration was accepted", "the greatest 20 records", "; 0 rules broken"]
    {
        assert!(output.contains(sentence), "{sentence} is not in {output}");
    }
}
