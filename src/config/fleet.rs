//! The fleet's configuration: one document, validated as a whole.

use indexmap::IndexMap;
use sha2::{Digest, Sha256};

use super::ini::DurationMs;
use crate::adapter::clock::Millis;

/// Number of tiers that a document may define.
pub const MAX_TIERS: usize = 4;
/// Largest sum of guaranteed shares, so that free capacity remains for urgent work.
pub const MAX_SHARES: f64 = 0.8;

data! {
    /// Numbers that defaults, classes and exceptions may set. Durations are in milliseconds.
    #[derive(Copy)]
    pub struct Params {
        /// Target for the first token, or for the whole answer of a plain service.
        pub first_token: u64,
        /// Target between two tokens.
        pub between_tokens: u64,
        /// Time after which an answer is of no use.
        pub deadline: u64,
        /// Longest queue of the class in the whole fleet, in requests.
        pub queue: u32,
        /// Weight against other classes of the same tier.
        pub weight: u32,
        /// Guaranteed fraction of each service the class uses.
        pub share: f64,
        /// Retries allowed for each request served, as a ratio.
        pub retry_ratio: f64,
        /// Attempts for one request at most.
        pub attempts: u32,
    }

    /// Who made the document and from which version.
    pub struct Meta {
        /// Version that the document was edited from; 0 for the first.
        pub base: u64,
        /// Operator who wrote it.
        pub author: String,
        /// Operator who reviewed it.
        pub reviewer: String,
        /// Why it was made.
        pub reason: String,
    }

    /// A request class.
    pub struct Class {
        /// Order of its tier; 0 is the most urgent.
        pub tier: u8,
        /// False when a request must run at most once.
        pub idempotent: bool,
        /// True when lower tiers can never displace it.
        pub protected: bool,
        /// Its numbers, with the defaults filled in.
        pub params: Params,
    }

    /// A pool of endpoints.
    pub struct Service {
        /// What its endpoints speak.
        pub kind: Kind,
        /// Requests that one endpoint runs at a time.
        pub slots: u32,
        /// Models served; empty for a plain service.
        pub models: Vec<String>,
        /// Class of calls with a safe method.
        pub read_class: String,
        /// Class of calls with any other method.
        pub write_class: String,
    }

    /// A workspace of callers.
    pub struct Workspace {
        /// SHA-256 of its bearer token, in hex.
        pub token: String,
        /// Class of chat requests that name none.
        pub class: String,
        /// Requests that may run at once in the whole fleet; 0 for no limit.
        pub running: u32,
    }

    /// An exception from the defaults, for a workspace, a class, a domain or a mix of them.
    pub struct Exception {
        /// Its name.
        pub name: String,
        /// Workspace it holds for; empty for all.
        pub workspace: String,
        /// Class it holds for; empty for all.
        pub class: String,
        /// Failure domain of the entry instance it holds for; empty for all.
        pub domain: String,
        /// Why it exists.
        pub reason: String,
        /// Operator who asked for it.
        pub author: String,
        /// Operator who reviewed it.
        pub reviewer: String,
        /// Time at which it lapses; 0 for never.
        pub expires: Millis,
        /// Keys and values that it sets.
        #[serde(rename = "sets")]
        pub overrides: IndexMap<String, String>,
    }

    /// A whole valid document.
    pub struct Fleet {
        /// Origin of the document.
        pub meta: Meta,
        /// Crashes of distinct endpoints after which a content is quarantined.
        pub crash_limit: u32,
        /// How long a quarantine lasts, in milliseconds.
        pub quarantine: u64,
        /// How long the key of a non-idempotent request is remembered, in milliseconds.
        pub claim_window: u64,
        /// Tier names by order.
        pub tiers: Vec<String>,
        /// Classes by name.
        pub classes: IndexMap<String, Class>,
        /// Services by name.
        pub services: IndexMap<String, Service>,
        /// Workspaces by name.
        pub workspaces: IndexMap<String, Workspace>,
        /// Names of workspaces by the hash of their token.
        pub tokens: IndexMap<String, String>,
        /// Exceptions in the order of the document.
        pub exceptions: Vec<Exception>,
    }
}

