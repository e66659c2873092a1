//! Threads that keep the replicas of the platform's topics up to date: from the platform, or from
//! peers while the platform does not answer this instance or others read it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use super::follower::Follower;
use super::state::Shared;
use super::stats::Metrics;
use super::table::RoutingTable;
use crate::adapter::clock::Clock;
use crate::adapter::http::{CallError, Client};
use crate::fleet::position;
use crate::fleet::readers::READERS;
use crate::fleet::replica::{Batch, Replica, Topic};
use crate::policy::place::Listing;

/// Interval between reads of the instances, in milliseconds. It can be long because a new instance
/// contacts all others itself.
const INSTANCES_INTERVAL: u64 = 30_000;
/// Interval between checks whether the platform was restored from a copy, which may have lost the
/// registration of this instance, in milliseconds.
const HISTORY_INTERVAL: u64 = 1_000;
/// First and maximum pause after a failed call, in milliseconds.
pub(super) const BACKOFF: (u64, u64) = (100, 800);
/// Upper limit of the maximum pause in a large fleet, in milliseconds. The pause may be longer
/// there because one instance that is connected to the platform again informs all others.
const MAX_BACKOFF: u64 = 4_000;
/// Interval between checks of how far peers have read, in milliseconds.
pub(super) const CHECK_INTERVAL: u64 = 150;
/// Number of consecutive checks that must find a peer ahead before its replica is copied: while the
/// platform answers, this instance's own read is faster.
const CHECKS_BEFORE_PEER: u32 = 2;
/// Number of consecutive checks that find a peer ahead after which an instance reads the platform
/// although it is not a reader: calls to peers may fail although their heartbeats arrive.
const CHECKS_BEFORE_READ: u32 = 5;
/// Maximum size of a batch of the configuration that an instance which is connected to the platform
/// copies from a peer, in bytes: one member sends it to a whole group within half a second, also over
/// a link of 10 Mbit/s.
const MAX_COPY_BYTES: usize = 32 << 10;
/// HTTP status of a peer whose batch is larger than asked for.
pub const TOO_LARGE: u16 = 413;
/// Timeout of a call to a peer, in milliseconds.
const PEER_TIMEOUT: u64 = 400;
/// Largest copy of a topic, in bytes: the entries of some 20,000 endpoints.
const PEER_BODY_LIMIT: u64 = 8 << 20;

/// Why a call to the platform failed.
#[derive(Debug, thiserror::Error)]
pub enum SourceError {
    /// The requested records are no longer retained.
    #[error("records have expired")]
    Expired,
    /// The platform refused the call; it had no effect.
    #[error("refused: {0}")]
    Refused(String),
    /// There was no response; the call may have had an effect.
    #[error("no answer: {0}")]
    Unanswered(String),
    /// The response could not be decoded.
    #[error("bad answer: {0}")]
    Malformed(String),
}

impl SourceError {
    /// Name in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Expired => "expired",
            Self::Refused(_) => "refused",
            Self::Unanswered(_) => "unanswered",
            Self::Malformed(_) => "malformed",
        }
    }
}

/// What an instance needs of the platform: access to its topics, and decoding of their records.
pub trait Source: Send + Sync {
    /// The newest record of every key.
    fn newest(&self, topic: Topic) -> Result<Batch, SourceError>;
    /// Records from the position `from` on. Waits up to `wait` milliseconds for the first one.
    fn read(&self, topic: Topic, from: u64, wait: u64) -> Result<Batch, SourceError>;
    /// Records from the position `from` on that exist now, and the position at which the topic ends: if
    /// that is after the end of the batch, more can be read.
    fn read_page(&self, topic: Topic, from: u64) -> Result<(Batch, u64), SourceError>;
    /// Writes the newest values of keys of a topic of the instances, all or none; `None` removes a key.
    /// Returns the era of the platform in which they were written.
    fn put(&self, topic: Topic, entries: &[(&str, Option<&[u8]>)]) -> Result<u64, SourceError>;
    /// Decodes a record of the configuration topic; `None` if it holds no configuration. The error
    /// lists the findings.
    fn table(&self, key: &str, value: &[u8]) -> Option<Result<RoutingTable, String>>;
    /// Decodes the entry of an endpoint. The error says what is wrong with it.
    fn listing(&self, key: &str, value: &[u8]) -> Result<Listing, String>;
}

