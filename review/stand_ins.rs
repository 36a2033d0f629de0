//! Stand-ins and cases of the review. Usage: `review-stand-ins CASE`, started at the root of the repository.

mod big_config;
mod http;
mod node;
mod operator;
mod stop_answers;
mod system;

use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

/// The record of a run: one line an event, with the time since the start.
pub struct Record {
    started_at: Instant,
    file: Mutex<Box<dyn Write + Send>>,
}

impl Record {
    fn new() -> Record {
        let file: Box<dyn Write + Send> = match std::env::var("RECORD") {
            Ok(path) => Box::new(std::fs::File::create(path).expect("the record can be written")),
            Err(_) => Box::new(std::io::sink()),
        };
        Record { started_at: Instant::now(), file: Mutex::new(file) }
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}", self.started_at.elapsed().as_secs_f64(), text.as_ref());
        println!("{line}");
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{line}");
        }
    }

    /// Writes a line to the record only.
    pub fn detail(&self, text: impl AsRef<str>) {
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{:8.3} {}", self.started_at.elapsed().as_secs_f64(), text.as_ref());
        }
    }

    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    pub fn seconds(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }
}

/// How a run ended.
pub enum Verdict {
    Held,
    Broken,
}

fn main() {
    let record = Record::new();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let case = std::env::args().nth(1).unwrap_or_default();
    let run = || match case.as_str() {
        "big-config" => big_config::run(&record, trouble),
        "stop-answers" => stop_answers::run(&record, trouble),
        _ => Err(format!("unknown case {case:?}")),
    };
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run));
    let result = result.unwrap_or_else(|_| Err("the program of the case panicked".into()));
    let code = match result {
        Ok(Verdict::Held) => {
            record.note("RESULT: the rule held");
            0
        }
        Ok(Verdict::Broken) => {
            record.note("RESULT: the rule was broken");
            1
        }
        Err(error) => {
            record.note(format!("RESULT: the case could not run: {error}"));
            2
        }
    };
    std::process::exit(code);
}
