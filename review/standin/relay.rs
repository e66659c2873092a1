//! The project's own program in processes of their own, with the command of the deploy file.

use std::fs::File;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::{http, record};

/// Processes to end when the case ends.
static ALL: Mutex<Vec<(Arc<Mutex<Child>>, PathBuf)>> = Mutex::new(Vec::new());

/// Ends all processes and removes their folders.
pub fn kill_all() {
    for (child, dir) in std::mem::take(&mut *ALL.lock().unwrap()) {
        let mut child = child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
        let _ = std::fs::remove_dir_all(dir);
    }
}

/// A running relay.
#[derive(Clone)]
pub struct Relay {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Arc<Mutex<Child>>,
    dir: PathBuf,
}

/// A random loopback address, so that the fixed port of the metrics is free.
fn own_ip() -> String {
    use std::hash::{BuildHasher, Hasher};
    let n = std::collections::hash_map::RandomState::new().build_hasher().finish();
    format!("127.{}.{}.{}", 64 + n % 128, (n >> 8) % 250, 1 + (n >> 16) % 250)
}

fn free(ip: &str) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind(format!("{ip}:0")).map_err(|e| e.to_string())?;
    listener.local_addr().map_err(|e| e.to_string())
}

impl Relay {
    /// Starts a relay that reads from the store at `store`, and waits until it is ready.
    pub fn start(name: &str, store: SocketAddr) -> Result<Self, String> {
        let ip = own_ip();
        let (front, ready, control, peers) = (free(&ip)?, free(&ip)?, free(&ip)?, free(&ip)?);
        let dir =
            std::env::temp_dir().join(format!("review-{name}-{}-{front}", std::process::id()));
        std::fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
        let settings = dir.join("settings.json");
        let text = settings_text(name, &ip, front, ready, control, peers.port(), store);
        std::fs::write(&settings, text).map_err(|e| e.to_string())?;
        let log = File::create(dir.join("log")).map_err(|e| e.to_string())?;
        let errors = log.try_clone().map_err(|e| e.to_string())?;
        let mut command = Command::new("target/release/sassafras-relay");
        command.env("SASSAFRASWORKS_CONFIG", &settings).stdin(Stdio::null());
        command.stdout(log).stderr(errors);
        // The relay ends with the case, however that ends.
        unsafe { command.pre_exec(end_with_parent) };
        let child = command.spawn().map_err(|e| format!("can't start the relay: {e}"))?;
        let child = Arc::new(Mutex::new(child));
        ALL.lock().unwrap().push((Arc::clone(&child), dir.clone()));
        let relay = Self { front, ready, child, dir };
        let start = Instant::now();
        while !relay.is_ready() {
            if start.elapsed() > Duration::from_secs(15) {
                return Err(format!("{name} is not ready: {}", relay.log_tail(5)));
            }
            thread::sleep(Duration::from_millis(20));
        }
        record::line(&format!("{name}: ready"));
        Ok(relay)
    }

    /// The platform's readiness check.
    pub fn is_ready(&self) -> bool {
        let Ok(mut sock) = TcpStream::connect_timeout(&self.ready, Duration::from_secs(1)) else {
            return false;
        };
        let _ = sock.set_read_timeout(Some(Duration::from_secs(1)));
        let request =
            b"GET /sassafrasworks/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        http::write(&mut sock, request)
            && http::read(&mut sock, &mut Vec::new()).is_some_and(|m| m.status() == 200)
    }

    /// Exit status, once the process has ended.
    pub fn exit(&self) -> Option<String> {
        let status = self.child.lock().unwrap().try_wait().ok()??;
        Some(status.to_string())
    }

    pub fn pid(&self) -> u32 {
        self.child.lock().unwrap().id()
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        unsafe extern "C" {
            fn kill(pid: i32, signal: i32) -> i32;
        }
        const SIGTERM: i32 = 15;
        if self.exit().is_none() {
            unsafe { kill(self.pid() as i32, SIGTERM) };
        }
    }

    /// Kills the process, as the platform does to one that uses more memory than it may.
    pub fn kill(&self) {
        let _ = self.child.lock().unwrap().kill();
    }

    /// Resident memory in MB.
    pub fn memory(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.pid()));
        let text = text.unwrap_or_default();
        let line = text.lines().find(|l| l.starts_with("VmRSS:"));
        line.and_then(|l| l.split_whitespace().nth(1)?.parse::<u64>().ok()).unwrap_or(0) / 1_024
    }

    /// Last lines of the process's output.
    pub fn log_tail(&self, lines: usize) -> String {
        let text = std::fs::read(self.dir.join("log")).unwrap_or_default();
        let text = String::from_utf8_lossy(&text).into_owned();
        let all: Vec<&str> = text.lines().collect();
        all[all.len().saturating_sub(lines)..].join("\n")
    }

    /// Lines of the output that contain `text`.
    pub fn log_with(&self, text: &str) -> Vec<String> {
        let log = std::fs::read(self.dir.join("log")).unwrap_or_default();
        let log = String::from_utf8_lossy(&log).into_owned();
        log.lines().filter(|l| l.contains(text)).map(str::to_owned).collect()
    }
}

/// Makes the kernel kill this process when its parent ends.
fn end_with_parent() -> std::io::Result<()> {
    unsafe extern "C" {
        fn prctl(option: i32, value: u64) -> i32;
    }
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) };
    Ok(())
}

/// Settings as on the pages, for one zone.
fn settings_text(
    name: &str,
    ip: &str,
    front: SocketAddr,
    ready: SocketAddr,
    control: SocketAddr,
    port: u16,
    store: SocketAddr,
) -> String {
    format!(
        r#"{{"node": "{name}", "role": "relay", "machine-class": "edge", "serves": ["edge", "control"],
"ip": "{ip}", "zone": "recife", "region": "nordeste", "zones": {{"recife": "nordeste"}},
"listen": {{"front": "{front}", "ready": "{ready}", "control": "{control}"}},
"port-range": [{port}, {port}], "seeds": [], "bootstrap": true, "counts-as-loss": false,
"limits": {{"cpu-share": 0.25, "cores": 1, "memory-mb": 260, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0}},
"data-dir": null, "discovery": "platform", "entry": "vip", "heartbeat-ms": 1200,
"contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"],
"fault-tolerance": {{"machines": 1, "zones": 0, "regions": 0}},
"bounds": {{"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4,
"drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200, "config-apply-ms": 2000, "rollback-slack-ms": 250,
"max-stretch-ms": 5000, "strict-revocation": false, "revoke-ms": 5000, "retry-budget-ratio": 0.2,
"budget-window-s": 10, "budget-extra": 58, "recover-s": 12, "event-delay-ms": 120, "reuse-window-s": 10}},
"platform": {{"address": "{store}", "form": "log", "writes-per-s": 400, "reads-per-s": 2000, "parts": 24,
"append-ms": 1.0, "part-mb-per-s": 20.0, "read-mb-per-s": 80.0, "record-bytes": 262144,
"call-bytes": 2097152, "keep_s": 300, "part-mb": 200, "ttl-min-ms": 1000}}}}"#
    )
}
