//! Exchanges with the other entry instances.

use std::sync::{Arc, Mutex};
use std::thread;

use indexmap::{IndexMap, IndexSet};
use uuid::Uuid;

use super::keyed::LIST_MARGIN;
use super::{Entry, lock, number_of};
use crate::adapter::clock::Millis;
use crate::adapter::http::Client;
use crate::adapter::list::{Instance, Role};
use crate::fleet::audit::{self, Event, EventKind};
use crate::fleet::peer::{ConfigResponse, Heartbeat, KeyQuery, KeyStatus};
use crate::mechanism::{self, Mechanism};
use crate::policy::claim::Key;
use crate::policy::pool::PEER_MAX_AGE;

/// Longest wait for a peer, in milliseconds.
const LIMIT: u64 = 1_500;
/// How long an instance that has ended is remembered, in milliseconds.
const BOOT_MEMORY: u64 = 3_600_000;
/// Margin around the time at which the log was last read, in milliseconds.
const FRESH_MARGIN: u64 = 3_000;

/// A peer as last heard.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Its present life.
    pub boot: Uuid,
    /// When it was last heard.
    pub heard: Millis,
    /// Version of the configuration it applies.
    pub version: u64,
    /// True once it said that it is shutting down.
    pub leaving: bool,
    seq: u64,
}

/// All peers.
#[derive(Debug)]
pub struct Peers {
    map: Mutex<IndexMap<String, Peer>>,
    boots: Mutex<IndexMap<Uuid, (String, Millis)>>,
    talking: Mutex<IndexSet<String>>,
    seq: Mutex<u64>,
    lost: Mutex<bool>,
    client: Client,
}

impl Default for Peers {
    fn default() -> Self {
        Self {
            map: Mutex::default(),
            boots: Mutex::default(),
            talking: Mutex::default(),
            seq: Mutex::default(),
            lost: Mutex::default(),
            client: Client::new(LIMIT),
        }
    }
}

impl Peers {
    /// Peers by name.
    pub fn all(&self) -> IndexMap<String, Peer> {
        lock(&self.map).clone()
    }
}

