//! Test rig: runs a fleet on the loopback interface. Entry instances are separate processes. The
//! stand-ins for the platform and the endpoints run in the test process, and fault-injecting
//! proxies sit on the connections to the log, to the endpoints and between peers.
#![allow(dead_code, unreachable_pub, clippy::unwrap_used, clippy::expect_used)]

pub mod answers;
mod cases;
pub mod raw;

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use sassafrasworks::adapter::clock::Clock;
use sassafrasworks::adapter::http::Client;
use sassafrasworks::config::fleet::token_hash;
use sassafrasworks::load::client::{Caller, Response};
use sassafrasworks::standin::engine::EngineStandin;
use sassafrasworks::standin::log::LogStandin;
use sassafrasworks::standin::plain::PlainStandin;
use sassafrasworks::standin::proxy::{Fault, ProxyStandin};
use sassafrasworks::standin::world::{Plan, Standins};
use serde_json::Value;

/// Bearer token of the workspace in [`document`].
pub const TOKEN: &str = "recife-secret";
/// Failure domains, given to instances and endpoints in turn.
pub const DOMAINS: [&str; 3] = ["recife", "caruaru", "joao-pessoa"];
/// Log lines of each instance that a failed test prints.
const LOG_TAIL: usize = 200;
/// Timeout of a call to an instance, in milliseconds, and its largest response, in bytes.
const STATUS_TIMEOUT: u64 = 1_000;
const PAGE_LIMIT: u64 = 8 << 20;
/// Timeout of a wait for a condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Ports handed out by [`free_addr`]: below the range that the system uses for outgoing
/// connections.
const PORTS: std::ops::Range<u32> = 11_000..31_000;
/// Bits of the process id that are encoded in the loopback address: process ids are below 2^22.
const PID_BITS: u32 = 22;

/// Loopback address derived from the process id, so that no other test process can bind a port
/// between its allocation and its use.
pub fn own_ip() -> Ipv4Addr {
    let pid = std::process::id() & ((1 << PID_BITS) - 1);
    let net = u32::from(Ipv4Addr::new(127, 64, 0, 0));
    Ipv4Addr::from(net | pid)
}

/// Allocates an unused address. Each port is handed out once per process.
pub fn free_addr() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let port = PORTS.start + NEXT.fetch_add(1, Ordering::SeqCst);
    assert!(port < PORTS.end, "no ports left");
    SocketAddr::from((own_ip(), port as u16))
}

/// Number in the environment variable `name`; `default` when it is unset or invalid.
pub fn env(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default)
}

/// Polls until `done` returns true; panics with `what` after [`WAIT_TIMEOUT`].
pub fn until(what: &str, mut done: impl FnMut() -> bool) {
    until_within(what, WAIT_TIMEOUT, &mut done);
}

/// Polls until `done` returns true; panics with `what` after `limit`.
pub fn until_within(what: &str, limit: Duration, done: &mut dyn FnMut() -> bool) {
    let clock = Clock::system();
    let start = Instant::now();
    while !done() {
        assert!(start.elapsed() < limit, "timed out: {what}");
        clock.sleep(20);
    }
}

/// Sleeps, where the test needs time to pass. To wait for a condition, use [`until`].
pub fn sleep_ms(ms: u64) {
    Clock::system().sleep(ms);
}

/// Configuration document for tests, edited from version `base` by `author`. `more` is appended.
pub fn document(base: u64, author: &str, more: &str) -> String {
    let hash = token_hash(TOKEN);
    format!(
        "[fleet]\nbase = {base}\nauthor = {author}\nreviewer = tomas\nreason = a test\n\
         [defaults]\ndeadline = 20s\nclaim_window = 10m\n\
         [tier counter]\norder = 0\n[tier urgent]\norder = 1\n[tier steady]\norder = 2\n\
         [tier patient]\norder = 3\n\
         [class stock-lookup]\ntier = counter\nprotected = yes\nshare = 0.1\n\
         [class booking]\ntier = counter\nprotected = yes\nidempotent = no\nshare = 0.1\n\
         [class chat]\ntier = urgent\nshare = 0.1\n\
         [class layout]\ntier = steady\nshare = 0.1\n\
         [class assessment]\ntier = patient\nshare = 0.1\ndeadline = 60s\n\
         [class order]\ntier = urgent\nidempotent = no\n\
         [service spine]\nkind = engine\nslots = 4\nmodels = spine-1\n\
         [service orders]\nkind = plain\nslots = 16\nread_class = stock-lookup\n\
         write_class = booking\n\
         [workspace recife]\ntoken = sha256:{hash}\nclass = chat\n{more}"
    )
}

