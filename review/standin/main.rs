//! Cases of the review: each starts real relays on loopback before stand-ins for the store, the
//! servers and the clients, and judges what these have seen.
//!
//! Usage: case NAME FOLDER. Writes FOLDER/record.txt. Exits with 1 if the rule was broken, 0 if it
//! held, 2 if the case couldn't run. With TROUBLE=0 the disruption is left out.

mod client;
mod crash;
mod ghost;
mod hang;
mod http;
mod memory;
mod record;
mod relay;
mod server;
mod stop;
mod store;

use std::process::exit;
use std::time::Duration;

/// Maximum duration of a case.
const CASE_LIMIT: Duration = Duration::from_secs(110);

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(name), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: case NAME FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    if let Err(e) = record::open(folder) {
        eprintln!("can't write the record: {e}");
        exit(2);
    }
    record::line(&format!("case {name}, disruption {}", if trouble { "on" } else { "off" }));
    std::thread::spawn(|| {
        std::thread::sleep(CASE_LIMIT);
        record::line("the case did not end in time");
        relay::kill_all();
        exit(2);
    });
    let result = match name.as_str() {
        "crash" => crash::run(trouble),
        "memory" => memory::run(trouble),
        "ghost" => ghost::run(trouble),
        "hang" => hang::run(trouble),
        "stop" => stop::run(trouble),
        _ => Err(format!("no case {name}")),
    };
    relay::kill_all();
    match result {
        Ok(Verdict::Held) => {
            record::line("verdict: the rule held");
            exit(0)
        }
        Ok(Verdict::Broken) => {
            record::line("verdict: the rule was broken");
            exit(1)
        }
        Err(e) => {
            record::line(&format!("the case could not run: {e}"));
            exit(2)
        }
    }
}
