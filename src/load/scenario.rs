//! Scenarios of load and faults, read from INI files.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::config::ini::{self, DurationMs, Section};
use crate::config::{Findings, FleetConfig};

/// A `[stream]` section: requests of one class from one workspace, with exponentially distributed
/// times between arrivals. Times are in milliseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct ArrivalStream {
    /// Name of the class.
    pub class: String,
    /// Name of the workspace.
    pub workspace: String,
    /// Average number of requests per second outside the burst.
    pub rate: f64,
    /// Average number of tokens per response; the lengths are distributed exponentially.
    pub tokens: f64,
    /// Number of words in a prompt.
    pub words: u64,
    /// Number of distinct prompt prefixes.
    pub prefixes: u64,
    /// Start of a burst.
    pub burst_from: u64,
    /// End of a burst.
    pub burst_to: u64,
    /// Factor by which the rate is multiplied during the burst.
    pub burst: f64,
}

/// A `[trouble]` section: a fault of one engine. Times are in milliseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineFault {
    /// Index of the engine, from 0.
    pub engine: usize,
    /// Start of the fault.
    pub at: u64,
    /// End of the fault.
    pub until: u64,
    /// Factor by which the duration of a step is multiplied; 0 for a crash.
    pub slow: u64,
}

/// A scenario. Times are in milliseconds unless stated otherwise.
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    /// Seed of the random numbers.
    pub seed: u64,
    /// Time during which requests arrive.
    pub length: u64,
    /// Number of entry instances.
    pub instances: usize,
    /// Number of engines.
    pub engines: usize,
    /// Most requests that one engine runs at the same time.
    pub slots: u32,
    /// Duration of one batch step of an engine.
    pub step: u64,
    /// Prefill time of one prompt word, in microseconds.
    pub prefill: u64,
    /// Interval at which an instance sends its load to its peers.
    pub gossip: u64,
    /// Delay of load reports.
    pub lag: u64,
    /// Fraction of all requests that go to the first instance regardless; the rest is spread evenly
    /// over all instances.
    pub skew: f64,
    /// Start of a network partition in which no instance reaches another; there is none unless
    /// `cut_to` is later.
    pub cut_from: u64,
    /// End of the network partition.
    pub cut_to: u64,
    /// Sources of requests.
    pub streams: Vec<ArrivalStream>,
    /// Faults of engines.
    pub faults: Vec<EngineFault>,
}

/// One request of a scenario.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Time of its arrival, in milliseconds from the start of the run.
    pub at: u64,
    /// Index of the instance that receives it.
    pub instance: usize,
    /// Index in [`Scenario::streams`].
    pub stream: usize,
    /// Number of tokens in its response.
    pub tokens: u64,
    /// Index of its prompt prefix within its stream.
    pub prefix: u64,
}

impl Scenario {
    /// Parses a scenario. Its classes and workspaces must be defined in `fleet`. `file` is the name
    /// used in findings.
    pub fn parse(file: &str, text: &str, fleet: &FleetConfig) -> Result<Self, Findings> {
        let mut out = Findings::new(file);
        let sections = ini::parse(text, &mut out);
        let mut scenario = Self {
            seed: 1,
            length: 60_000,
            instances: 9,
            engines: 12,
            slots: 8,
            step: 20,
            prefill: 500,
            gossip: 500,
            lag: 1_000,
            skew: 0.0,
            cut_from: 0,
            cut_to: 0,
            streams: Vec::new(),
            faults: Vec::new(),
        };
        for s in &sections {
            match s.kind.as_str() {
                "scenario" => scenario.read_settings(s, &mut out),
                "stream" => {
                    let stream = parse_stream(s, fleet, &mut out);
                    scenario.streams.push(stream);
                }
                "trouble" => {
                    let fault = parse_fault(s, &mut out);
                    scenario.faults.push(fault);
                }
                _ => out.add(s.line, &s.title(), "unknown section"),
            }
            s.report_unknown(&mut out);
        }
        if scenario.streams.is_empty() {
            out.add(0, "stream", "no stream is defined");
        }
        if let Some(t) = scenario.faults.iter().find(|t| t.engine >= scenario.engines) {
            out.add(0, "trouble", format!("there is no engine {}", t.engine));
        }
        out.finish(scenario)
    }

