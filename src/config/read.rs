//! Parses a configuration document and validates it as a whole.

use indexmap::IndexMap;

use super::findings::Findings;
use super::fleet::{
    Class, Exception, FleetConfig, Kind, MAX_SHARES, MAX_TIERS, Meta, Params, Service, Workspace,
};
use super::ini::{self, DurationMs, Section, YesNo};

/// Prefix of the `token` value of a workspace, which holds the hash of the token.
const HASH_PREFIX: &str = "sha256:";
/// Hex digits of a SHA-256 hash.
const HASH_HEX_LEN: usize = 64;

impl FleetConfig {
    /// Parses and validates a document; `file` is the name that the findings show. The same text
    /// gives the same result on every instance.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        let mut out = Findings::new(file);
        let sections = ini::parse(text, &mut out);
        let fleet = Reader { sections: &sections, out: &mut out }.fleet();
        out.finish(fleet)
    }
}

/// Builds a [`FleetConfig`] from the sections of one document and adds every problem to `out`.
struct Reader<'a> {
    sections: &'a [Section],
    out: &'a mut Findings,
}

impl<'a> Reader<'a> {
    fn sections_of(&self, kind: &'static str) -> impl Iterator<Item = &'a Section> + use<'a> {
        self.sections.iter().filter(move |s| s.kind == kind)
    }

    fn fleet(&mut self) -> FleetConfig {
        let (meta, defaults, limits) = self.globals();
        let tiers = self.tiers();
        let classes = self.classes(&tiers, defaults);
        let services = self.services(&classes);
        let (workspaces, tokens) = self.workspaces(&classes);
        let mut fleet = FleetConfig {
            meta,
            crash_limit: limits.crash_limit,
            quarantine: limits.quarantine,
            claim_window: limits.claim_window,
            tiers,
            classes,
            services,
            workspaces,
            tokens,
            exceptions: Vec::new(),
        };
        self.exceptions(&mut fleet);
        self.check_shares(&fleet);
        self.report_unknown();
        fleet
    }

    /// Adds findings for unknown sections, and for keys that no other method has read. Must be
    /// called last.
    fn report_unknown(&mut self) {
        const KINDS: [&str; 7] =
            ["fleet", "defaults", "tier", "class", "service", "workspace", "exception"];
        for s in self.sections {
            if !KINDS.contains(&s.kind.as_str()) {
                self.out.add(s.line, &s.title(), "unknown section");
                continue;
            }
            s.report_unknown(self.out);
        }
    }

    fn globals(&mut self) -> (Meta, Params, Limits) {
        let mut meta =
            Meta { base: 0, author: String::new(), reviewer: String::new(), reason: String::new() };
        match self.sections_of("fleet").next() {
            Some(s) => {
                meta.base = s.read("base", self.out).unwrap_or(0);
                meta.author = s.require("author", self.out);
                meta.reviewer = s.require("reviewer", self.out);
                meta.reason = s.require("reason", self.out);
                self.check_reviewer(s, &meta.author, &meta.reviewer);
            }
            None => self.out.add(0, "fleet", "section [fleet] is missing"),
        }
        let mut params = Params::default();
        let mut limits = Limits::default();
        if let Some(s) = self.sections_of("defaults").next() {
            self.params(s, &mut params);
            if let Some(n) = s.read("crash_limit", self.out) {
                limits.crash_limit = n;
            }
            if let Some(DurationMs(ms)) = s.read("quarantine", self.out) {
                limits.quarantine = ms;
            }
            if let Some(DurationMs(ms)) = s.read("claim_window", self.out) {
                limits.claim_window = ms;
            }
            if limits.crash_limit == 0 {
                self.out.add(s.line_of("crash_limit"), "crash_limit", "must be at least 1");
            }
        }
        (meta, params, limits)
    }

    /// Adds a finding if a change was reviewed by its own author.
    fn check_reviewer(&mut self, s: &Section, author: &str, reviewer: &str) {
        if !author.is_empty() && author == reviewer {
            self.out.add(s.line_of("reviewer"), "reviewer", "author and reviewer are the same");
        }
    }

    /// Reads the parameters that `s` sets into `params`.
    fn params(&mut self, s: &Section, params: &mut Params) {
        for key in Params::KEYS {
            let Some(value) = s.get(key) else { continue };
            if let Err(text) = params.set(key, &value.text) {
                self.out.add(value.line, key, text);
            }
        }
        let set_here = s.pairs.contains_key("first_token") || s.pairs.contains_key("deadline");
        if set_here && params.first_token > params.deadline {
            self.out.add(s.line, "first_token", "target is later than the deadline");
        }
    }