/// What a [`Rig`] starts, and with which settings.
pub struct RigConfig {
    /// Number of entry instances.
    pub entries: usize,
    /// Number of endpoints of the engine service `spine`.
    pub engines: usize,
    /// Number of endpoints of the plain service `orders`.
    pub plains: usize,
    /// Slots of an engine.
    pub slots: usize,
    /// Time of one step of an engine's batch, in milliseconds.
    pub step: u64,
    /// Time that an operation of the plain service takes, in milliseconds.
    pub took: u64,
    /// Retention of the log, in milliseconds.
    pub retention: u64,
    /// Delay of the instance list, in milliseconds.
    pub list_lag: u64,
    /// Text appended to the configuration document.
    pub more: String,
    /// More `--set` arguments (`key=value`) of the entry instances.
    pub set: Vec<String>,
    /// True to publish a configuration and to wait until all instances are ready.
    pub publish: bool,
}

impl Default for RigConfig {
    fn default() -> Self {
        Self {
            entries: 3,
            engines: 2,
            plains: 2,
            slots: 4,
            step: 5,
            took: 20,
            retention: 3_600_000,
            list_lag: 100,
            more: String::new(),
            set: Vec::new(),
            publish: true,
        }
    }
}

/// An entry instance, run as a separate process.
pub struct Instance {
    pub name: String,
    pub listen: SocketAddr,
    pub admin: SocketAddr,
    set: Vec<String>,
    dir: PathBuf,
    child: Option<Child>,
}

impl Instance {
    /// Starts the process. Its log output goes to a file.
    pub fn start(&mut self) {
        let file = self.dir.join("entry.ini");
        let log = std::fs::File::create(self.dir.join(format!("{}.log", self.name))).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_sassafras-entry"));
        command.arg(file).stderr(log).stdout(Stdio::null());
        for pair in &self.set {
            command.arg("--set").arg(pair);
        }
        self.child = Some(command.spawn().unwrap());
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(self.child.as_ref().unwrap());
        kill_process(pid, signal).unwrap();
    }

    /// Suspends the process (SIGSTOP).
    pub fn suspend(&self) {
        self.signal(Signal::STOP);
    }

    /// Continues the process after [`suspend`](Self::suspend) (SIGCONT).
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Requests a graceful shutdown (SIGTERM).
    pub fn sigterm(&self) {
        self.signal(Signal::TERM);
    }

    /// Kills the process (SIGKILL) without reaping it; [`kill`](Self::kill) or the drop does that.
    pub fn sigkill(&self) {
        self.signal(Signal::KILL);
    }

    /// Kills the process and reaps it. Does nothing when none runs.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    /// Highest resident memory of the process, in MB, and its open descriptors.
    pub fn usage(&self) -> (usize, usize) {
        let pid = self.child.as_ref().unwrap().id();
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
        let line = status.lines().find(|l| l.starts_with("VmHWM:")).unwrap();
        let kb: usize = line.split_whitespace().nth(1).unwrap().parse().unwrap();
        (kb >> 10, std::fs::read_dir(format!("/proc/{pid}/fd")).unwrap().count())
    }

