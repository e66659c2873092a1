//! Cases of the second review: each starts the relay as a process on loopback addresses, before
//! stand-ins for the store, the servers and the clients.
//!
//! Usage: review-2 CASE RECORD. Exit status 1: the rule was broken, 0: it held, 2: the case couldn't run.

mod foreign;
mod gone;
mod head;
mod net;
mod record;
mod relay;
mod silent;
mod store;
mod unframed;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path] = args.as_slice() else {
        eprintln!("usage: review-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = Record::create(Path::new(path));
    let dir = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("temporary folder");
    let verdict = match case.as_str() {
        "unframed" => unframed::run(&record, &dir, trouble),
        "foreign" => foreign::run(&record, &dir, trouble),
        "gone" => gone::run(&record, &dir, trouble),
        "head" => head::run(&record, &dir, trouble),
        "silent" => silent::run(&record, &dir, trouble),
        other => Verdict::NotRun(format!("no case {other}")),
    };
    if std::env::var("KEEP").is_err() {
        std::fs::remove_dir_all(&dir).ok();
    }
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken => (1, "the rule was broken".to_owned()),
        Verdict::NotRun(why) => (2, format!("the case couldn't run: {why}")),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