    /// Returns the names of the tiers by order, the most urgent first.
    fn tiers(&mut self) -> Vec<String> {
        let mut list: Vec<(u8, String)> = Vec::new();
        for s in self.sections_of("tier") {
            let Some(order) = s.read::<u8>("order", self.out) else {
                if s.get("order").is_none() {
                    self.out.add(s.line, "order", format!("missing in [{}]", s.title()));
                }
                continue;
            };
            if list.iter().any(|(o, _)| *o == order) {
                self.out.add(s.line_of("order"), "order", "another tier has this order");
            }
            list.push((order, s.name.clone()));
        }
        list.sort();
        if list.is_empty() || list.len() > MAX_TIERS {
            self.out.add(0, "tier", format!("1 to {MAX_TIERS} tiers are needed"));
        }
        for (i, (order, name)) in list.iter().enumerate() {
            if usize::from(*order) != i {
                self.out.add(0, name, format!("tier orders must run from 0; {order} leaves a gap"));
            }
        }
        list.into_iter().map(|(_, name)| name).collect()
    }

    fn classes(&mut self, tiers: &[String], defaults: Params) -> IndexMap<String, Class> {
        let mut map = IndexMap::new();
        for s in self.sections_of("class") {
            let tier = s.require("tier", self.out);
            let order = tiers.iter().position(|t| *t == tier);
            if order.is_none() && !tier.is_empty() {
                self.out.add(s.line_of("tier"), "tier", format!("no tier is called `{tier}`"));
            }
            let mut params = defaults;
            self.params(s, &mut params);
            let flag = |key: &str, default: bool, out: &mut Findings| {
                s.read::<YesNo>(key, out).map_or(default, |y| y.0)
            };
            let class = Class {
                tier: order.unwrap_or(0) as u8,
                idempotent: flag("idempotent", true, self.out),
                protected: flag("protected", false, self.out),
                params,
            };
            if class.protected && tiers.len() > 1 && usize::from(class.tier) + 1 == tiers.len() {
                let text = "a protected class can't stand in the last tier";
                self.out.add(s.line_of("protected"), "protected", text);
            }
            map.insert(s.name.clone(), class);
        }
        if map.is_empty() {
            self.out.add(0, "class", "no class is defined");
        }
        map
    }

    /// Reads the name of a class from `key` and adds a finding if there is no such class.
    fn class_ref(&mut self, s: &Section, key: &str, classes: &IndexMap<String, Class>) -> String {
        let name = s.require(key, self.out);
        if !name.is_empty() && !classes.contains_key(&name) {
            self.out.add(s.line_of(key), key, format!("no class is called `{name}`"));
        }
        name
    }

    fn services(&mut self, classes: &IndexMap<String, Class>) -> IndexMap<String, Service> {
        let mut map: IndexMap<String, Service> = IndexMap::new();
        for s in self.sections_of("service") {
            let kind = match s.require("kind", self.out).as_str() {
                "engine" => Kind::Engine,
                "plain" => Kind::Plain,
                "" => Kind::Plain,
                other => {
                    let text = format!("`{other}` is neither engine nor plain");
                    self.out.add(s.line_of("kind"), "kind", text);
                    Kind::Plain
                }
            };
            let slots = s.read("slots", self.out).unwrap_or(1);
            if slots == 0 {
                self.out.add(s.line_of("slots"), "slots", "must be at least 1");
            }
            let models = s.word_list("models");
            let mut service = Service {
                kind,
                slots,
                models,
                read_class: String::new(),
                write_class: String::new(),
            };
            match kind {
                Kind::Engine if service.models.is_empty() => {
                    self.out.add(s.line, "models", "an engine service needs models");
                }
                Kind::Engine => {}
                Kind::Plain => {
                    service.read_class = self.class_ref(s, "read_class", classes);
                    service.write_class = self.class_ref(s, "write_class", classes);
                }
            }
            for (name, other) in &map {
                if let Some(model) = service.models.iter().find(|m| other.models.contains(m)) {
                    let text = format!("model `{model}` is served by `{name}` already");
                    self.out.add(s.line_of("models"), "models", text);
                }
            }
            map.insert(s.name.clone(), service);
        }
        if map.is_empty() {
            self.out.add(0, "service", "no service is defined");
        }
        map
    }