    /// Exit code of the process; `None` while it runs, -1 if a signal ended it.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.as_mut().unwrap().try_wait().unwrap().map(|s| s.code().unwrap_or(-1))
    }

    /// Client for requests to this instance, with [`TOKEN`].
    pub fn caller(&self) -> Caller {
        Caller::new(&self.listen.to_string(), TOKEN)
    }

    /// Status page; `None` when the instance does not answer.
    pub fn status(&self) -> Option<Value> {
        Client::new(STATUS_TIMEOUT, PAGE_LIMIT)
            .get_json(&format!("http://{}/status", self.admin))
            .ok()
    }

    /// Configuration version in force; 0 when the instance has none or does not answer.
    pub fn version(&self) -> u64 {
        self.status().and_then(|s| s["version"].as_u64()).unwrap_or(0)
    }

    pub fn ready(&self) -> bool {
        Client::new(STATUS_TIMEOUT, PAGE_LIMIT)
            .get(&format!("http://{}/readyz", self.listen))
            .is_ok()
    }

    /// Metrics page; empty when the instance does not answer.
    pub fn metrics(&self) -> String {
        let page =
            Client::new(STATUS_TIMEOUT, PAGE_LIMIT).get(&format!("http://{}/metrics", self.admin));
        String::from_utf8(page.unwrap_or_default()).unwrap()
    }

    /// Log output since the last start.
    pub fn output(&self) -> String {
        std::fs::read_to_string(self.dir.join(format!("{}.log", self.name))).unwrap_or_default()
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            kill_process(Pid::from_child(&child), Signal::CONT).ok();
            child.kill().ok();
            child.wait().ok();
        }
    }
}

/// A running fleet with the stand-ins it depends on.
pub struct Rig {
    /// The stand-ins.
    pub world: Arc<Standins>,
    /// The entry instances: `e1`, `e2`, ...
    pub entries: Vec<Instance>,
    /// Address of the log stand-in, with no proxy before it.
    pub log_addr: SocketAddr,
    /// Directory for settings, documents and log files; deleted on drop.
    pub dir: PathBuf,
}

impl Rig {
    /// Starts the stand-ins and the instances. With `config.publish`, version 1 of the
    /// configuration is published before the instances start, and this returns when all of them are
    /// ready and see their peers and endpoints.
    pub fn start(config: &RigConfig) -> Self {
        let dir = std::env::temp_dir().join(format!("sassafras-{}", uuid::Uuid::new_v4()));
        std::fs::create_dir_all(&dir).unwrap();
        std::fs::write(dir.join("entry.ini"), "[entry]\n").unwrap();
        let (log, list) = (free_addr(), free_addr());
        let mut plan = format!(
            "[log]\nlisten = {log}\nretention = {}ms\nappends = 300\n[list]\nlisten = {list}\nlag = {}ms\n",
            config.retention, config.list_lag
        );
        let mut entries = Vec::new();
        for i in 0..config.entries {
            let (listen, admin, log_via, admin_via) =
                (free_addr(), free_addr(), free_addr(), free_addr());
            let (name, domain) = (format!("e{}", i + 1), DOMAINS[i % 3]);
            plan += &format!(
                "[entry {name}]\ndomain = {domain}\nlisten = {listen}\nadmin = {admin_via}\n\
                 [proxy log-{name}]\nlisten = {log_via}\ntarget = {log}\n\
                 [proxy admin-{name}]\nlisten = {admin_via}\ntarget = {admin}\n"
            );
            let mut set = vec![
                format!("name={name}"),
                format!("domain={domain}"),
                format!("listen={listen}"),
                format!("admin={admin}"),
                format!("log={log_via}"),
                format!("list={list}"),
                "gossip=100ms".to_owned(),
                "poll=100ms".to_owned(),
                "linger=200ms".to_owned(),
            ];
            set.extend(config.set.iter().cloned());
            entries.push(Instance { name, listen, admin, set, dir: dir.clone(), child: None });
        }
        for i in 0..config.engines {
            let (listen, via, domain) = (free_addr(), free_addr(), DOMAINS[i % 3]);
            plan += &format!(
                "[engine engine-{0}]\nservice = spine\ndomain = {domain}\nlisten = {listen}\n\
                 via = {via}\nslots = {1}\nstep = {2}ms\nprefill_us = 100\nlag = 50ms\n\
                 restart = 500ms\n[proxy engine-{0}]\nlisten = {via}\ntarget = {listen}\n",
                i + 1,
                config.slots,
                config.step
            );
        }
        for i in 0..config.plains {
            let (listen, via, domain) = (free_addr(), free_addr(), DOMAINS[i % 3]);
            plan += &format!(
                "[plain orders-{0}]\nservice = orders\ndomain = {domain}\nlisten = {listen}\n\
                 via = {via}\ntook = {1}ms\n[proxy orders-{0}]\nlisten = {via}\ntarget = {listen}\n",
                i + 1,
                config.took
            );
        }
        let plan = Plan::parse("plan", &plan).unwrap();
        let world = Standins::start(plan, &Clock::system()).unwrap();
        let mut rig = Self { world, entries, log_addr: log, dir };
        if config.publish {
            rig.publish(&document(0, "ines", &config.more)).unwrap();
        }
        for entry in &mut rig.entries {
            entry.start();
        }
        if config.publish {
            until("instances are ready", || rig.entries.iter().all(Instance::ready));
            until("all instances see their peers and endpoints", || {
                rig.entries.iter().all(|e| rig.sees_all(e))
            });
        }
        rig
    }