closed! {
    /// What the endpoints of a service speak.
    pub enum Kind {
        /// Model engine: streamed tokens, priorities, cancel, resume.
        Engine,
        /// Plain request and response.
        Plain,
    }
}

impl Default for Params {
    fn default() -> Self {
        Self {
            first_token: 1_900,
            between_tokens: 30,
            deadline: 60_000,
            queue: 2_000,
            weight: 1,
            share: 0.02,
            retry_ratio: 0.1,
            attempts: 3,
        }
    }
}

impl Params {
    /// Keys that may be set, in the order of the documentation.
    pub const KEYS: [&'static str; 8] = [
        "first_token",
        "between_tokens",
        "deadline",
        "queue",
        "weight",
        "share",
        "retry_ratio",
        "attempts",
    ];

    /// Sets one key from its text.
    pub fn set(&mut self, key: &str, text: &str) -> Result<(), String> {
        match key {
            "first_token" => self.first_token = parse_duration(text)?,
            "between_tokens" => self.between_tokens = parse_duration(text)?,
            "deadline" => self.deadline = parse_duration(text)?,
            "queue" => self.queue = parse_count(text)?,
            "weight" => self.weight = parse_count(text)?,
            "share" => self.share = parse_fraction(text)?,
            "retry_ratio" => self.retry_ratio = parse_fraction(text)?,
            "attempts" => self.attempts = parse_count(text)?,
            _ => return Err("unknown key".to_owned()),
        }
        Ok(())
    }
}

fn parse_duration(text: &str) -> Result<u64, String> {
    let DurationMs(ms) = text.parse().map_err(|e| format!("bad duration `{text}`: {e}"))?;
    if ms == 0 {
        return Err("must be longer than zero".to_owned());
    }
    Ok(ms)
}

fn parse_count(text: &str) -> Result<u32, String> {
    match text.parse() {
        Ok(0) => Err("must be at least 1".to_owned()),
        Ok(n) => Ok(n),
        Err(e) => Err(format!("bad number `{text}`: {e}")),
    }
}

fn parse_fraction(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(f) if (0.0..=1.0).contains(&f) => Ok(f),
        Ok(_) => Err(format!("`{text}` is not between 0 and 1")),
        Err(e) => Err(format!("bad number `{text}`: {e}")),
    }
}

/// Hex SHA-256 of a bearer token, as a configuration holds it.
pub fn token_hash(token: &str) -> String {
    Sha256::digest(token.as_bytes()).iter().map(|b| format!("{b:02x}")).collect()
}

impl Fleet {
    /// Numbers in force for a request, and the names of the exceptions applied.
    pub fn params(
        &self,
        class: &str,
        workspace: &str,
        domain: &str,
        now: Millis,
    ) -> (Params, Vec<&str>) {
        let mut params = self.classes.get(class).map_or_else(Params::default, |c| c.params);
        let mut names = Vec::new();
        for e in &self.exceptions {
            if e.covers(class, workspace, domain, now) {
                e.apply(&mut params);
                names.push(e.name.as_str());
            }
        }
        (params, names)
    }

    /// Workspace that owns the bearer token.
    pub fn workspace_of(&self, token: &str) -> Option<(&str, &Workspace)> {
        let name = self.tokens.get(&token_hash(token))?;
        self.workspaces.get(name).map(|w| (name.as_str(), w))
    }

    /// Service that serves `model`.
    pub fn service_of(&self, model: &str) -> Option<(&str, &Service)> {
        let found = self.services.iter().find(|(_, s)| s.models.iter().any(|m| m == model));
        found.map(|(name, s)| (name.as_str(), s))
    }
}

impl Exception {
    fn covers(&self, class: &str, workspace: &str, domain: &str, now: Millis) -> bool {
        let matches = |wanted: &str, actual: &str| wanted.is_empty() || wanted == actual;
        matches(&self.class, class)
            && matches(&self.workspace, workspace)
            && matches(&self.domain, domain)
            && (self.expires == 0 || now < self.expires)
    }

    /// Sets its keys.
    pub(super) fn apply(&self, params: &mut Params) {
        for (key, text) in &self.overrides {
            if params.set(key, text).is_err() {
                tracing::error!("config: exception {} has a bad {key}.", self.name);
            }
        }
    }
}
