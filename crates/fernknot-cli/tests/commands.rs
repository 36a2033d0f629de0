//! Exit codes and messages of the command line.

mod common;

use common::{fernknot, text};
use std::io::Write;
use tempfile::NamedTempFile;
use test_case::test_case;

fn temp_file(content: &str) -> NamedTempFile {
    let mut file = NamedTempFile::new().unwrap();
    file.write_all(content.as_bytes()).unwrap();
    file
}

const VALID_CONFIG: &str = r#"{"epoch":3,"routes":[{"name":"r","authority":"a.example","path_prefix":"/p/","backend":"s",
    "traffic_class":"idempotent","deadline_ms":500,"tries":2}],"backends":[{"name":"s","max_conns":9}]}"#;

#[test_case(&["--help"], 0, "usage: fernknot"; "help")]
#[test_case(&["--version"], 0, "fernknot 0"; "version")]
#[test_case(&[], 2, "no command"; "no command")]
#[test_case(&["chek"], 2, "chek: is no command"; "unknown command")]
#[test_case(&["check", "--deep", "x"], 2, "--deep"; "unknown option")]
#[test_case(&["check", "/nowhere/at/all"], 2, "/nowhere/at/all: "; "missing file")]
#[test_case(&["config", "read", "127.0.0.1"], 2, "127.0.0.1: is not an IPv4 address"; "address without port")]
#[test_case(&["config", "replace", "127.0.0.1:1", "x"], 2, "--base is missing"; "missing base")]
#[test_case(&["show", "wells", "127.0.0.1:1"], 2, "wells: is none of nodes"; "unknown topic")]
#[test_case(&["show", "nodes", "127.0.0.1:1"], 1, "connect to 127.0.0.1:1: "; "show nodes of an unreachable process")]
#[test_case(&["views", "force", "127.0.0.1:1", "--yes-the-others-are-lost"], 2, "--lost is missing"; "forced view without lost members")]
#[test_case(&["views", "force", "127.0.0.1:1", "--lost", "127.0.0.1:2"], 2, "--yes-the-others-are-lost is missing"; "forced view without confirmation")]
#[test_case(&["views", "force", "127.0.0.1:1,127.0.0.1:3", "--lost", "127.0.0.1:2"], 2, "wanted: views force"; "forced view at two controllers")]
#[test_case(&["views", "force", "127.0.0.1:1", "--lost", "127.0.0.1:2", "--yes-the-others-are-lost"], 1, "connect to 127.0.0.1:1: "; "forced view at an unreachable controller")]
#[test_case(&["plan-capacity", "--nodes", "many"], 2, "--nodes: many"; "value that is not a number")]
#[test_case(&["demo", "--seconds", "-1"], 2, "seconds"; "negative duration")]
#[test_case(&["show", "relays", "127.0.0.1:1"], 1, "connect to 127.0.0.1:1: "; "show relays of an unreachable process")]
#[test_case(&["show", "homes", "127.0.0.1:1"], 1, "connect to 127.0.0.1:1: "; "the earlier name of relays")]
#[test_case(&["show", "duties", "127.0.0.1:1"], 1, "connect to 127.0.0.1:1: "; "the earlier name of ownership")]
#[test_case(&["plan-capacity", "--controllers", "5"], 0, "controller, each of 5"; "number of controllers")]
#[test_case(&["plan-capacity", "--registrars", "5"], 0, "controller, each of 5"; "number of controllers by its earlier name")]
fn given_arguments_when_the_command_runs_then_it_exits_with_the_expected_code_and_message(
    arguments: &[&str],
    code: i32,
    message: &str,
) {
    let out = fernknot(arguments);
    let output = text(&out.stdout) + &text(&out.stderr);
    assert_eq!(out.status.code(), Some(code), "{output}");
    assert!(output.contains(message), "{output}");
    // Results go to standard output, errors only to standard error.
    assert_eq!(out.stdout.is_empty(), code != 0);
}

#[test]
fn given_a_valid_configuration_when_it_is_checked_then_a_summary_is_printed() {
    let file = temp_file(VALID_CONFIG);
    let out = fernknot(&["check", file.path().to_str().unwrap()]);
    assert!(out.status.success());
    assert!(text(&out.stdout).contains("sound; version 3, 1 routes, 1 services"));
}

#[test]
fn given_a_configuration_with_three_errors_when_it_is_checked_then_all_are_listed_with_their_places() {
    let with_two_errors = VALID_CONFIG.replace("[{\"name\":\"r\"", "[{\"name\":\"q\",\"authority\":\"a.example\",\"path_prefix\":\"/p/\",\"backend\":\"t\"},{\"name\":\"r\"");
    let file = temp_file(&with_two_errors.replace("\"max_conns\":9}", "\"max_conns\":9},{\"name\":\"s\"}"));
    let path = file.path().to_str().unwrap();
    let out = fernknot(&["check", path]);
    let output = text(&out.stderr);
    assert_eq!(out.status.code(), Some(2));
    for error in [
        "routes[0]: names the unknown service",
        "routes[1]: has the host and prefix",
        "backends[1]: has the name",
    ] {
        assert!(output.contains(&format!("{path}: {error}")), "{error} is not in {output}");
    }
    // An invalid configuration is rejected before any controller is contacted.
    let out = fernknot(&["config", "replace", "127.0.0.1:1", path, "--base", "0"]);
    assert_eq!((out.status.code(), text(&out.stderr)), (Some(2), output));
}

#[test]
fn given_settings_with_errors_when_they_are_checked_then_all_are_listed() {
    let file =
        temp_file(r#"{"node_name":"n","ip":"10.0.0.300","zone":"z","serves":["edge"],"bind_addrs":{}}"#);
    let out = fernknot(&["check", "--settings", file.path().to_str().unwrap()]);
    let output = text(&out.stderr);
    assert_eq!(out.status.code(), Some(2));
    for error in ["ip: is not an IPv4 address", "bind_addrs.front_addr: is missing", "port_range: is missing"]
    {
        assert!(output.contains(error), "{error} is not in {output}");
    }
}
