//! Runs the stand-ins that an INI file describes, with a control server that sets their faults.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use serde_json::json;

use super::engine::{EngineOptions, EngineStandin};
use super::list::ListStandin;
use super::log::LogStandin;
use super::plain::{Counts, PlainStandin};
use super::proxy::{self, ProxyStandin};
use super::{query_number, query_param, send_json, serve};
use crate::adapter::clock::Clock;
use crate::adapter::list::{Instance, Phase, Role};
use crate::adapter::serve::{Request, ResponseWriter};
use crate::config::Findings;
use crate::config::ini::{self, DurationMs, Section};

/// The stand-ins to start, as read from the file.
#[derive(Debug, Default)]
pub struct Plan {
    /// Address of the control server.
    control: Option<SocketAddr>,
    /// Address, retention period in milliseconds, and appends per second.
    log: Option<(SocketAddr, u64, f64)>,
    /// Address, and delay of changes in milliseconds.
    list: Option<(SocketAddr, u64)>,
    engines: Vec<(Instance, SocketAddr, EngineOptions)>,
    /// Row in the list, address, and execution time in milliseconds.
    plains: Vec<(Instance, SocketAddr, u64)>,
    /// Rows in the list for entry instances, which are started elsewhere.
    entries: Vec<Instance>,
    /// Name, address to listen on, and target.
    proxies: Vec<(String, SocketAddr, SocketAddr)>,
}

impl Plan {
    /// Parses a plan from `text`. `file` is the name used in findings.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        let mut out = Findings::new(file);
        let sections = ini::parse(text, &mut out);
        let mut plan = Self::default();
        for s in &sections {
            plan.section(s, &mut out);
            s.report_unknown(&mut out);
        }
        out.finish(plan)
    }

    /// Adds one section of the file to the plan.
    fn section(&mut self, s: &Section, out: &mut Findings) {
        let duration = |key: &str, default: u64, out: &mut Findings| {
            s.read::<DurationMs>(key, out).map_or(default, |v| v.0)
        };
        match s.kind.as_str() {
            "control" => self.control = addr(s, "listen", out),
            "log" => {
                let retention = duration("retention", 3_600_000, out);
                let rate = s.read("appends", out).unwrap_or(300.0);
                self.log = addr(s, "listen", out).map(|a| (a, retention, rate));
            }
            "list" => {
                let lag = duration("lag", 1_000, out);
                self.list = addr(s, "listen", out).map(|a| (a, lag));
            }
            "engine" => {
                let options = EngineOptions {
                    slots: s.read("slots", out).unwrap_or(8),
                    step: duration("step", 20, out),
                    prefill: s.read("prefill_us", out).unwrap_or(500),
                    lag: duration("lag", 300, out),
                    restart: duration("restart", 2_000, out),
                };
                if let Some(a) = addr(s, "listen", out) {
                    self.engines.push((instance(s, Role::Endpoint, out), a, options));
                }
            }
            "plain" => {
                let latency = duration("took", 20, out);
                if let Some(a) = addr(s, "listen", out) {
                    self.plains.push((instance(s, Role::Endpoint, out), a, latency));
                }
            }
            "entry" => {
                let row = instance(s, Role::Entry, out);
                self.entries.push(row);
            }
            "proxy" => {
                if let (Some(a), Some(t)) = (addr(s, "listen", out), addr(s, "target", out)) {
                    self.proxies.push((s.name.clone(), a, t));
                }
            }
            _ => out.add(s.line, &s.title(), "unknown section"),
        }
    }
}

/// Required address of a section; its absence is a finding.
fn addr(s: &Section, key: &str, out: &mut Findings) -> Option<SocketAddr> {
    if s.get(key).is_none() {
        out.add(s.line, key, format!("missing in [{}]", s.title()));
    }
    s.read(key, out)
}

/// Row in the instance list for a section. Its address is that of the proxy in `via`, if any.
fn instance(s: &Section, role: Role, out: &mut Findings) -> Instance {
    let listen = s.get("listen").map_or(String::new(), |v| v.text.clone());
    let service = match role {
        Role::Endpoint => s.require("service", out),
        Role::Entry => String::new(),
    };
    let admin = match role {
        Role::Endpoint => String::new(),
        Role::Entry => s.require("admin", out),
    };
    Instance {
        name: s.name.clone(),
        role,
        service,
        domain: s.require("domain", out),
        addr: s.get("via").map_or(listen, |v| v.text.clone()),
        admin,
        phase: Phase::Live,
    }
}

/// The running stand-ins.
pub struct Standins {
    /// The log, if the plan has one.
    pub log: Option<Arc<LogStandin>>,
    /// The instance list, if the plan has one.
    pub list: Option<Arc<ListStandin>>,
    /// Engines by name.
    pub engines: IndexMap<String, Arc<EngineStandin>>,
    /// Endpoints of plain services by name.
    pub plains: IndexMap<String, Arc<PlainStandin>>,
    /// Execution counts of all plain services.
    pub counts: Arc<Counts>,
    /// Proxies by name.
    pub proxies: IndexMap<String, Arc<ProxyStandin>>,
}

