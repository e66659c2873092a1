//! Threads that keep the copies of the platform's topics current, from the platform or, while it
//! doesn't answer here, from peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use super::state::Shared;
use super::table::Table;
use crate::adapter::clock::Clock;
use crate::adapter::http::Client;
use crate::fleet::readers::READERS;
use crate::fleet::replica::{Batch, Topic};
use crate::policy::place::Listing;

/// Longest wait of a read for news, in milliseconds: within the bounds for a configuration and for
/// a leaving endpoint, should the connection have gone silent.
const READ_WAIT: u64 = 2_500;
/// Pause after a read with news, in milliseconds: news that come in a row are read together.
const BATCH_PAUSE: u64 = 200;
/// Time between two reads of the instances, in milliseconds: a new one greets all others itself.
const INSTANCES_INTERVAL: u64 = 30_000;
/// First and longest pause after a failed call, in milliseconds.
const BACKOFF: (u64, u64) = (100, 800);
/// Longest such pause in a large fleet, where one instance that reaches the platform again tells
/// all others, in milliseconds.
const MAX_BACKOFF: u64 = 4_000;
/// Time between two looks at what peers have, in milliseconds.
const CHECK_INTERVAL: u64 = 150;
/// Looks in a row that must find a peer ahead before it is asked: a read of our own is faster
/// where the platform answers.
const CHECKS_BEFORE_PEER: u32 = 2;
/// Looks in a row after which the platform is read, whoever is to read it: peers that can be heard
/// may be out of reach.
const CHECKS_BEFORE_READ: u32 = 5;
/// Bound on a call to a peer, in milliseconds.
const PEER_TIMEOUT: u64 = 400;

/// Why a call to the platform brought nothing.
#[derive(Debug, thiserror::Error)]
pub enum SourceError {
    /// The records asked for are no longer kept.
    #[error("records have expired")]
    Expired,
    /// Refused, and nothing was done.
    #[error("refused: {0}")]
    Refused(String),
    /// No answer; the call may have had an effect.
    #[error("no answer: {0}")]
    Unanswered(String),
    /// The answer can't be read.
    #[error("bad answer: {0}")]
    Malformed(String),
}

/// The platform as an instance needs it: three topics, and the meaning of their records.
pub trait Source: Send + Sync {
    /// The newest record of every key.
    fn newest(&self, topic: Topic) -> Result<Batch, SourceError>;
    /// Records from an offset on, waiting up to `wait` milliseconds for the first.
    fn read(&self, topic: Topic, from: u64, wait: u64) -> Result<Batch, SourceError>;
    /// Announces this instance under a key, or takes that back.
    fn announce(&self, key: &str, value: Option<&[u8]>) -> Result<(), SourceError>;
    /// Reads a configuration; the error has the findings.
    fn table(&self, key: &str, value: &[u8]) -> Option<Result<Table, String>>;
    /// Reads an endpoint's entry; the error says what is wrong with it.
    fn listing(&self, key: &str, value: &[u8]) -> Result<Listing, String>;
}

/// Starts the threads of an instance: `me` is its name and where peers reach it, `seeds` are
/// addresses of instances that may help at the start.
pub fn start(
    source: &Arc<dyn Source>,
    shared: &Arc<Shared>,
    clock: &Clock,
    me: (String, SocketAddr),
    seeds: Vec<SocketAddr>,
) {
    for topic in [Topic::Config, Topic::Endpoints] {
        let (source, shared, clock) = (Arc::clone(source), Arc::clone(shared), clock.clone());
        thread::spawn(move || Follower { source, shared, clock, topic }.run());
    }
    let (source2, shared2, clock2) = (Arc::clone(source), Arc::clone(shared), clock.clone());
    thread::spawn(move || catch_up(&source2, &shared2, &clock2, &seeds));
    let (source, shared, clock) = (Arc::clone(source), Arc::clone(shared), clock.clone());
    thread::spawn(move || run_membership(source.as_ref(), &shared, &clock, &me));
}

/// Longest pause after a failed call in a fleet of `instances`, in milliseconds.
pub fn max_backoff(instances: usize) -> u64 {
    (BACKOFF.1 * (instances / READERS) as u64).clamp(BACKOFF.1, MAX_BACKOFF)
}

struct Follower {
    source: Arc<dyn Source>,
    shared: Arc<Shared>,
    clock: Clock,
    topic: Topic,
}

impl Follower {
    fn run(&self) {
        let mut backoff = BACKOFF.0;
        let mut full = true;
        let mut disconnected = false;
        loop {
            let stuck = self.shared.is_stuck(self.topic);
            if !full && !self.shared.is_reader() && !stuck {
                self.clock.sleep(CHECK_INTERVAL);
                continue;
            }
            let wait = if disconnected || stuck { 0 } else { READ_WAIT };
            match self.poll(full, wait) {
                Ok(changed) => {
                    if disconnected {
                        tracing::info!(topic = ?self.topic, "follow: platform regained");
                    }
                    (disconnected, full, backoff) = (false, false, BACKOFF.0);
                    self.shared.set_disconnected(self.topic, false);
                    if changed {
                        publish(self.source.as_ref(), &self.shared, self.topic);
                        self.clock.sleep(BATCH_PAUSE);
                    }
                }
                Err(SourceError::Expired) => {
                    tracing::info!(topic = ?self.topic, "follow: records expired, reading anew");
                    full = true;
                }
                Err(e) => {
                    self.shared.replica(self.topic).set_failed();
                    if !disconnected {
                        tracing::warn!(topic = ?self.topic, "follow: platform lost: {e}");
                    }
                    disconnected = true;
                    self.shared.set_disconnected(self.topic, true);
                    self.clock.sleep(backoff + rand::random_range(0..=backoff / 2));
                    let max = max_backoff(self.shared.instances().len());
                    backoff = (backoff * 2).min(max);
                }
            }
        }
    }

