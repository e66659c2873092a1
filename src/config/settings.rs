//! Settings of one entry instance, read and validated once at start.

use std::net::SocketAddr;

use super::findings::Findings;
use super::ini::{self, DurationMs, Section};

closed! {
    /// How an instance chooses work and endpoints. All but `ours` are baselines.
    pub enum Strategy {
        /// Priorities, shares, corrected load and affinity.
        #[serde(rename = "ours")]
        Prioritized,
        /// Any endpoint, first come first served.
        Random,
        /// Least reported load, first come first served.
        #[serde(rename = "least")]
        LeastLoaded,
    }
}

/// Settings of an entry instance. Durations are in milliseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the instance, as in the instance list.
    pub name: String,
    /// Failure domain it stands in.
    pub domain: String,
    /// Address that callers use.
    pub listen: SocketAddr,
    /// Address that peers and operators use.
    pub admin: SocketAddr,
    /// Address of the log service.
    pub log: SocketAddr,
    /// Address of the instance list.
    pub list: SocketAddr,
    /// Log lines as JSON.
    pub json: bool,
    /// Policy in use.
    pub strategy: Strategy,
    /// Interval of exchanges with peers.
    pub gossip: u64,
    /// Interval of load reports.
    pub poll: u64,
    /// Time between the first sign of leaving and closing the listening socket.
    pub linger: u64,
    /// Longest time a graceful shutdown waits for requests in progress.
    pub drain: u64,
    /// Largest request body in bytes.
    pub body_limit: usize,
    /// Longest delay of the instance list.
    pub list_lag: u64,
}

impl Settings {
    /// Reads a settings file. `overrides` are `key=value` pairs from the command line.
    pub fn parse(file: &str, text: &str, overrides: &[String]) -> Result<Self, Findings> {
        let mut out = Findings::new(file);
        let mut sections = ini::parse(text, &mut out);
        let at = sections.iter().position(|s| s.kind == "entry");
        let mut section = at.map(|i| sections.swap_remove(i)).unwrap_or_default();
        if at.is_none() {
            out.add(0, "entry", "section [entry] is missing");
        }
        for s in &sections {
            out.add(s.line, &s.title(), "unknown section");
        }
        for pair in overrides {
            match pair.split_once('=') {
                Some((key, value)) => {
                    let value = ini::Value { text: value.trim().to_owned(), line: 0 };
                    section.pairs.insert(key.trim().to_owned(), value);
                }
                None => out.add(0, pair, "expected key=value"),
            }
        }
        let settings = read_entry(&section, &mut out);
        section.report_unknown(&mut out);
        out.finish(settings)
    }
}

fn read_entry(s: &Section, out: &mut Findings) -> Settings {
    let unset = SocketAddr::from(([127, 0, 0, 1], 0));
    let addr = |key: &str, out: &mut Findings| {
        let text = s.require(key, out);
        if text.is_empty() {
            return unset;
        }
        s.read(key, out).unwrap_or(unset)
    };
    let duration = |key: &str, default: u64, out: &mut Findings| {
        let ms = s.read::<DurationMs>(key, out).map_or(default, |v| v.0);
        if ms == 0 {
            out.add(s.line_of(key), key, "must be longer than zero");
        }
        ms
    };
    let strategy = match s.get("strategy").map_or("ours", |v| v.text.as_str()) {
        "ours" => Strategy::Prioritized,
        "random" => Strategy::Random,
        "least" => Strategy::LeastLoaded,
        other => {
            let text = format!("`{other}` is none of ours, random, least");
            out.add(s.line_of("strategy"), "strategy", text);
            Strategy::Prioritized
        }
    };
    Settings {
        name: s.require("name", out),
        domain: s.require("domain", out),
        listen: addr("listen", out),
        admin: addr("admin", out),
        log: addr("log", out),
        list: addr("list", out),
        json: s.read::<ini::YesNo>("json", out).is_some_and(|y| y.0),
        strategy,
        gossip: duration("gossip", 500, out),
        poll: duration("poll", 1_000, out),
        linger: duration("linger", 1_000, out),
        drain: duration("drain", 120_000, out),
        body_limit: s.read("body_limit", out).unwrap_or(1 << 20),
        list_lag: duration("list_lag", 3_000, out),
    }
}
