//! Polls the instance list and the load reports of endpoints.

use std::sync::Arc;
use std::thread;

use indexmap::IndexSet;

use super::{Entry, gossip, instance_id, lock};
use crate::adapter::clock::Millis;
use crate::adapter::http::Client;
use crate::adapter::list::{Instance, Phase, Role};
use crate::policy::endpoint::{Health, Report};

/// Timeout of a request for a load report, in milliseconds.
const REPORT_TIMEOUT: u64 = 1_000;
/// Largest load report, in bytes.
const REPORT_LIMIT: u64 = 256 << 10;
/// Interval between reads of the instance list, in milliseconds.
const LIST_INTERVAL: u64 = 1_000;
/// Interval between two checks whether an endpoint has been polled, in milliseconds.
const FIRST_POLL_CHECK: u64 = 5;

/// The instance list as last read.
#[derive(Debug, Default)]
pub struct Members {
    instances: Vec<Instance>,
    read_at: Millis,
    /// Names of the endpoints that have a polling thread.
    polled: IndexSet<String>,
    /// Names of those whose first poll is complete: it got no report, or one that their pool has.
    tried: IndexSet<String>,
}

impl Members {
    /// Time at which the list was last read; 0 if it never was.
    pub fn read_at(&self) -> Millis {
        self.read_at
    }
}

/// Starts the thread that polls the instance list.
pub fn start(entry: &Arc<Entry>) {
    entry.spawn_loop("list", |entry| {
        match entry.list.read() {
            Ok(instances) => {
                {
                    let mut members = lock(&entry.members);
                    members.read_at = entry.now();
                    members.instances = instances.clone();
                }
                apply(entry);
                gossip::start_exchanges(entry, &instances);
                start_polls(entry, &instances);
            }
            Err(e) => tracing::debug!("list: can't be read: {e}."),
        }
        update_gauges(entry);
        entry.clock.sleep(LIST_INTERVAL);
    });
}

/// Passes the listed endpoints and entry instances to the dispatchers. An empty list is ignored.
pub fn apply(entry: &Entry) {
    let instances = lock(&entry.members).instances.clone();
    let Some(fleet) = entry.fleet() else { return };
    if instances.is_empty() {
        return;
    }
    let now = entry.now();
    let entries: Vec<u64> =
        instances.iter().filter(|i| i.role == Role::Entry).map(|i| instance_id(&i.name)).collect();
    for dispatcher in entry.dispatchers() {
        let Some(service) = fleet.services.get(&dispatcher.name) else {
            continue;
        };
        let in_service = |i: &&Instance| i.role == Role::Endpoint && i.service == dispatcher.name;
        let list: Vec<(String, String, String, bool)> = instances
            .iter()
            .filter(in_service)
            .map(|i| {
                let leaving = i.phase == Phase::Leaving;
                (i.name.clone(), i.addr.clone(), i.domain.clone(), leaving)
            })
            .collect();
        dispatcher.with(now, |pool| {
            pool.set_endpoints(&list, service.slots);
            pool.set_peers(&entries);
        });
    }
}

impl Entry {
    /// Looks up an instance in the list by name.
    pub(super) fn listed_instance(&self, name: &str) -> Option<Instance> {
        lock(&self.members).instances.iter().find(|i| i.name == name).cloned()
    }

    /// Waits until the first poll of an endpoint is complete, at most as long as one may take.
    /// Without a report, its incarnation is unknown and a crash there could not be counted.
    pub(super) fn await_first_poll(&self, endpoint: &str) {
        let until = self.now() + REPORT_TIMEOUT;
        while !lock(&self.members).tried.contains(endpoint) && self.now() < until {
            self.clock.sleep(FIRST_POLL_CHECK);
        }
    }

    /// The other entry instances in the list.
    pub(super) fn peer_instances(&self) -> Vec<Instance> {
        let members = lock(&self.members);
        let peers = members.instances.iter().filter(|i| i.role == Role::Entry);
        peers.filter(|i| i.name != self.settings.name).cloned().collect()
    }
}

/// Starts a polling thread for each listed endpoint that has none.
fn start_polls(entry: &Arc<Entry>, instances: &[Instance]) {
    for instance in instances.iter().filter(|i| i.role == Role::Endpoint) {
        if !lock(&entry.members).polled.insert(instance.name.clone()) {
            continue;
        }
        let (inner, name) = (Arc::clone(entry), instance.name.clone());
        thread::spawn(move || {
            poll(&inner, &name);
            let mut members = lock(&inner.members);
            members.polled.swap_remove(&name);
            members.tried.swap_remove(&name);
        });
    }
}

/// Polls the load reports of one endpoint until it is no longer listed.
fn poll(entry: &Arc<Entry>, name: &str) {
    let client = Client::new(REPORT_TIMEOUT, REPORT_LIMIT);
    while !entry.stopped() {
        let Some(instance) = entry.listed_instance(name) else { return };
        if poll_once(entry, &client, &instance) {
            lock(&entry.members).tried.insert(name.to_owned());
        }
        entry.clock.sleep(entry.settings.poll);
    }
}

/// Polls an endpoint once. Returns false if its pool could not take a report: before the first
/// configuration there are no pools.
fn poll_once(entry: &Entry, client: &Client, instance: &Instance) -> bool {
    let report = read_report(client, &instance.addr);
    let Some(dispatcher) = entry.dispatcher(&instance.service) else { return false };
    let Ok(report) = report else { return true };
    let (now, name) = (entry.now(), &instance.name);
    if let Some(crash) = crash_id(name, &report.boot) {
        gossip::revoke_crash(entry, &crash);
    }
    dispatcher.with(now, |pool| {
        pool.apply_report(now, name, report);
        !pool.boot(name).is_empty()
    })
}

fn read_report(client: &Client, addr: &str) -> Result<Report, crate::adapter::http::CallError> {
    client.get_json(&format!("http://{addr}/load"))
}

/// Id of a crash: the endpoint and the incarnation that ended. `None` if the incarnation is
/// unknown, before the endpoint's first report: such a crash could never be revoked.
pub fn crash_id(endpoint: &str, boot: &str) -> Option<String> {
    (!boot.is_empty()).then(|| format!("{endpoint}/{boot}"))
}

/// Result of checking an endpoint after a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// It still runs in the same incarnation.
    Alive,
    /// It has restarted or does not answer.
    Crashed,
}

/// Checks by a load report whether an endpoint has crashed. `boot` is the incarnation in which it
/// was last known; if it is empty, any report counts as alive.
pub fn check_liveness(addr: &str, boot: &str) -> Liveness {
    match read_report(&Client::new(REPORT_TIMEOUT, REPORT_LIMIT), addr) {
        Ok(report) if boot.is_empty() || report.boot == boot => Liveness::Alive,
        Ok(_) | Err(_) => Liveness::Crashed,
    }
}

/// Updates the gauges of endpoints by service and state.
fn update_gauges(entry: &Entry) {
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