    /// One read, which waits up to `wait` milliseconds for news: none after a failure, so that the
    /// platform's return is known before the next news. Returns true when an entry changed.
    fn poll(&self, full: bool, wait: u64) -> Result<bool, SourceError> {
        if full {
            let batch = self.source.newest(self.topic)?;
            return Ok(self.shared.replica(self.topic).reset(self.clock.now(), batch));
        }
        let from = self.shared.replica(self.topic).end();
        let batch = self.source.read(self.topic, from, wait)?;
        let now = self.clock.now();
        Ok(self.shared.replica(self.topic).append(now, batch))
    }
}

/// Decodes a copy and hands it to the driver.
fn publish(source: &dyn Source, shared: &Shared, topic: Topic) {
    let entries: Vec<(String, Vec<u8>)> = {
        let replica = shared.replica(topic);
        replica.entries().map(|(k, v)| (k.to_owned(), v.to_vec())).collect()
    };
    match topic {
        Topic::Config => publish_table(source, shared, &entries),
        Topic::Endpoints => publish_listings(source, shared, &entries),
        Topic::Instances => {}
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
                tracing::error!(key, "follow: configuration not taken: {findings}");
            }
        }
    }
}

fn publish_listings(source: &dyn Source, shared: &Shared, entries: &[(String, Vec<u8>)]) {
    let mut listings = Vec::new();
    for (key, value) in entries {
        match source.listing(key, value) {
            Ok(listing) => listings.push(listing),
            Err(why) => tracing::warn!(key, "follow: entry left out: {why}"),
        }
    }
    shared.notify(|updates| updates.endpoints = Some(listings));
}

/// Takes copies from peers that are further on while the platform doesn't answer here.
fn catch_up(source: &Arc<dyn Source>, shared: &Arc<Shared>, clock: &Clock, seeds: &[SocketAddr]) {
    let client = Client::new(PEER_TIMEOUT);
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
            let (own, peers) = check_limits(topic, !reader && !shared.is_disconnected());
            shared.set_stuck(topic, !reader && *checks >= own);
            if *checks >= peers {
                copy_from(source.as_ref(), shared, clock, &client, topic, addr);
            }
        }
    }
}

/// Looks in a row at a peer that is ahead, after which an instance that need not read does so, and
/// after which it asks a peer. A configuration can be large, and links of instances slow: what a few
/// would have to send to all others, each of these reads from the platform where it is `connected` to that.
fn check_limits(topic: Topic, connected: bool) -> (u32, u32) {
    match topic {
        Topic::Config if connected => (1, CHECKS_BEFORE_READ),
        _ => (CHECKS_BEFORE_READ, CHECKS_BEFORE_PEER),
    }
}

/// Learns from a seed what the platform doesn't tell at the start: topics, and other instances.
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
            tracing::info!(%seed, "follow: seed not read: {e}");
            return;
        }
    }
    for topic in [Topic::Config, Topic::Endpoints] {
        copy_from(source, shared, clock, client, topic, seed);
    }
}

fn copy_from(
    source: &dyn Source,
    shared: &Shared,
    clock: &Clock,
    client: &Client,
    topic: Topic,
    addr: SocketAddr,
) {
    let path = if topic == Topic::Config { "config" } else { "endpoints" };
    let url = |from| format!("http://{addr}/replica/{path}?from={from}");
    let from = shared.replica(topic).end();
    let batch = client.get_packed::<Batch>(&url(from));
    let batch = match batch {
        Ok(batch) if shared.replica(topic).lacks_kept(&batch) => client.get_packed(&url(0)),
        batch => batch,
    };
    match batch {
        Ok(batch) => {
            let end = batch.end;
            let changed = shared.replica(topic).adopt(clock.now(), batch);
            tracing::info!(?topic, %addr, end, changed, "follow: taken from peer");
            if changed {
                publish(source, shared, topic);
            }
        }
        Err(e) => tracing::warn!(?topic, %addr, "follow: peer not read: {e}"),
    }
}

/// Announces this instance and learns of the others.
fn run_membership(source: &dyn Source, shared: &Shared, clock: &Clock, me: &(String, SocketAddr)) {
    let mut announced = false;
    loop {
        if !announced {
            match source.announce(&me.0, Some(me.1.to_string().as_bytes())) {
                Ok(()) => announced = true,
                Err(e) => tracing::warn!("follow: not announced yet: {e}"),
            }
        }
        match source.newest(Topic::Instances) {
            Ok(batch) => {
                let listed =
                    batch.records.into_iter().filter_map(|r| parse_instance(&r.key, r.value?));
                let listed: Vec<_> = listed.filter(|(name, _)| *name != me.0).collect();
                shared.notify(|updates| updates.instances = Some(listed));
            }
            Err(e) => tracing::warn!("follow: instances not read: {e}"),
        }
        clock.sleep(if announced { INSTANCES_INTERVAL } else { BACKOFF.1 });
    }
}

fn parse_instance(name: &str, value: Vec<u8>) -> Option<(String, SocketAddr)> {
    let addr = String::from_utf8(value).ok()?.parse().ok()?;
    Some((name.to_owned(), addr))
}
