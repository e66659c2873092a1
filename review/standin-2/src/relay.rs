//! The relay as a process of its own, started with the command of the deploy file.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::net::{end_with_parent, free_addr, read_head, signal};

/// Command of the deploy file, seen from the root of the repository.
const PROGRAM: &str = "target/release/sassafras-relay";

pub struct Relay {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

impl Relay {
    /// Starts an instance with the settings of a machine of the small deployments.
    pub fn start(dir: &Path, name: &str, ip: Ipv4Addr, store: SocketAddr) -> Self {
        let (front, ready, control) = (free_addr(ip), free_addr(ip), free_addr(ip));
        let first = free_addr(ip).port();
        let settings = format!(
            r#"{{"node":"{name}","role":"relay","machine-class":"edge","serves":["edge","control"],
"ip":"{ip}","zone":"recife","region":"nordeste","zones":{{"recife":"nordeste"}},
"listen":{{"front":"{front}","ready":"{ready}","control":"{control}"}},
"port-range":[{first},{first}],"seeds":[],"bootstrap":true,"counts-as-loss":false,
"limits":{{"cpu-share":0.25,"cores":1,"memory-mb":260,"max-fds":4100,"link-mbps":1000.0,"disk-mb":0}},
"data-dir":null,"discovery":"platform","entry":"vip","heartbeat-ms":1200,
"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"],
"fault-tolerance":{{"machines":1,"zones":0,"regions":0}},
"bounds":{{"seed-lag-s":3,"reuse-after-s":2,"contact-ms":3000,"ack-ms":4000,"catch-up-s":4,"drain-ms":2000,
"grace-s":8,"loss-slack-ms":200,"config-apply-ms":2000,"rollback-slack-ms":250,"max-stretch-ms":5000,
"strict-revocation":false,"revoke-ms":5000,"retry-budget-ratio":0.2,"budget-window-s":10,"budget-extra":58,
"recover-s":12,"event-delay-ms":120,"reuse-window-s":10}},
"platform":{{"address":"{store}","form":"log","writes-per-s":400,"reads-per-s":2000,"parts":24,"append-ms":1.0,
"part-mb-per-s":20.0,"read-mb-per-s":80.0,"record-bytes":262144,"call-bytes":2097152,"keep_s":300,"part-mb":200,
"ttl-min-ms":1000}}}}"#
        );
        let path = dir.join(format!("{name}.json"));
        std::fs::write(&path, settings).expect("settings written");
        let child = spawn(&path, &dir.join(format!("{name}.log")));
        Self { name: name.to_owned(), front, ready, child }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, number: i32) {
        signal(self.child.id(), number);
    }

    /// True when the readiness check succeeds.
    pub fn is_ready(&self) -> bool {
        use std::io::Write;
        let Ok(mut sock) = TcpStream::connect(self.ready) else { return false };
        let request =
            b"GET /sassafrasworks/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        sock.set_read_timeout(Some(Duration::from_secs(1))).ok();
        sock.write_all(request).is_ok()
            && read_head(&mut sock, &mut Vec::new()).is_some_and(|h| h.status() == 200)
    }

    /// Waits until the readiness check succeeds.
    pub fn wait_ready(&self) -> bool {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(20) {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

fn spawn(settings: &PathBuf, log: &Path) -> Child {
    let log = File::create(log).expect("log created");
    let mut command = Command::new(PROGRAM);
    // The call is safe between fork and exec.
    unsafe { command.pre_exec(end_with_parent) };
    command
        .env("SASSAFRASWORKS_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("log shared"))
        .stderr(log)
        .spawn()
        .expect("the relay is built")
}
