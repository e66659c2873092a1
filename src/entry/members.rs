//! Follows the instance list and the endpoints' load reports.

use std::sync::Arc;
use std::thread;

use indexmap::IndexSet;

use super::{Entry, gossip, lock, number_of};
use crate::adapter::clock::Millis;
use crate::adapter::http::Client;
use crate::adapter::list::{Instance, Phase, Role};
use crate::policy::endpoint::{Health, Report};

/// Longest wait for a load report, in milliseconds.
const REPORT_LIMIT: u64 = 1_000;
/// Interval of the instance list, in milliseconds.
const LIST_EVERY: u64 = 1_000;

/// The instance list as last read.
#[derive(Debug, Default)]
pub struct Members {
    rows: Vec<Instance>,
    read: Millis,
    polled: IndexSet<String>,
}

impl Members {
    /// When the list was last read; 0 for never.
    pub fn read(&self) -> Millis {
        self.read
    }
}

/// Starts following.
pub fn start(entry: &Arc<Entry>) {
    entry.spawn("list", |entry| {
        match entry.list.read() {
            Ok(rows) => {
                {
                    let mut members = lock(&entry.members);
                    members.read = entry.now();
                    members.rows = rows.clone();
                }
                apply(entry);
                gossip::meet(entry, &rows);
                poll_all(entry, &rows);
            }
            Err(e) => tracing::debug!("list: can't be read: {e}."),
        }
        gauge(entry);
        entry.clock.sleep(LIST_EVERY);
    });
}

/// Gives the dispatchers the endpoints and instances of the list.
pub fn apply(entry: &Entry) {
    let rows = lock(&entry.members).rows.clone();
    let Some(fleet) = entry.fleet() else { return };
    if rows.is_empty() {
        return;
    }
    let now = entry.now();
    let entries: Vec<u64> =
        rows.iter().filter(|r| r.role == Role::Entry).map(|r| number_of(&r.name)).collect();
    for dispatcher in entry.dispatchers() {
        let Some(service) = fleet.services.get(&dispatcher.name) else {
            continue;
        };
        let of_service = |r: &&Instance| r.role == Role::Endpoint && r.service == dispatcher.name;
        let list: Vec<(String, String, String, bool)> = rows
            .iter()
            .filter(of_service)
            .map(|r| {
                let leaving = r.phase == Phase::Leaving;
                (r.name.clone(), r.addr.clone(), r.domain.clone(), leaving)
            })
            .collect();
        dispatcher.with(now, |pool| {
            pool.set_endpoints(&list, service.slots);
            pool.set_peers(&entries);
        });
    }
}

impl Entry {
    /// Row of an instance in the list.
    pub(super) fn row(&self, name: &str) -> Option<Instance> {
        lock(&self.members).rows.iter().find(|r| r.name == name).cloned()
    }

    /// Rows of the other entry instances.
    pub(super) fn peer_rows(&self) -> Vec<Instance> {
        let members = lock(&self.members);
        let peers = members.rows.iter().filter(|r| r.role == Role::Entry);
        peers.filter(|r| r.name != self.settings.name).cloned().collect()
    }
}

fn poll_all(entry: &Arc<Entry>, rows: &[Instance]) {
    for row in rows.iter().filter(|r| r.role == Role::Endpoint) {
        if !lock(&entry.members).polled.insert(row.name.clone()) {
            continue;
        }
        let (inner, name) = (Arc::clone(entry), row.name.clone());
        thread::spawn(move || {
            poll(&inner, &name);
            lock(&inner.members).polled.swap_remove(&name);
        });
    }
}

/// Reads load reports of one endpoint until it is no longer listed.
fn poll(entry: &Arc<Entry>, name: &str) {
    let client = Client::new(REPORT_LIMIT);
    while !entry.stopped() {
        let Some(row) = entry.row(name) else { return };
        if let Ok(report) = read_report(&client, &row.addr)
            && let Some(dispatcher) = entry.dispatcher(&row.service)
        {
            let now = entry.now();
            if let Some(crash) = crash_id(name, &report.boot) {
                gossip::alive(entry, &crash);
            }
            dispatcher.with(now, |pool| pool.apply_report(now, name, report));
        }
        entry.clock.sleep(entry.settings.poll);
    }
}

fn read_report(client: &Client, addr: &str) -> Result<Report, crate::adapter::http::CallError> {
    client.get_json(&format!("http://{addr}/load"))
}

/// Names the end of an endpoint's life; `None` before its first report, as a crash of an unknown
/// life could never be taken back.
pub fn crash_id(endpoint: &str, boot: &str) -> Option<String> {
    (!boot.is_empty()).then(|| format!("{endpoint}/{boot}"))
}

/// What a look at an endpoint after a fault tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Look {
    /// It lives on as before.
    Alive,
    /// It has restarted or is gone.
    Crashed,
}

/// Finds out whether an endpoint in the life `boot` has crashed.
pub fn look(addr: &str, boot: &str) -> Look {
    match read_report(&Client::new(REPORT_LIMIT), addr) {
        Ok(report) if boot.is_empty() || report.boot == boot => Look::Alive,
        Ok(_) | Err(_) => Look::Crashed,
    }
}

fn gauge(entry: &Entry) {
    use super::metrics::{EndpointLabels, EndpointState};
    for dispatcher in entry.dispatchers() {
        let states: Vec<EndpointState> = dispatcher.read(|pool| {
            let state = |leaving, health| match (leaving, health) {
                (true, _) => EndpointState::Leaving,
                (false, Health::Up) => EndpointState::Up,
                (false, _) => EndpointState::Out,
            };
            pool.endpoints().map(|e| state(e.leaving, e.health)).collect()
        });
        for state in [EndpointState::Up, EndpointState::Out, EndpointState::Leaving] {
            let n = states.iter().filter(|s| **s == state).count();
            let labels = EndpointLabels { service: dispatcher.name.clone(), state };
            entry.metrics.endpoints.get_or_create(&labels).set(n as i64);
        }
    }
}
