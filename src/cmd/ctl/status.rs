//! `status`: shows every instance, its configuration and its view of the others.

use std::net::SocketAddr;

use serde_json::Value;

use super::{Stop, client, entries, options};

const BRIEF: &str = "usage: sassafras-ctl status --entry IP:PORT [--entry IP:PORT ...] [--json]";

pub(super) struct Status {
    entries: Vec<SocketAddr>,
    json: bool,
}

impl Status {
    pub(super) fn new(args: &[String]) -> Result<Self, Stop> {
        let matches = options(BRIEF, args, |o| {
            o.optflag("j", "json", "print one JSON value for each instance");
        })?;
        Ok(Self { entries: entries(&matches)?, json: matches.opt_present("json") })
    }

    pub(super) fn run(self) -> Result<(), Stop> {
        let mut silent = 0;
        for entry in &self.entries {
            match client().get_json::<Value>(&format!("http://{entry}/status")) {
                Ok(value) if self.json => println!("{value}"),
                Ok(value) => print(&value),
                Err(e) => {
                    silent += 1;
                    println!("{entry}: no answer: {e}");
                }
            }
        }
        match silent {
            0 => Ok(()),
            n => Err(Stop::Failed(format!("{n} instances did not answer"))),
        }
    }
}

fn print(value: &Value) {
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