/// The instance's own heartbeat.
pub fn heartbeat(entry: &Entry) -> Heartbeat {
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

/// Takes in a peer's heartbeat.
pub fn receive(entry: &Entry, heartbeat: &Heartbeat) {
    let now = entry.now();
    if heartbeat.boot == entry.boot {
        return;
    }
    {
        let mut map = lock(&entry.peers.map);
        let known = map.get(&heartbeat.name);
        if known.is_some_and(|p| p.boot == heartbeat.boot && p.seq >= heartbeat.seq) {
            return;
        }
        let peer = Peer {
            boot: heartbeat.boot,
            heard: now,
            version: heartbeat.version,
            leaving: heartbeat.leaving,
            seq: heartbeat.seq,
        };
        map.insert(heartbeat.name.clone(), peer);
    }
    lock(&entry.peers.boots).insert(heartbeat.boot, (heartbeat.name.clone(), now));
    let id = number_of(&heartbeat.name);
    let idle = heartbeat.leaving && heartbeat.loads.values().all(|l| l.classes.is_empty());
    for dispatcher in entry.dispatchers() {
        let load = heartbeat.loads.get(&dispatcher.name).cloned().unwrap_or_default();
        let leavers = heartbeat.leavers.iter().filter(|(service, ..)| *service == dispatcher.name);
        dispatcher.with(now, |pool| {
            if idle {
                pool.remove_peer(id)
            } else {
                pool.update_peer(now, id, load)
            }
            leavers.for_each(|(_, endpoint, boot)| pool.mark_leaving(endpoint, boot));
        });
    }
    for (content, crashes) in &heartbeat.suspects {
        for crash in crashes {
            crashed(entry, *content, crash);
        }
    }
    if heartbeat.version > lock(&entry.config).version() {
        fetch_config(entry, heartbeat.version);
    }
}

/// Counts a crash against a content; a quarantine that follows is put on the log.
pub fn crashed(entry: &Entry, content: u64, crash: &str) {
    let Some(fleet) = entry.fleet() else { return };
    let now = entry.now();
    let over = lock(&entry.suspects).record_crash(
        now,
        content,
        crash,
        fleet.crash_limit,
        fleet.quarantine,
    );
    if !over {
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
    entry.journal.note(audit::Record::Quarantine { content, until, event });
}

/// An endpoint is heard in a life that was taken for ended.
pub fn alive(entry: &Entry, crash: &str) {
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
        entry.journal.note(audit::Record::Release { content, event });
    }
}

/// Starts a thread for each listed peer that has none.
pub fn meet(entry: &Arc<Entry>, rows: &[Instance]) {
    for row in rows.iter().filter(|r| r.role == Role::Entry) {
        if row.name == entry.settings.name || !lock(&entry.peers.talking).insert(row.name.clone()) {
            continue;
        }
        let (inner, name) = (Arc::clone(entry), row.name.clone());
        thread::spawn(move || {
            talk(&inner, &name);
            lock(&inner.peers.talking).swap_remove(&name);
        });
    }
}

/// Exchanges heartbeats with one peer until it is no longer listed.
fn talk(entry: &Arc<Entry>, name: &str) {
    while !entry.stopped() {
        let Some(row) = entry.row(name) else { break };
        if starts(entry, name) {
            exchange(entry, &row.admin);
        }
        entry.clock.sleep(entry.settings.gossip);
        watch(entry);
    }
    lock(&entry.peers.map).swap_remove(name);
}

/// True when this instance is to start the next exchange with a peer: one of the two does, the
/// other only when it hears nothing.
fn starts(entry: &Entry, name: &str) -> bool {
    let own = number_of(&entry.settings.name);
    let heard = lock(&entry.peers.map).get(name).map_or(0, |p| p.heard);
    let quiet = entry.now().saturating_sub(heard) > 2 * entry.settings.gossip;
    own < number_of(name) || quiet
}

fn exchange(entry: &Entry, admin: &str) {
    let url = format!("http://{admin}/peer/heartbeat");
    let own = heartbeat(entry);
    let bytes = crate::adapter::codec::pack(&own);
    match entry.peers.client.post(&url, &bytes) {
        Ok(body) => {
            entry.metrics.control_bytes.inc_by((bytes.len() + body.len()) as u64);
            match crate::adapter::codec::unpack::<Heartbeat>(&body) {
                Ok(heartbeat) => receive(entry, &heartbeat),
                Err(e) => tracing::warn!("peers: heartbeat of {admin} can't be read: {e}."),
            }
        }
        Err(e) => tracing::debug!("peers: {admin} does not answer: {e}."),
    }
}

/// Tells all peers the present state at once, as a last heartbeat.
pub fn announce(entry: &Entry) {
    let rows = entry.peer_rows();
    thread::scope(|scope| {
        for row in &rows {
            scope.spawn(|| exchange(entry, &row.admin));
        }
    });
}

/// Says when peers fall silent and when all are heard again.
fn watch(entry: &Entry) {
    let now = entry.now();
    let silent = {
        let map = lock(&entry.peers.map);
        let rows = entry.peer_rows();
        let fresh = |r: &&Instance| {
            map.get(&r.name).is_some_and(|p| now.saturating_sub(p.heard) <= PEER_MAX_AGE)
        };
        rows.len() - rows.iter().filter(fresh).count()
    };
    entry.metrics.silent_peers.set(silent as i64);
    let mut lost = lock(&entry.peers.lost);
    if silent > 0 && !*lost {
        *lost = true;
        let detail = format!("{silent} are silent; each keeps an equal part of the slots");
        entry.event(EventKind::PeersLost, "peers", &detail);
    }
    if silent == 0 && *lost {
        *lost = false;
        entry.event(EventKind::PeersBack, "peers", "all are heard");
    }
    let mut boots = lock(&entry.peers.boots);
    boots.retain(|_, (_, heard)| now < *heard + BOOT_MEMORY);
}

/// Takes the configuration from a peer that has a newer one, or from any that has one.
pub fn fetch_config(entry: &Entry, at_least: u64) {
    if !mechanism::on(Mechanism::Peers) {
        return;
    }
    let peers = entry.peers.all();
    for row in entry.peer_rows() {
        let version = peers.get(&row.name).map_or(0, |p| p.version);
        if version < at_least {
            continue;
        }
        let url = format!("http://{}/peer/config", row.admin);
        let Ok(ConfigResponse { carry: Some(carry) }) = entry.peers.client.get_packed(&url) else {
            continue;
        };
        let before = {
            let mut fold = lock(&entry.config);
            let before = fold.version();
            fold.adopt(entry.now(), carry);
            before
        };
        super::follow::settle_config(entry, before);
        return;
    }
}

/// Asks the instance in the life `boot` what it knows of a key; `None` when it can't be asked.
pub fn ask(entry: &Entry, boot: Uuid, key: Key, wait: u64) -> Option<KeyStatus> {
    if boot == entry.boot {
        return Some(entry.key_status(key, wait));
    }
    let name = lock(&entry.peers.boots).get(&boot).map(|(name, _)| name.clone())?;
    let same = lock(&entry.peers.map).get(&name).is_some_and(|p| p.boot == boot);
    if !same {
        return None;
    }
    let row = entry.row(&name)?;
    let url = format!("http://{}/peer/key", row.admin);
    entry.peers.client.post_packed(&url, &KeyQuery { key, wait }).ok()
}

/// True when every instance that was alive at `since` or later denies having taken the key.
pub fn all_deny(entry: &Entry, key: Key, since: Millis) -> bool {
    let (rows, read) = (entry.peer_rows(), lock(&entry.members).read());
    if entry.now() > read + LIST_MARGIN {
        return false;
    }
    let peers = entry.peers.all();
    let Some(known): Option<Vec<Uuid>> =
        rows.iter().map(|r| peers.get(&r.name).map(|p| p.boot)).collect()
    else {
        return false;
    };
    let gone = lock(&entry.peers.boots)
        .iter()
        .any(|(boot, (_, heard))| *heard + FRESH_MARGIN >= since && !known.contains(boot));
    if gone {
        return false;
    }
    thread::scope(|scope| {
        let asked: Vec<_> =
            known.iter().map(|boot| scope.spawn(|| ask(entry, *boot, key, 0))).collect();
        asked
            .into_iter()
            .all(|t| matches!(t.join(), Ok(Some(KeyStatus::Unknown | KeyStatus::NotSent))))
    })
}

/// True once every listed peer has exchanged heartbeats with this instance.
pub fn all_met(entry: &Entry) -> bool {
    let (rows, read) = (entry.peer_rows(), lock(&entry.members).read());
    let peers = entry.peers.all();
    read > 0 && rows.iter().all(|r| peers.contains_key(&r.name))
}

/// Row of the peer in the life `boot`.
pub fn row_of(entry: &Entry, boot: Uuid) -> Option<Instance> {
    let name = lock(&entry.peers.boots).get(&boot).map(|(name, _)| name.clone())?;
    let same = lock(&entry.peers.map).get(&name).is_some_and(|p| p.boot == boot);
    if same { entry.row(&name) } else { None }
}
