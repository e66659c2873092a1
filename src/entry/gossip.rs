//! Communication with the other entry instances: heartbeats, configuration and status of keys.

use std::sync::{Arc, Mutex};
use std::thread;

use indexmap::{IndexMap, IndexSet};
use uuid::Uuid;

use super::keyed::LIST_MAX_AGE;
use super::{Entry, instance_id, lock};
use crate::adapter::clock::Millis;
use crate::adapter::http::Client;
use crate::adapter::list::{Instance, Role};
use crate::fleet::audit::{self, Event, EventKind};
use crate::fleet::peer::{ConfigResponse, Heartbeat, KeyQuery, KeyStatus};
use crate::mechanism::{self, Mechanism};
use crate::policy::claim::Key;
use crate::policy::pool::PEER_MAX_AGE;
use crate::policy::suspect::Counted;

/// Timeout of a call to a peer, in milliseconds.
const CALL_TIMEOUT: u64 = 1_500;
/// Largest response of a peer, in bytes: it may hold an endpoint's response of up to 8 MB.
const BODY_LIMIT: u64 = 10 << 20;
/// Time for which a boot id is remembered after its last heartbeat, in milliseconds.
const BOOT_RETENTION: u64 = 3_600_000;
/// An instance whose last heartbeat came at most this long before a point in time may have been
/// alive then, in milliseconds.
const SYNC_MARGIN: u64 = 3_000;

/// A peer, as of its last heartbeat.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Boot id of the peer.
    pub boot: Uuid,
    /// Time at which the heartbeat arrived.
    pub heard_at: Millis,
    /// Version of the configuration in force on the peer.
    pub version: u64,
    /// True once the peer is shutting down.
    pub leaving: bool,
    /// Sequence number of the heartbeat.
    seq: u64,
}

/// State of all peers.
#[derive(Debug)]
pub struct Peers {
    by_name: Mutex<IndexMap<String, Peer>>,
    /// Name and time of the last heartbeat by boot id, also of earlier incarnations.
    boots: Mutex<IndexMap<Uuid, (String, Millis)>>,
    /// Names of the peers that have an exchange thread.
    exchanging: Mutex<IndexSet<String>>,
    /// Sequence number of the last heartbeat sent.
    seq: Mutex<u64>,
    /// True while at least one peer is recorded as silent.
    lost: Mutex<bool>,
    client: Client,
}

impl Default for Peers {
    fn default() -> Self {
        Self {
            by_name: Mutex::default(),
            boots: Mutex::default(),
            exchanging: Mutex::default(),
            seq: Mutex::default(),
            lost: Mutex::default(),
            client: Client::new(CALL_TIMEOUT, BODY_LIMIT),
        }
    }
}

impl Peers {
    /// Peers by name.
    pub fn all(&self) -> IndexMap<String, Peer> {
        lock(&self.by_name).clone()
    }
}

/// Builds this instance's next heartbeat.
pub fn own_heartbeat(entry: &Entry) -> Heartbeat {
    let dispatchers = entry.dispatchers();
    let mut leavers = Vec::new();
    let mut loads = IndexMap::new();
    for dispatcher in &dispatchers {
        let (load, leaving) = dispatcher.read(|pool| (pool.load(), pool.leaving_endpoints()));
        loads.insert(dispatcher.name.clone(), load);
        leavers
            .extend(leaving.into_iter().map(|(name, boot)| (dispatcher.name.clone(), name, boot)));
    }
    let seq = {
        let mut seq = lock(&entry.peers.seq);
        *seq += 1;
        *seq
    };
    Heartbeat {
        name: entry.settings.name.clone(),
        boot: entry.boot,
        seq,
        leaving: entry.leaving(),
        version: lock(&entry.config).version(),
        loads,
        leavers,
        suspects: lock(&entry.suspects).export(entry.now()),
    }
}

/// Applies a heartbeat received from a peer, unless it or a newer one of the same incarnation was
/// applied before.
pub fn receive(entry: &Entry, heartbeat: &Heartbeat) {
    let now = entry.now();
    if heartbeat.boot == entry.boot {
        return;
    }
    {
        let mut map = lock(&entry.peers.by_name);
        let known = map.get(&heartbeat.name);
        if known.is_some_and(|p| p.boot == heartbeat.boot && p.seq >= heartbeat.seq) {
            return;
        }
        let peer = Peer {
            boot: heartbeat.boot,
            heard_at: now,
            version: heartbeat.version,
            leaving: heartbeat.leaving,
            seq: heartbeat.seq,
        };
        map.insert(heartbeat.name.clone(), peer);
    }
    lock(&entry.peers.boots).insert(heartbeat.boot, (heartbeat.name.clone(), now));
    let id = instance_id(&heartbeat.name);
    let drained = heartbeat.leaving && heartbeat.loads.values().all(|l| l.classes.is_empty());
    for dispatcher in entry.dispatchers() {
        let load = heartbeat.loads.get(&dispatcher.name).cloned().unwrap_or_default();
        let leavers = heartbeat.leavers.iter().filter(|(service, ..)| *service == dispatcher.name);
        dispatcher.with(now, |pool| {
            if drained {
                pool.remove_peer(id)
            } else {
                pool.update_peer(now, id, load)
            }
            leavers.for_each(|(_, endpoint, boot)| pool.mark_leaving(endpoint, boot));
        });
    }
    for (content, crashes) in &heartbeat.suspects {
        for crash in crashes {
            record_crash(entry, *content, crash);
        }
    }
    if heartbeat.version > lock(&entry.config).version() {
        fetch_config(entry, heartbeat.version);
    }
}

