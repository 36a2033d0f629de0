//! Runs fernknot's decisions on the bench's wire: batches in on standard input, replies out on
//! standard output. Hosts many instances, which share nothing.

mod instance;
mod wire;

use fernknot::interface::Nanos;
use instance::Instance;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io::{BufRead, Write};
use std::process::ExitCode;
use wire::*;

#[derive(Default)]
struct Drill {
    instances: BTreeMap<u64, Instance>,
    sheets: HashMap<u64, Vec<Entry>>,
}

impl Drill {
    fn batch(&mut self, line: &str) -> Result<Reply, String> {
        let batch = wire::batch(line)?;
        let now = Nanos::from_millis(batch.wall);
        let mut heard = BTreeSet::new();
        for event in &batch.events {
            for (name, raw) in event {
                heard.extend(self.event(now, name, raw)?);
            }
        }
        let mut output = Vec::new();
        for router in heard {
            if let Some(instance) = self.instances.get_mut(&router) {
                instance.pull(now, &mut output);
            }
        }
        Ok(Reply { output })
    }

    /// Tells the instance concerned, and which one that was.
    fn event(
        &mut self,
        now: Nanos,
        name: &str,
        raw: &serde_json::value::RawValue,
    ) -> Result<Option<u64>, String> {
        let router = match name {
            "directory" => {
                let directory: Directory = fields(name, raw)?;
                self.sheets.insert(directory.sheet, directory.nodes_list);
                return Ok(None);
            }
            "powerOn" => {
                let start: PowerOn = fields(name, raw)?;
                let router = start.router;
                self.instances.insert(router, Instance::new(now, start)?);
                router
            }
            "down" => {
                let Plain { router } = fields(name, raw)?;
                self.instances.remove(&router);
                router
            }
            "view" => {
                let view: View = fields(name, raw)?;
                let sheet = view.sheet.and_then(|sheet| self.sheets.get(&sheet));
                if let Some(instance) = self.instances.get_mut(&view.router) {
                    match (view.mode, sheet) {
                        (Mode::Lost, _) => instance.view(now, view.mode, &[]),
                        (_, Some(entries)) => instance.view(now, view.mode, entries),
                        (_, None) => return Err("event view: its sheet was never given".to_string()),
                    }
                }
                view.router
            }
            "order" => {
                let order: Order = fields(name, raw)?;
                let router = order.router;
                if let Some(instance) = self.instances.get_mut(&router) {
                    instance.order(now, order);
                }
                router
            }
            "finished" => {
                let finished: Finished = fields(name, raw)?;
                let router = finished.router;
                if let Some(instance) = self.instances.get_mut(&router) {
                    instance.finished(now, finished)?;
                }
                router
            }
            "statusBack" => {
                let status: StatusBack = fields(name, raw)?;
                let router = status.router;
                if let Some(instance) = self.instances.get_mut(&router) {
                    instance.status_back(status);
                }
                router
            }
            "lapsed" => {
                let lapsed: Lapsed = fields(name, raw)?;
                if let Some(instance) = self.instances.get_mut(&lapsed.router) {
                    instance.lapsed(&lapsed.req);
                }
                lapsed.router
            }
            "datagram" => {
                let datagram: Datagram = fields(name, raw)?;
                if let Some(instance) = self.instances.get_mut(&datagram.router) {
                    instance.datagram(now, &datagram);
                }
                datagram.router
            }
            "bell" | "streaming" => {
                let Plain { router } = fields(name, raw)?;
                router
            }
            _ => return Ok(None),
        };
        Ok(Some(router))
    }
}

fn run() -> Result<(), String> {
    let mut drill = Drill::default();
    let mut input = std::io::stdin().lock();
    let mut output = std::io::stdout().lock();
    let mut line = String::new();
    loop {
        line.clear();
        if input.read_line(&mut line).map_err(|error| format!("cannot read a batch: {error}"))? == 0 {
            return Ok(());
        }
        if line.trim().is_empty() {
            continue;
        }
        let reply = drill.batch(&line)?;
        serde_json::to_writer(&mut output, &reply)
            .map_err(|error| format!("cannot write a reply: {error}"))?;
        output
            .write_all(b"\n")
            .and_then(|()| output.flush())
            .map_err(|error| format!("cannot write: {error}"))?;
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("fernknot-bench-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}
