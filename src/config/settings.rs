//! Settings of one entry instance, parsed and validated once at start.

use std::net::SocketAddr;

use super::findings::Findings;
use super::ini::{self, DurationMs, Section};

closed! {
    /// How an instance schedules requests and chooses endpoints. `random` and `least` are baselines
    /// for comparison.
    pub enum Strategy {
        /// Schedules by priority and share; chooses endpoints by corrected load and affinity.
        #[serde(rename = "ours")]
        Prioritized,
        /// First in, first out, to a random endpoint.
        Random,
        /// First in, first out, to the endpoint with the least reported load.
        #[serde(rename = "least")]
        LeastLoaded,
    }
}

/// Settings of an entry instance. Durations are in milliseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the instance, as in the instance list.
    pub name: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Listen address for callers.
    pub listen: SocketAddr,
    /// Listen address for peers and operators.
    pub admin: SocketAddr,
    /// Address of the log service.
    pub log: SocketAddr,
    /// Address of the instance list.
    pub list: SocketAddr,
    /// True to write log lines as JSON.
    pub json: bool,
    /// Scheduling and placement strategy.
    pub strategy: Strategy,
    /// Interval between exchanges of state with peers.
    pub gossip: u64,
    /// Interval between load reports from endpoints.
    pub poll: u64,
    /// Time between announcing that the instance is leaving and closing the listening socket.
    pub linger: u64,
    /// Longest time that a graceful shutdown waits for requests in flight.
    pub drain: u64,
    /// Largest request body in bytes.
    pub body_limit: usize,
    /// Memory of the machine in MB.
    pub memory: f64,
    /// Maximum open descriptors of the process.
    pub descriptors: usize,
    /// Longest delay with which the instance list shows a change.
    pub list_lag: u64,
}

impl Settings {
    /// Parses a settings file. `overrides` are `key=value` pairs from the command line, which
    /// replace values of the file.
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
        memory: s.read("memory", out).unwrap_or(256.0),
        descriptors: s.read("descriptors", out).unwrap_or(4_096),
        list_lag: duration("list_lag", 3_000, out),
    }
}