/// Counts a crash against the content of a request. If that quarantines the content, queues a
/// record for the audit stream, which all instances follow.
pub fn record_crash(entry: &Entry, content: u64, crash: &str) {
    let Some(fleet) = entry.fleet() else { return };
    let now = entry.now();
    let counted = lock(&entry.suspects).record_crash(
        now,
        content,
        crash,
        fleet.crash_limit,
        fleet.quarantine,
    );
    if counted != Counted::Known {
        tracing::info!("crash: {crash} counts against content {content:016x}.");
    }
    if counted != Counted::Quarantined {
        return;
    }
    let until = now + fleet.quarantine;
    tracing::warn!("audit: content {content:016x} is quarantined.");
    let event = Event {
        at: now,
        who: entry.settings.name.clone(),
        kind: EventKind::Quarantined,
        subject: format!("{content:016x}"),
        detail: format!("it crashed {} endpoints, the last as {crash}", fleet.crash_limit),
    };
    entry.journal.queue_audit(audit::Record::Quarantine { content, until, event });
}

/// Revokes a crash, because the endpoint has reported in the same incarnation since. Contents whose
/// quarantine depended on it are released.
pub fn revoke_crash(entry: &Entry, crash: &str) {
    let Some(fleet) = entry.fleet() else { return };
    let now = entry.now();
    for content in lock(&entry.suspects).revoke_crash(now, crash, fleet.crash_limit) {
        let event = Event {
            at: now,
            who: entry.settings.name.clone(),
            kind: EventKind::Released,
            subject: format!("{content:016x}"),
            detail: format!("{crash} did not crash after all"),
        };
        entry.journal.queue_audit(audit::Record::Release { content, event });
    }
}

/// Starts an exchange thread for each listed peer that has none.
pub fn start_exchanges(entry: &Arc<Entry>, instances: &[Instance]) {
    for instance in instances.iter().filter(|i| i.role == Role::Entry) {
        if instance.name == entry.settings.name
            || !lock(&entry.peers.exchanging).insert(instance.name.clone())
        {
            continue;
        }
        let (inner, name) = (Arc::clone(entry), instance.name.clone());
        thread::spawn(move || {
            exchange_loop(&inner, &name);
            lock(&inner.peers.exchanging).swap_remove(&name);
        });
    }
}

/// Exchanges heartbeats with one peer at the configured interval until it is no longer listed.
fn exchange_loop(entry: &Arc<Entry>, name: &str) {
    while !entry.stopped() {
        let Some(instance) = entry.listed_instance(name) else { break };
        if initiates(entry, name) {
            exchange(entry, &instance.admin);
        }
        entry.clock.sleep(entry.settings.gossip);
        watch_peers(entry);
    }
    lock(&entry.peers.by_name).swap_remove(name);
}

/// True if this instance initiates the next exchange with a peer. Of the two, the one with the
/// lower id does; the other only if it has received no heartbeat for two intervals.
fn initiates(entry: &Entry, name: &str) -> bool {
    let own = instance_id(&entry.settings.name);
    let heard_at = lock(&entry.peers.by_name).get(name).map_or(0, |p| p.heard_at);
    let overdue = entry.now().saturating_sub(heard_at) > 2 * entry.settings.gossip;
    own < instance_id(name) || overdue
}

/// Sends a heartbeat to the peer at `admin` and applies the one in the response.
fn exchange(entry: &Entry, admin: &str) {
    let url = format!("http://{admin}/peer/heartbeat");
    let own = own_heartbeat(entry);
    let bytes = crate::adapter::codec::pack(&own);
    match entry.peers.client.post(&url, &bytes) {
        Ok(body) => {
            entry.metrics.control_bytes.inc_by((bytes.len() + body.len()) as u64);
            match crate::adapter::codec::unpack::<Heartbeat>(&body) {
                Ok(heartbeat) => receive(entry, &heartbeat),
                Err(e) => tracing::warn!("peers: heartbeat from {admin} can't be decoded: {e}."),
            }
        }
        Err(e) => tracing::debug!("peers: {admin} does not answer: {e}."),
    }
}

/// Sends a heartbeat to all peers without waiting for the next interval, so that they learn of a
/// shutdown at once. Returns when all have answered or timed out.
pub fn broadcast(entry: &Entry) {
    let instances = entry.peer_instances();
    thread::scope(|scope| {
        for instance in &instances {
            scope.spawn(|| exchange(entry, &instance.admin));
        }
    });
}