    /// Returns the workspaces by name, and their names by the hash of their token.
    fn workspaces(
        &mut self,
        classes: &IndexMap<String, Class>,
    ) -> (IndexMap<String, Workspace>, IndexMap<String, String>) {
        let mut map: IndexMap<String, Workspace> = IndexMap::new();
        let mut tokens: IndexMap<String, String> = IndexMap::new();
        for s in self.sections_of("workspace") {
            let text = s.require("token", self.out);
            let hash = text.strip_prefix(HASH_PREFIX).unwrap_or("");
            let is_hex = hash.bytes().all(|b| b.is_ascii_hexdigit());
            if !text.is_empty() && (hash.len() != HASH_HEX_LEN || !is_hex) {
                let text = "expected `sha256:` and 64 hex digits, not the token itself";
                self.out.add(s.line_of("token"), "token", text);
            }
            let token = hash.to_ascii_lowercase();
            if let Some(name) = tokens.insert(token.clone(), s.name.clone())
                && !token.is_empty()
            {
                let text = format!("workspace `{name}` has the same token");
                self.out.add(s.line_of("token"), "token", text);
            }
            let class = self.class_ref(s, "class", classes);
            let running = s.read("running", self.out).unwrap_or(0);
            map.insert(s.name.clone(), Workspace { token, class, running });
        }
        (map, tokens)
    }

    fn exceptions(&mut self, fleet: &mut FleetConfig) {
        for s in self.sections_of("exception") {
            let exception = self.exception(s, fleet);
            fleet.exceptions.push(exception);
        }
    }

    fn exception(&mut self, s: &Section, fleet: &FleetConfig) -> Exception {
        let text = |key: &str| s.get(key).map_or(String::new(), |v| v.text.clone());
        let mut e = Exception {
            name: s.name.clone(),
            workspace: text("workspace"),
            class: text("class"),
            domain: text("domain"),
            reason: s.require("reason", self.out),
            author: s.require("author", self.out),
            reviewer: s.require("reviewer", self.out),
            expires: 0,
            overrides: IndexMap::new(),
        };
        self.check_reviewer(s, &e.author, &e.reviewer);
        if e.workspace.is_empty() && e.class.is_empty() && e.domain.is_empty() {
            self.out.add(s.line, "class", "must name a workspace, a class or a domain");
        }
        if !e.class.is_empty() && !fleet.classes.contains_key(&e.class) {
            let text = format!("no class is called `{}`", e.class);
            self.out.add(s.line_of("class"), "class", text);
        }
        if !e.workspace.is_empty() && !fleet.workspaces.contains_key(&e.workspace) {
            let text = format!("no workspace is called `{}`", e.workspace);
            self.out.add(s.line_of("workspace"), "workspace", text);
        }
        if let Some(value) = s.get("expires") {
            match humantime::parse_rfc3339_weak(&value.text) {
                Ok(t) => {
                    e.expires =
                        t.duration_since(std::time::UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
                }
                Err(err) => self.out.add(value.line, "expires", format!("bad time: {err}")),
            }
        }
        self.overrides(s, fleet, &mut e);
        e
    }

    /// Reads the parameters that an exception sets, and checks their effect on each class that it
    /// covers.
    fn overrides(&mut self, s: &Section, fleet: &FleetConfig, e: &mut Exception) {
        let mut scratch = Params::default();
        for key in Params::KEYS {
            let Some(value) = s.get(key) else { continue };
            if key == "share" || key == "weight" || key == "queue" {
                let text = "holds for a whole class and can't be set by an exception";
                self.out.add(value.line, key, text);
                continue;
            }
            match scratch.set(key, &value.text) {
                Ok(()) => {
                    e.overrides.insert(key.to_owned(), value.text.clone());
                }
                Err(text) => self.out.add(value.line, key, text),
            }
        }
        let covered = fleet.classes.iter().filter(|(n, _)| e.class.is_empty() || e.class == **n);
        let mut changes = false;
        for (name, class) in covered {
            let mut after = class.params;
            e.apply(&mut after);
            changes |= after != class.params;
            let set_here =
                e.overrides.contains_key("first_token") || e.overrides.contains_key("deadline");
            if set_here && after.first_token > after.deadline {
                let text =
                    format!("first_token of class `{name}` would be later than its deadline");
                self.out.add(s.line, &s.title(), text);
            }
        }
        if !changes {
            self.out.add(s.line, &s.title(), "changes nothing");
        }
    }

    /// Checks the sum of the guaranteed shares, and that each class has one.
    fn check_shares(&mut self, fleet: &FleetConfig) {
        let sum: f64 = fleet.classes.values().map(|c| c.params.share).sum();
        if sum > MAX_SHARES {
            let text = format!("guaranteed shares add up to {sum:.2}, more than {MAX_SHARES}");
            self.out.add(0, "share", text);
        }
        let without = fleet.classes.iter().find(|(_, c)| c.params.share <= 0.0);
        if let Some((name, _)) = without {
            self.out.add(0, "share", format!("class `{name}` has no guaranteed share"));
        }
    }
}

/// Fleet-wide limits of `[defaults]`. Durations are in milliseconds.
struct Limits {
    crash_limit: u32,
    quarantine: u64,
    claim_window: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { crash_limit: 3, quarantine: 600_000, claim_window: 3_600_000 }
    }
}
