//! `status`: shows the configuration version, peers, endpoints and quarantine of each instance.

use std::net::SocketAddr;

use serde_json::Value;

use super::{CliError, client, entry_addrs, parse_command};

const USAGE: &str = "usage: sassafras-ctl status --entry IP:PORT [--entry IP:PORT ...] [--json]";

pub(super) struct Status {
    entries: Vec<SocketAddr>,
    json: bool,
}

impl Status {
    pub(super) fn new(args: &[String]) -> Result<Self, CliError> {
        let matches = parse_command(USAGE, args, |o| {
            o.optflag("j", "json", "print one JSON value for each instance");
        })?;
        Ok(Self { entries: entry_addrs(&matches)?, json: matches.opt_present("json") })
    }

    pub(super) fn run(self) -> Result<(), CliError> {
        let mut failures = 0;
        for entry in &self.entries {
            match client().get_json::<Value>(&format!("http://{entry}/status")) {
                Ok(value) if self.json => println!("{value}"),
                Ok(value) => print_status(&value),
                Err(e) => {
                    failures += 1;
                    println!("{entry}: no answer: {e}");
                }
            }
        }
        match failures {
            0 => Ok(()),
            n => Err(CliError::Failed(format!("{n} instances did not answer"))),
        }
    }
}

fn print_status(value: &Value) {
    let text = |v: &Value| v.as_str().unwrap_or("?").to_owned();
    println!(
        "{}: version {}, {}, log read {} ms ago, {} peers, {} invariant violations",
        text(&value["name"]),
        value["version"],
        if value["ready"] == true { "ready" } else { "not ready" },
        value["log_age_ms"],
        value["peers"].as_array().map_or(0, Vec::len),
        value["violations"]
    );
    for service in value["services"].as_array().into_iter().flatten() {
        println!(
            "  {}: {} running, {} waiting",
            text(&service["name"]),
            service["running"],
            service["waiting"]
        );
        for e in service["endpoints"].as_array().into_iter().flatten() {
            let leaving = if e["leaving"] == true { ", leaving" } else { "" };
            let silent = if e["silent"] == true { ", silent" } else { "" };
            println!(
                "    {}: {}{leaving}{silent}, {} own, {} reported",
                text(&e["name"]),
                text(&e["health"]),
                e["own"],
                e["reported"]
            );
        }
    }
    for q in value["quarantine"].as_array().into_iter().flatten() {
        println!("  quarantined: {} for {} ms more", text(&q["content"]), q["left_ms"]);
    }
}