/// Starts the threads of an instance. `me` is its name and the address on which peers reach it;
/// `seeds` are addresses of instances to copy from at the start.
pub fn start(
    source: &Arc<dyn Source>,
    shared: &Arc<Shared>,
    clock: &Clock,
    metrics: &Arc<Metrics>,
    me: (String, SocketAddr),
    seeds: Vec<SocketAddr>,
) {
    for topic in [Topic::Config, Topic::Endpoints] {
        let (source, shared, clock) = (Arc::clone(source), Arc::clone(shared), clock.clone());
        let mut follower = Follower::new(source, shared, clock.clone(), Arc::clone(metrics), topic);
        thread::spawn(move || {
            loop {
                match follower.turn() {
                    0 => {}
                    ms => clock.sleep(ms),
                }
            }
        });
    }
    let (source2, shared2, clock2) = (Arc::clone(source), Arc::clone(shared), clock.clone());
    thread::spawn(move || catch_up(&source2, &shared2, &clock2, &seeds));
    let (source, shared, clock) = (Arc::clone(source), Arc::clone(shared), clock.clone());
    thread::spawn(move || run_membership(source.as_ref(), &shared, &clock, &me));
}

/// Maximum pause after a failed call in a fleet of `instances`, in milliseconds.
pub fn max_backoff(instances: usize) -> u64 {
    (BACKOFF.1 * (instances / READERS) as u64).clamp(BACKOFF.1, MAX_BACKOFF)
}

/// Puts newer values of a replica in the place of older ones of a platform that was restored.
pub(super) fn carry_over(
    source: &dyn Source,
    topic: Topic,
    replica: &Replica,
    mut batch: Batch,
) -> Batch {
    replica.carry_over(&mut batch, |key, own, theirs| match topic {
        Topic::Config => {
            let version = |value| source.table(key, value).and_then(Result::ok).map(|t| t.version);
            version(own) > version(theirs)
        }
        Topic::Endpoints => match (source.listing(key, own), source.listing(key, theirs)) {
            (Ok(own), Ok(theirs)) => {
                own.leaving && !theirs.leaving && own.incarnation() == theirs.incarnation()
            }
            _ => false,
        },
        Topic::Instances | Topic::Streams => false,
    });
    batch
}

/// Decodes the replica of a topic and passes it to the driver.
pub(super) fn publish(source: &dyn Source, shared: &Shared, topic: Topic) {
    let (change, entries) = {
        let replica = shared.replica(topic);
        let entries: Vec<_> = replica.entries().map(|(k, v)| (k.to_owned(), v.to_vec())).collect();
        (replica.changes(), entries)
    };
    match topic {
        Topic::Config => publish_table(source, shared, &entries),
        Topic::Endpoints => publish_listings(source, shared, change, &entries),
        Topic::Instances | Topic::Streams => {}
    }
}

fn publish_table(source: &dyn Source, shared: &Shared, entries: &[(String, Vec<u8>)]) {
    for (key, value) in entries {
        match source.table(key, value) {
            None => {}
            Some(Ok(table)) => {
                let table = Arc::new(table);
                shared.notify(|updates| updates.table = Some(table));
            }
            Some(Err(findings)) => {
                tracing::error!(key, "follow: configuration rejected: {findings}");
            }
        }
    }
}

fn publish_listings(
    source: &dyn Source,
    shared: &Shared,
    change: u64,
    entries: &[(String, Vec<u8>)],
) {
    let mut listings = Vec::new();
    for (key, value) in entries {
        match source.listing(key, value) {
            Ok(listing) => listings.push(listing),
            Err(why) => tracing::warn!(key, "follow: invalid entry skipped: {why}"),
        }
    }
    shared.notify(|updates| updates.put_endpoints(change, listings));
}

/// Copies topics from the seeds at the start, and later from peers that have read further than this
/// instance. Also removes expired entries whose grace period is over.
fn catch_up(source: &Arc<dyn Source>, shared: &Arc<Shared>, clock: &Clock, seeds: &[SocketAddr]) {
    let client = Client::new(PEER_TIMEOUT, PEER_BODY_LIMIT);
    clock.sleep(CHECK_INTERVAL);
    while shared.ends() == (0, 0) && !seeds.is_empty() {
        for seed in seeds {
            bootstrap_from(source.as_ref(), shared, clock, &client, *seed);
        }
        clock.sleep(CHECK_INTERVAL);
    }
    let mut behind = [0, 0];
    loop {
        clock.sleep(CHECK_INTERVAL);
        if shared.replica(Topic::Endpoints).expire(clock.now()) {
            publish(source.as_ref(), shared, Topic::Endpoints);
        }
        for (topic, checks) in [Topic::Config, Topic::Endpoints].into_iter().zip(&mut behind) {
            let end = shared.replica(topic).end();
            let Some((addr, theirs)) = shared.furthest_peer(topic) else { continue };
            *checks = if theirs > end { *checks + 1 } else { 0 };
            let reader = shared.is_reader();
            let connected = !reader && !shared.is_disconnected();
            shared.set_stuck(topic, !reader && *checks >= CHECKS_BEFORE_READ);
            if *checks >= checks_before_copy(topic, connected) {
                let max = if connected { max_copy(topic) } else { usize::MAX };
                let copied = copy_from(source.as_ref(), shared, clock, &client, topic, addr, max);
                if copied == Copied::TooLarge {
                    *checks = CHECKS_BEFORE_READ;
                    shared.set_stuck(topic, true);
                }
            }
        }
    }
}

