//! The programs of a cluster, built if they are missing.

use fernknot_testbed::cluster::{Role, find_program};
use std::process::Command;
use std::sync::Once;

/// Builds the controller and gateway programs if they are missing in the directories that the cluster searches.
pub fn build_missing_programs() {
    static BUILT: Once = Once::new();
    BUILT.call_once(|| {
        let roles = [Role::Controller, Role::Gateway];
        if roles.iter().all(|role| find_program(role.program()).is_ok()) {
            return;
        }
        let test_program = std::env::current_exe().unwrap();
        let profile_directory = test_program.ancestors().nth(2).unwrap();
        let profile_name = profile_directory.file_name().unwrap().to_str().unwrap();
        let mut build = Command::new(env!("CARGO"));
        build.args(["build", "--profile", if profile_name == "debug" { "dev" } else { profile_name }]);
        roles.iter().for_each(|role| _ = build.args(["-p", role.program()]));
        build.env("CARGO_TARGET_DIR", profile_directory.parent().unwrap());
        assert!(build.status().unwrap().success(), "the programs do not build");
    });
}