/// Records when peers fall silent and when all send heartbeats again; drops expired boot ids.
fn watch_peers(entry: &Entry) {
    let now = entry.now();
    let silent = {
        let map = lock(&entry.peers.by_name);
        let instances = entry.peer_instances();
        let heard = |i: &&Instance| {
            map.get(&i.name).is_some_and(|p| now.saturating_sub(p.heard_at) <= PEER_MAX_AGE)
        };
        instances.len() - instances.iter().filter(heard).count()
    };
    entry.metrics.silent_peers.set(silent as i64);
    let mut lost = lock(&entry.peers.lost);
    if silent > 0 && !*lost {
        *lost = true;
        let detail = format!("{silent} are silent; each keeps an equal part of the slots");
        entry.record_event(EventKind::PeersLost, "peers", &detail);
    }
    if silent == 0 && *lost {
        *lost = false;
        entry.record_event(EventKind::PeersBack, "peers", "all are heard");
    }
    let mut boots = lock(&entry.peers.boots);
    boots.retain(|_, (_, heard_at)| now < *heard_at + BOOT_RETENTION);
}

/// Fetches the configuration from a peer that has version `at_least` or a newer one; with 0, from
/// any peer that has one.
pub fn fetch_config(entry: &Entry, at_least: u64) {
    if !mechanism::on(Mechanism::Peers) {
        return;
    }
    let peers = entry.peers.all();
    for instance in entry.peer_instances() {
        let version = peers.get(&instance.name).map_or(0, |p| p.version);
        if version < at_least {
            continue;
        }
        let url = format!("http://{}/peer/config", instance.admin);
        let Ok(ConfigResponse { carry: Some(carry) }) = entry.peers.client.get_packed(&url) else {
            continue;
        };
        let old_version = {
            let mut fold = lock(&entry.config);
            let old_version = fold.version();
            fold.adopt(entry.now(), carry);
            old_version
        };
        super::follow::activate_config(entry, old_version);
        return;
    }
}

/// Asks the instance with the boot id `boot` for the status of a key. It waits up to `wait`
/// milliseconds for the request to end. `None` if that incarnation is gone or does not answer.
pub fn query_key(entry: &Entry, boot: Uuid, key: Key, wait: u64) -> Option<KeyStatus> {
    if boot == entry.boot {
        return Some(entry.key_status(key, wait));
    }
    let name = lock(&entry.peers.boots).get(&boot).map(|(name, _)| name.clone())?;
    let current = lock(&entry.peers.by_name).get(&name).is_some_and(|p| p.boot == boot);
    if !current {
        return None;
    }
    let instance = entry.listed_instance(&name)?;
    let url = format!("http://{}/peer/key", instance.admin);
    entry.peers.client.post_packed(&url, &KeyQuery { key, wait }).ok()
}

/// True if every instance that was alive at `since` or later answers that it has not sent the
/// request of the key and is not about to. False if one can't be asked: the instance list is out of
/// date, a listed peer has sent no heartbeat yet, or an incarnation that was alive is gone.
pub fn all_deny(entry: &Entry, key: Key, since: Millis) -> bool {
    let (instances, read_at) = (entry.peer_instances(), lock(&entry.members).read_at());
    if entry.now() > read_at + LIST_MAX_AGE {
        return false;
    }
    let peers = entry.peers.all();
    let Some(known): Option<Vec<Uuid>> =
        instances.iter().map(|i| peers.get(&i.name).map(|p| p.boot)).collect()
    else {
        return false;
    };
    let missing = lock(&entry.peers.boots)
        .iter()
        .any(|(boot, (_, heard_at))| *heard_at + SYNC_MARGIN >= since && !known.contains(boot));
    if missing {
        return false;
    }
    thread::scope(|scope| {
        let queries: Vec<_> =
            known.iter().map(|boot| scope.spawn(|| query_key(entry, *boot, key, 0))).collect();
        queries
            .into_iter()
            .all(|q| matches!(q.join(), Ok(Some(KeyStatus::Unknown | KeyStatus::NotSent))))
    })
}

/// True once the instance list was read and a heartbeat of every listed peer has arrived.
pub fn all_heard(entry: &Entry) -> bool {
    let (instances, read_at) = (entry.peer_instances(), lock(&entry.members).read_at());
    let peers = entry.peers.all();
    read_at > 0 && instances.iter().all(|i| peers.contains_key(&i.name))
}

/// Entry in the instance list of the peer with the boot id `boot`; `None` if that incarnation is
/// gone.
pub fn instance_by_boot(entry: &Entry, boot: Uuid) -> Option<Instance> {
    let name = lock(&entry.peers.boots).get(&boot).map(|(name, _)| name.clone())?;
    let current = lock(&entry.peers.by_name).get(&name).is_some_and(|p| p.boot == boot);
    if current { entry.listed_instance(&name) } else { None }
}