/// Number of consecutive checks that must find a peer ahead before an instance copies from it. An
/// instance that is `connected` to the platform but not a reader copies a configuration at once.
fn checks_before_copy(topic: Topic, connected: bool) -> u32 {
    match topic {
        Topic::Config if connected => 1,
        _ => CHECKS_BEFORE_PEER,
    }
}

/// Maximum size of a batch that an instance which is connected to the platform copies from a peer, in
/// bytes. A configuration can be large and the links between instances slow, so it reads a large one
/// from the platform rather than have one reader send it to all others.
fn max_copy(topic: Topic) -> usize {
    if topic == Topic::Config { MAX_COPY_BYTES } else { usize::MAX }
}

/// Result of copying from a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Copied {
    Done,
    /// The peer has more than was asked for.
    TooLarge,
    Failed,
}

/// Copies the known instances and the topics from a seed, as the platform may not answer at the
/// start.
fn bootstrap_from(
    source: &dyn Source,
    shared: &Shared,
    clock: &Clock,
    client: &Client,
    seed: SocketAddr,
) {
    match client.get_packed(&format!("http://{seed}/replica/instances")) {
        Ok(known) => shared.notify(|updates| updates.known = Some(known)),
        Err(e) => {
            tracing::info!(%seed, "follow: cannot read from seed: {e}");
            return;
        }
    }
    for topic in [Topic::Config, Topic::Endpoints] {
        copy_from(source, shared, clock, client, topic, seed, usize::MAX);
    }
}

/// Copies from a peer what it has read of a topic beyond this instance, up to `max` bytes.
fn copy_from(
    source: &dyn Source,
    shared: &Shared,
    clock: &Clock,
    client: &Client,
    topic: Topic,
    addr: SocketAddr,
    max: usize,
) -> Copied {
    let path = if topic == Topic::Config { "config" } else { "endpoints" };
    let from = shared.replica(topic).end();
    let url = format!("http://{addr}/replica/{path}?from={from}&max={max}");
    match client.get_packed::<Batch>(&url) {
        Ok(batch) => {
            let end = batch.end;
            let mut replica = shared.replica(topic);
            let batch = carry_over(source, topic, &replica, batch);
            let changed = replica.adopt(clock.now(), batch);
            drop(replica);
            tracing::info!(?topic, %addr, end, changed, "follow: copied from peer");
            if changed {
                publish(source, shared, topic);
            }
            Copied::Done
        }
        Err(CallError::Status { status: TOO_LARGE, .. }) => {
            tracing::info!(?topic, %addr, "follow: too large to copy from peer");
            Copied::TooLarge
        }
        Err(e) => {
            tracing::warn!(?topic, %addr, "follow: cannot read from peer: {e}");
            Copied::Failed
        }
    }
}

/// Registers this instance and reads the instance list at intervals.
fn run_membership(source: &dyn Source, shared: &Shared, clock: &Clock, me: &(String, SocketAddr)) {
    let mut announced = false;
    // History of the platform in which this instance registered.
    let mut registered = None;
    loop {
        if !announced {
            let addr = me.1.to_string();
            let before = shared.history();
            match source.put(Topic::Instances, &[(&me.0, Some(addr.as_bytes()))]) {
                Ok(era) => {
                    announced = true;
                    registered = before.max(Some(position::history(position::at(era, 0))));
                }
                Err(e) => tracing::warn!("follow: registration failed, retrying: {e}"),
            }
        }
        match source.newest(Topic::Instances) {
            Ok(batch) => {
                let listed =
                    batch.records.into_iter().filter_map(|r| parse_instance(&r.key, r.value?));
                let listed: Vec<_> = listed.filter(|(name, _)| *name != me.0).collect();
                shared.notify(|updates| updates.instances = Some(listed));
            }
            Err(e) => tracing::warn!("follow: cannot read instances: {e}"),
        }
        if !announced {
            clock.sleep(BACKOFF.1);
            continue;
        }
        let until = clock.now() + INSTANCES_INTERVAL;
        while announced && clock.now() < until {
            clock.sleep(HISTORY_INTERVAL);
            announced = shared.history() <= registered;
        }
    }
}

fn parse_instance(name: &str, value: Vec<u8>) -> Option<(String, SocketAddr)> {
    let addr = String::from_utf8(value).ok()?.parse().ok()?;
    Some((name.to_owned(), addr))
}