impl Standins {
    /// Starts all stand-ins of the plan. Fails if an address cannot be bound.
    pub fn start(plan: Plan, clock: &Clock) -> io::Result<Arc<Self>> {
        let mut rows: Vec<Instance> = plan.entries;
        rows.extend(plan.engines.iter().map(|(i, ..)| i.clone()));
        rows.extend(plan.plains.iter().map(|(i, ..)| i.clone()));
        let counts = Arc::new(Counts::default());
        let mut standins = Self {
            log: None,
            list: None,
            engines: IndexMap::new(),
            plains: IndexMap::new(),
            counts: Arc::clone(&counts),
            proxies: IndexMap::new(),
        };
        if let Some((addr, retention, rate)) = plan.log {
            let log = LogStandin::new(clock.clone(), retention, rate);
            log.serve(addr)?;
            standins.log = Some(log);
        }
        if let Some((addr, lag)) = plan.list {
            let list = ListStandin::new(clock.clone(), lag, rows);
            list.serve(addr)?;
            standins.list = Some(list);
        }
        for (row, addr, options) in plan.engines {
            let engine = EngineStandin::new(clock.clone(), &row.name, options);
            engine.serve(addr)?;
            standins.engines.insert(row.name, engine);
        }
        for (row, addr, latency) in plan.plains {
            let plain = PlainStandin::new(clock.clone(), &row.name, Arc::clone(&counts), latency);
            plain.serve(addr)?;
            standins.plains.insert(row.name, plain);
        }
        for (name, addr, target) in plan.proxies {
            let proxy = ProxyStandin::start(clock.clone(), addr, target)?;
            standins.proxies.insert(name, proxy);
        }
        let standins = Arc::new(standins);
        if let Some(addr) = plan.control {
            let inner = Arc::clone(&standins);
            serve(addr, move |request, writer| inner.control(&request, writer))?;
        }
        Ok(standins)
    }

    /// Handles a control request: sets a fault or returns counters. Status 404 means that the
    /// stand-in or the fault is unknown.
    fn control(&self, request: &Request, writer: &mut ResponseWriter<'_>) {
        let name = query_param(request, "name").unwrap_or("");
        let done = match request.path.as_str() {
            "/counts" => return send_json(writer, 200, &json!(self.counts.all())),
            "/totals" => return send_json(writer, 200, &self.totals()),
            "/log" => self.log.as_ref().is_some_and(|log| log.control(request)),
            "/list" => self.list.as_ref().is_some_and(|list| list_control(list, name, request)),
            "/engine" => self.engines.get(name).is_some_and(|e| engine_control(e, request)),
            "/plain" => self.plains.get(name).is_some_and(|p| plain_control(p, request)),
            "/proxy" => self.proxies.get(name).is_some_and(|p| proxy_control(p, request)),
            _ => false,
        };
        let status = if done { 200 } else { 404 };
        send_json(writer, status, &json!({ "done": done }));
    }

    /// Counters of all engines and of the log.
    fn totals(&self) -> serde_json::Value {
        let engines: IndexMap<&str, _> =
            self.engines.iter().map(|(n, e)| (n.as_str(), e.totals())).collect();
        let log = self.log.as_ref().map(|l| l.counts()).unwrap_or_default();
        json!({ "engines": engines, "appends": log.0, "reads": log.1 })
    }
}

/// Sets the phase of an instance, removes it (`phase=gone`), takes the list down or up, or sets its
/// lag. Returns false if there is no instance of that name.
fn list_control(list: &ListStandin, name: &str, request: &Request) -> bool {
    match query_param(request, "phase") {
        Some("live") => list.set_phase(name, Phase::Live),
        Some("leaving") => list.set_phase(name, Phase::Leaving),
        Some("gone") => {
            list.remove(name);
            true
        }
        _ => {
            if let Some(down) = query_param(request, "down") {
                list.set_down(down == "yes");
                return true;
            }
            list.set_lag(query_number(request, "lag", 1_000));
            true
        }
    }
}

/// Sets or clears a fault of an engine. Returns false if the fault is unknown.
fn engine_control(engine: &EngineStandin, request: &Request) -> bool {
    match query_param(request, "fault") {
        Some("crash") => engine.crash(),
        Some("slow") => engine.set_slowdown(query_number(request, "ratio", 4)),
        Some("draining") => engine.set_draining(true),
        Some("crossed") => engine.set_crossed(true),
        Some("none") => {
            engine.set_slowdown(1);
            engine.set_draining(false);
            engine.set_crossed(false);
        }
        _ => return false,
    }
    true
}

/// Sets or clears a fault of a plain endpoint; `none` leaves the execution time as it is. Returns
/// false if the fault is unknown.
fn plain_control(plain: &PlainStandin, request: &Request) -> bool {
    match query_param(request, "fault") {
        Some("down") => plain.set_down(true),
        Some("slow") => plain.set_latency(query_number(request, "ms", 1_000)),
        Some("draining") => plain.set_draining(true),
        Some("none") => {
            plain.set_down(false);
            plain.set_draining(false);
        }
        _ => return false,
    }
    true
}

/// Sets or clears the fault of a proxy. Returns false if the fault is unknown.
fn proxy_control(proxy: &ProxyStandin, request: &Request) -> bool {
    let fault = match query_param(request, "fault") {
        Some("none") => proxy::Fault::None,
        Some("cut") => proxy::Fault::Cut,
        Some("freeze") => proxy::Fault::Freeze,
        Some("cut_answers") => proxy::Fault::CutResponses,
        Some("delay") => proxy::Fault::Delay(query_number(request, "ms", 100)),
        _ => return false,
    };
    proxy.set_fault(fault);
    true
}