    /// Reads the `[scenario]` section.
    fn read_settings(&mut self, s: &Section, out: &mut Findings) {
        let duration = |key: &str, default: u64, out: &mut Findings| {
            s.read::<DurationMs>(key, out).map_or(default, |v| v.0)
        };
        self.seed = s.read("seed", out).unwrap_or(self.seed);
        self.length = duration("length", self.length, out);
        self.instances = s.read("instances", out).unwrap_or(self.instances);
        self.engines = s.read("engines", out).unwrap_or(self.engines);
        self.slots = s.read("slots", out).unwrap_or(self.slots);
        self.step = duration("step", self.step, out);
        self.prefill = s.read("prefill_us", out).unwrap_or(self.prefill);
        self.gossip = duration("gossip", self.gossip, out);
        self.lag = duration("lag", self.lag, out);
        self.skew = s.read("skew", out).unwrap_or(self.skew);
        self.cut_from = duration("cut_from", 0, out);
        self.cut_to = duration("cut_to", 0, out);
        if self.instances == 0 || self.engines == 0 || self.slots == 0 || self.step == 0 {
            out.add(s.line, &s.title(), "instances, engines, slots and step must be above 0");
        }
    }

    /// All arrivals in order of time. Deterministic for a seed.
    pub fn arrivals(&self) -> Vec<Arrival> {
        let mut all = Vec::new();
        for (i, stream) in self.streams.iter().enumerate() {
            let mut rng = ChaCha8Rng::seed_from_u64(self.seed.wrapping_add(i as u64));
            let mut at = 0.0;
            loop {
                let in_burst = (stream.burst_from..stream.burst_to).contains(&(at as u64));
                let rate = if in_burst { stream.rate * stream.burst } else { stream.rate };
                at += -(1.0 - rng.random::<f64>()).ln() / rate * 1e3;
                if at >= self.length as f64 {
                    break;
                }
                all.push(self.draw_arrival(at as u64, i, stream, &mut rng));
            }
        }
        all.sort_by_key(|a| a.at);
        all
    }

    /// Draws the instance, length and prefix of the request that arrives at `at` in stream `i`.
    fn draw_arrival(
        &self,
        at: u64,
        i: usize,
        stream: &ArrivalStream,
        rng: &mut ChaCha8Rng,
    ) -> Arrival {
        let to_first = rng.random::<f64>() < self.skew;
        let instance = if to_first { 0 } else { rng.random_range(0..self.instances) };
        // Exponential distribution: most lengths are short and some very long, as with real
        // responses.
        let drawn = -(1.0 - rng.random::<f64>()).ln() * stream.tokens;
        let prefix = rng.random_range(0..stream.prefixes.max(1));
        Arrival { at, instance, stream: i, tokens: (drawn as u64).max(1), prefix }
    }
}

fn parse_stream(s: &Section, fleet: &FleetConfig, out: &mut Findings) -> ArrivalStream {
    let duration =
        |key: &str, out: &mut Findings| s.read::<DurationMs>(key, out).map_or(0, |v| v.0);
    let class = s.require("class", out);
    if !class.is_empty() && !fleet.classes.contains_key(&class) {
        out.add(s.line_of("class"), "class", format!("no class is called `{class}`"));
    }
    let workspace = s.require("workspace", out);
    if !workspace.is_empty() && !fleet.workspaces.contains_key(&workspace) {
        let text = format!("no workspace is called `{workspace}`");
        out.add(s.line_of("workspace"), "workspace", text);
    }
    let rate = s.read("rate", out).unwrap_or(1.0);
    if rate <= 0.0 {
        out.add(s.line_of("rate"), "rate", "must be above 0");
    }
    ArrivalStream {
        class,
        workspace,
        rate,
        tokens: s.read("tokens", out).unwrap_or(50.0),
        words: s.read("words", out).unwrap_or(100),
        prefixes: s.read("prefixes", out).unwrap_or(20),
        burst_from: duration("burst_from", out),
        burst_to: duration("burst_to", out),
        burst: s.read("burst", out).unwrap_or(1.0),
    }
}

fn parse_fault(s: &Section, out: &mut Findings) -> EngineFault {
    let duration =
        |key: &str, out: &mut Findings| s.read::<DurationMs>(key, out).map_or(0, |v| v.0);
    EngineFault {
        engine: s.read("engine", out).unwrap_or(0),
        at: duration("at", out),
        until: duration("until", out),
        slow: s.read("slow", out).unwrap_or(0),
    }
}