    /// True when the instance has received heartbeats of all others and knows endpoints of every
    /// service.
    pub fn sees_all(&self, entry: &Instance) -> bool {
        let Some(status) = entry.status() else {
            return false;
        };
        let peers = status["peers"].as_array().map_or(0, Vec::len);
        let reported = status["services"].as_array().is_some_and(|s| {
            s.iter().all(|s| s["endpoints"].as_array().is_some_and(|e| !e.is_empty()))
        });
        peers + 1 >= self.entries.len() && reported
    }

    /// Publishes a document with `sassafras-ctl`. Returns its standard output or, on failure, the
    /// exit code and standard error.
    pub fn publish(&self, text: &str) -> Result<String, (i32, String)> {
        let file = self.dir.join(format!("{}.ini", uuid::Uuid::new_v4()));
        std::fs::write(&file, text).unwrap();
        let out =
            self.ctl(&["publish", file.to_str().unwrap(), "--log", &self.log_addr.to_string()]);
        let text = |b: &[u8]| String::from_utf8_lossy(b).into_owned();
        match out.status.code() {
            Some(0) => Ok(text(&out.stdout)),
            code => Err((code.unwrap_or(-1), text(&out.stderr))),
        }
    }

    /// Runs `sassafras-ctl` to its end.
    pub fn ctl(&self, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_sassafras-ctl")).args(args).output().unwrap()
    }

    /// The log stand-in.
    pub fn log(&self) -> &LogStandin {
        self.world.log.as_ref().unwrap()
    }

    /// The engine stand-in of this name: `engine-1`, `engine-2`, ...
    pub fn engine(&self, name: &str) -> &EngineStandin {
        &self.world.engines[name]
    }

    /// The plain endpoint of this name: `orders-1`, `orders-2`, ...
    pub fn plain(&self, name: &str) -> &PlainStandin {
        &self.world.plains[name]
    }

    /// The proxy of this name: `log-e1` is between instance `e1` and the log, `admin-e1` between
    /// its peers and `e1`. The proxy of an endpoint has the endpoint's name.
    pub fn proxy(&self, name: &str) -> &ProxyStandin {
        &self.world.proxies[name]
    }

    /// Sets the fault of every proxy whose name starts with `prefix`.
    pub fn set_proxy_faults(&self, prefix: &str, fault: Fault) {
        for (_, p) in self.world.proxies.iter().filter(|(n, _)| n.starts_with(prefix)) {
            p.set_fault(fault);
        }
    }

    /// Sends a booking (a non-idempotent request) with an idempotency key through an instance. The
    /// status is 0 when the connection fails.
    pub fn book(&self, entry: usize, key: &str) -> Response {
        let caller = self.entries[entry].caller().key(key).header("x-operation", key);
        caller.send("POST", "/svc/orders/bookings", b"{\"crew\":7}").unwrap_or_default()
    }

    /// Number of times that the plain service executed an operation.
    pub fn executions(&self, operation: &str) -> u64 {
        self.world.counts.get(operation)
    }

    /// Panics if an instance reports invariant violations. Skips instances that do not answer.
    pub fn assert_no_violations(&self) {
        for entry in &self.entries {
            if let Some(status) = entry.status() {
                assert_eq!(status["violations"], 0, "{}: {}", entry.name, entry.output());
            }
        }
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        // When a test fails, prints the last log lines of each instance.
        if std::thread::panicking() {
            for entry in &self.entries {
                let output = entry.output();
                let tail: Vec<&str> = output.lines().rev().take(LOG_TAIL).collect();
                eprintln!("--- {}", entry.name);
                tail.iter().rev().for_each(|l| eprintln!("{l}"));
            }
        }
        self.entries.clear();
        std::fs::remove_dir_all(&self.dir).ok();
    }
}
