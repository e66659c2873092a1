//! Data model of the fleet's configuration, which is one document that is validated as a whole.

use indexmap::IndexMap;
use sha2::{Digest, Sha256};

use super::ini::DurationMs;
use crate::adapter::clock::Millis;

/// Largest number of tiers in a document.
pub const MAX_TIERS: usize = 4;
/// Largest sum of the guaranteed shares of all classes. The rest stays unreserved, so that there is
/// free capacity for urgent work.
pub const MAX_SHARES: f64 = 0.8;

data! {
    /// Parameters of a class, which `[defaults]`, classes and exceptions may set. Durations are in
    /// milliseconds.
    #[derive(Copy)]
    pub struct Params {
        /// Target time to the first token, or to the whole response of a plain service.
        pub first_token: u64,
        /// Target time between two tokens.
        pub between_tokens: u64,
        /// Time after which a response is of no use to the caller.
        pub deadline: u64,
        /// Most requests of the class that may be queued in the whole fleet.
        pub queue: u32,
        /// Scheduling weight relative to other classes of the same tier.
        pub weight: u32,
        /// Fraction of the slots that the class is guaranteed in each service it uses.
        pub share: f64,
        /// Retries added to the retry budget of the class for each request received.
        pub retry_ratio: f64,
        /// Most attempts for one request.
        pub attempts: u32,
    }

    /// Authorship of a document and the version it was edited from.
    pub struct Meta {
        /// Version that the document was edited from; 0 for the first.
        pub base: u64,
        /// Operator who wrote it.
        pub author: String,
        /// Operator who reviewed it.
        pub reviewer: String,
        /// Reason for the change.
        pub reason: String,
    }

    /// A class of requests with the same priority and service level.
    pub struct Class {
        /// Order of its priority tier; 0 is the most urgent.
        pub tier: u8,
        /// False when a request must run at most once.
        pub idempotent: bool,
        /// True when requests of lower tiers can never displace those of this class.
        pub protected: bool,
        /// Its parameters, with the defaults filled in.
        pub params: Params,
    }

    /// A group of endpoints that serve the same requests.
    pub struct Service {
        /// Protocol of its endpoints.
        pub kind: Kind,
        /// Requests that one endpoint runs concurrently.
        pub slots: u32,
        /// Models served; empty for a plain service.
        pub models: Vec<String>,
        /// Class of requests with a safe HTTP method; empty for an engine service.
        pub read_class: String,
        /// Class of requests with any other method; empty for an engine service.
        pub write_class: String,
    }

    /// A group of callers that share a bearer token and a concurrency limit.
    pub struct Workspace {
        /// SHA-256 of its bearer token, in hex.
        pub token: String,
        /// Class of chat requests that don't name one.
        pub class: String,
        /// Most requests that may run concurrently in the whole fleet; 0 for no limit.
        pub running: u32,
    }

    /// An exception that overrides parameters for a workspace, a class, a failure domain or a
    /// combination of them.
    pub struct Exception {
        /// Name of its section.
        pub name: String,
        /// Workspace it applies to; empty for all.
        pub workspace: String,
        /// Class it applies to; empty for all.
        pub class: String,
        /// Failure domain of the entry instances that apply it; empty for all.
        pub domain: String,
        /// Reason for the exception.
        pub reason: String,
        /// Operator who asked for it.
        pub author: String,
        /// Operator who reviewed it.
        pub reviewer: String,
        /// Expiry time, in milliseconds since the Unix epoch; 0 for never.
        pub expires: Millis,
        /// Parameters that it sets, as keys and unparsed values.
        #[serde(rename = "sets")]
        pub overrides: IndexMap<String, String>,
    }

    /// A complete, validated configuration document.
    pub struct FleetConfig {
        /// Author, reviewer and base version of the document.
        pub meta: Meta,
        /// Number of crashes counted against a request's content, each of another incarnation of an
        /// endpoint, after which the content is quarantined.
        pub crash_limit: u32,
        /// Duration of a quarantine, in milliseconds.
        pub quarantine: u64,
        /// Time for which the key of a non-idempotent request is remembered, in milliseconds.
        pub claim_window: u64,
        /// Tier names by order, the most urgent first.
        pub tiers: Vec<String>,
        /// Classes by name.
        pub classes: IndexMap<String, Class>,
        /// Services by name.
        pub services: IndexMap<String, Service>,
        /// Workspaces by name.
        pub workspaces: IndexMap<String, Workspace>,
        /// Workspace names by the hash of their token.
        pub tokens: IndexMap<String, String>,
        /// Exceptions in the order of the document; later ones override earlier ones.
        pub exceptions: Vec<Exception>,
    }
}

closed! {
    /// Protocol of the endpoints of a service.
    pub enum Kind {
        /// Model engine: streams tokens and supports priorities, cancellation and resumption.
        Engine,
        /// Plain HTTP request and response.
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
    /// Keys that [`Params::set`] accepts, in the order of the documentation.
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

    /// Sets the parameter `key` from its text. The error describes the problem, without the key.
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

/// Parses a duration longer than zero into milliseconds.
fn parse_duration(text: &str) -> Result<u64, String> {
    let DurationMs(ms) = text.parse().map_err(|e| format!("bad duration `{text}`: {e}"))?;
    if ms == 0 {
        return Err("must be longer than zero".to_owned());
    }
    Ok(ms)
}

/// Parses a whole number of at least 1.
fn parse_count(text: &str) -> Result<u32, String> {
    match text.parse() {
        Ok(0) => Err("must be at least 1".to_owned()),
        Ok(n) => Ok(n),
        Err(e) => Err(format!("bad number `{text}`: {e}")),
    }
}

/// Parses a number from 0 to 1.
fn parse_fraction(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(f) if (0.0..=1.0).contains(&f) => Ok(f),
        Ok(_) => Err(format!("`{text}` is not between 0 and 1")),
        Err(e) => Err(format!("bad number `{text}`: {e}")),
    }
}

/// SHA-256 of a bearer token in hex, as stored in the configuration.
pub fn token_hash(token: &str) -> String {
    Sha256::digest(token.as_bytes()).iter().map(|b| format!("{b:02x}")).collect()
}

impl FleetConfig {
    /// Parameters in force for a request, and the names of the exceptions applied. `domain` is the
    /// failure domain of the entry instance.
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
    /// True when the exception applies to such a request and has not expired.
    fn covers(&self, class: &str, workspace: &str, domain: &str, now: Millis) -> bool {
        let matches = |wanted: &str, actual: &str| wanted.is_empty() || wanted == actual;
        matches(&self.class, class)
            && matches(&self.workspace, workspace)
            && matches(&self.domain, domain)
            && (self.expires == 0 || now < self.expires)
    }

    /// Sets its overrides in `params`.
    pub(super) fn apply(&self, params: &mut Params) {
        for (key, text) in &self.overrides {
            if params.set(key, text).is_err() {
                tracing::error!("config: exception {} has an invalid value for {key}.", self.name);
            }
        }
    }
}
