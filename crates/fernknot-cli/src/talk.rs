//! `fernknot config`, `fernknot show` and `fernknot views`: words with a running system.

use crate::{Arguments, CliError, check, failed, parse_addrs, print_line};
use fernknot_rpc::InspectionTopic;
use fernknot_schema::RoutingConfig;
use fernknot_testbed::inner;
use fernknot_testbed::operator::{CallOutcome, Operator};
use std::ffi::OsStr;
use std::io::Write;
use std::net::SocketAddrV4;
use std::path::Path;
use std::time::Duration;

/// How long a call goes on before its end is called unclear.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
/// How long a process may take to answer a question.
const QUERY_TIMEOUT: Duration = Duration::from_secs(3);

pub fn config(words: &Arguments) -> Result<(), CliError> {
    let usage = "config read ADDR[,ADDR...], or config replace ADDR[,ADDR...] FILE --base N";
    let verb = words.positional.first().map(|word| word.to_string_lossy().into_owned());
    match verb.as_deref() {
        Some("read") => {
            let [_, at] = words.expect_positional(usage)?;
            read(parse_addrs(at)?)
        }
        Some("replace") => {
            let [_, at, file] = words.expect_positional(usage)?;
            let base = words.number("base")?;
            let base = base.ok_or_else(|| {
                CliError::Usage(
                    "--base is missing: the version that this one follows, 0 for the first".into(),
                )
            })?;
            replace(parse_addrs(at)?, Path::new(file), base)
        }
        _ => Err(CliError::Usage(format!("wanted: {usage}"))),
    }
}

fn format_responses(said: &[String]) -> String {
    said.iter().map(|said| format!("\n  {said}")).collect()
}

fn read(addrs: Vec<SocketAddrV4>) -> Result<(), CliError> {
    match (Operator { addrs, timeout: CALL_TIMEOUT }).read() {
        CallOutcome::Completed { status: 200, body, .. } => {
            let mut out = std::io::stdout().lock();
            // A reader that has gone wants no more.
            let _ = out.write_all(&body).and_then(|()| out.write_all(b"\n"));
            Ok(())
        }
        CallOutcome::Completed { status, body, controller: by } => {
            Err(failed(format!("{by} says {status}: {}", String::from_utf8_lossy(&body))))
        }
        CallOutcome::Unclear(said) => {
            Err(failed(format!("no registrar gave it:{}", format_responses(&said))))
        }
    }
}

fn replace(addrs: Vec<SocketAddrV4>, path: &Path, base: u64) -> Result<(), CliError> {
    let bytes = check::read(path)?;
    let plan = RoutingConfig::parse(&bytes).map_err(|faults| check::config_faults(path, &faults))?;
    match (Operator { addrs, timeout: CALL_TIMEOUT }).replace(&bytes, base) {
        CallOutcome::Completed { status: 200, controller: by, .. } => {
            print_line(format!("taken: version {} is in force, says {by}", plan.epoch));
            Ok(())
        }
        CallOutcome::Completed { status: 412 | 409, body, controller: by } => Err(failed(format!(
            "not taken: {by} says that another version than {base} is in place: {}",
            String::from_utf8_lossy(&body)
        ))),
        CallOutcome::Completed { status, body, controller: by } => {
            Err(failed(format!("not taken: {by} says {status}: {}", String::from_utf8_lossy(&body))))
        }
        CallOutcome::Unclear(said) => Err(failed(format!(
            "unclear: version {} may be in force or not; run the same command again, or `fernknot config read`:{}",
            plan.epoch,
            format_responses(&said)
        ))),
    }
}

pub fn show(words: &Arguments) -> Result<(), CliError> {
    let usage = "show nodes|views|homes|duties|counters ADDR";
    let [what, at] = words.expect_positional(usage)?;
    let question = match what.to_string_lossy().as_ref() {
        "nodes" => InspectionTopic::Nodes,
        "views" => InspectionTopic::Views,
        "homes" => InspectionTopic::Relays,
        "duties" => InspectionTopic::Ownership,
        "counters" => InspectionTopic::Counters,
        other => {
            return Err(CliError::Usage(format!(
                "{other}: is none of nodes, views, homes, duties, counters"
            )));
        }
    };
    for addr in parse_addrs(at)? {
        let text = inner::ask(addr, question, QUERY_TIMEOUT).map_err(failed)?;
        print_line(text.trim_end());
    }
    Ok(())
}

pub fn views(words: &Arguments) -> Result<(), CliError> {
    let usage = "views force ADDR --lost ADDR[,ADDR...] --yes-the-others-are-lost";
    let [verb, at] = words.expect_positional(usage)?;
    let (true, [at]) = (verb == "force", &parse_addrs(at)?[..]) else {
        return Err(CliError::Usage(format!("wanted: {usage}")));
    };
    let lost = words.value("lost").ok_or_else(|| {
        CliError::Usage("--lost is missing: whose disks are gone for good, as `show views` names them".into())
    })?;
    let lost = if lost == "none" { Vec::new() } else { parse_addrs(OsStr::new(lost))? };
    if !words.flag("yes-the-others-are-lost") {
        return Err(CliError::Usage(
            "--yes-the-others-are-lost is missing: what only they hold is given up, and they come back as new members"
                .into(),
        ));
    }
    match inner::force_view(*at, lost, QUERY_TIMEOUT).map_err(failed)? {
        Ok(no) => {
            print_line(format!("view {no} is forced; `fernknot show views {at}` tells when it is in force"));
            Ok(())
        }
        Err(why) => Err(failed(format!("not forced: {why}"))),
    }
}
