//! What users of the command line count on: exit codes, and errors by their places.

mod common;

use common::{fernknot, text};
use std::io::Write;
use tempfile::NamedTempFile;
use test_case::test_case;

fn file(content: &str) -> NamedTempFile {
    let mut file = NamedTempFile::new().unwrap();
    file.write_all(content.as_bytes()).unwrap();
    file
}

const SOUND: &str = r#"{"epoch":3,"routes":[{"name":"r","authority":"a.example","path_prefix":"/p/","backend":"s",
    "traffic_class":"idempotent","deadline_ms":500,"tries":2}],"backends":[{"name":"s","max_conns":9}]}"#;

#[test_case(&["--help"], 0, "usage: fernknot"; "help")]
#[test_case(&["--version"], 0, "fernknot 0"; "version")]
#[test_case(&[], 2, "no command"; "nothing")]
#[test_case(&["chek"], 2, "chek: is no command"; "no such command")]
#[test_case(&["check", "--deep", "x"], 2, "--deep"; "no such option")]
#[test_case(&["check", "/nowhere/at/all"], 2, "/nowhere/at/all: "; "no such file")]
#[test_case(&["config", "read", "127.0.0.1"], 2, "127.0.0.1: is not an IPv4 address"; "no port")]
#[test_case(&["config", "replace", "127.0.0.1:1", "x"], 2, "--base is missing"; "no base")]
#[test_case(&["show", "wells", "127.0.0.1:1"], 2, "wells: is none of nodes"; "no such question")]
#[test_case(&["show", "nodes", "127.0.0.1:1"], 1, "connect to 127.0.0.1:1: "; "nobody there")]
#[test_case(&["views", "force", "127.0.0.1:1", "--yes-the-others-are-lost"], 2, "--lost is missing"; "nobody lost")]
#[test_case(&["views", "force", "127.0.0.1:1", "--lost", "127.0.0.1:2"], 2, "--yes-the-others-are-lost is missing"; "no oath")]
#[test_case(&["views", "force", "127.0.0.1:1,127.0.0.1:3", "--lost", "127.0.0.1:2"], 2, "wanted: views force"; "two at once")]
#[test_case(&["views", "force", "127.0.0.1:1", "--lost", "127.0.0.1:2", "--yes-the-others-are-lost"], 1, "connect to 127.0.0.1:1: "; "nobody to force it at")]
#[test_case(&["plan-capacity", "--nodes", "many"], 2, "--nodes: many"; "no number")]
#[test_case(&["demo", "--seconds", "-1"], 2, "seconds"; "no time")]
#[test_case(&["show", "relays", "127.0.0.1:1"], 1, "connect to 127.0.0.1:1: "; "relays of nobody")]
#[test_case(&["show", "homes", "127.0.0.1:1"], 1, "connect to 127.0.0.1:1: "; "the earlier name of relays")]
#[test_case(&["show", "duties", "127.0.0.1:1"], 1, "connect to 127.0.0.1:1: "; "the earlier name of ownership")]
#[test_case(&["plan-capacity", "--controllers", "5"], 0, "controller, each of 5"; "a size")]
#[test_case(&["plan-capacity", "--registrars", "5"], 0, "controller, each of 5"; "the earlier name of a size")]
fn given_these_arguments_then_the_exit_code_and_the_message_for_the_user_are(
    arguments: &[&str],
    code: i32,
    message: &str,
) {
    let out = fernknot(arguments);
    let output = text(&out.stdout) + &text(&out.stderr);
    assert_eq!(out.status.code(), Some(code), "{output}");
    assert!(output.contains(message), "{output}");
    // What is a result goes to standard output, what is an error does not.
    assert_eq!(out.stdout.is_empty(), code != 0);
}

#[test]
fn given_a_sound_configuration_when_it_is_checked_then_it_says_so() {
    let file = file(SOUND);
    let out = fernknot(&["check", file.path().to_str().unwrap()]);
    assert!(out.status.success());
    assert!(text(&out.stdout).contains("sound; version 3, 1 routes, 1 services"));
}

#[test]
fn given_a_configuration_with_three_errors_when_it_is_checked_then_all_are_named_by_their_places() {
    let twice = SOUND.replace("[{\"name\":\"r\"", "[{\"name\":\"q\",\"authority\":\"a.example\",\"path_prefix\":\"/p/\",\"backend\":\"t\"},{\"name\":\"r\"");
    let file = file(&twice.replace("\"max_conns\":9}", "\"max_conns\":9},{\"name\":\"s\"}"));
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
    // Nothing that is not sound goes out, so no address is asked at all.
    let out = fernknot(&["config", "replace", "127.0.0.1:1", path, "--base", "0"]);
    assert_eq!((out.status.code(), text(&out.stderr)), (Some(2), output));
}

#[test]
fn given_settings_with_errors_when_they_are_checked_then_all_are_named() {
    let file = file(r#"{"node_name":"n","ip":"10.0.0.300","zone":"z","serves":["edge"],"bind_addrs":{}}"#);
    let out = fernknot(&["check", "--settings", file.path().to_str().unwrap()]);
    let output = text(&out.stderr);
    assert_eq!(out.status.code(), Some(2));
    for error in ["ip: is not an IPv4 address", "bind_addrs.front_addr: is missing", "port_range: is missing"]
    {
        assert!(output.contains(error), "{error} is not in {output}");
    }
}
