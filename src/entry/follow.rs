//! Follows the streams of the log: configuration, claims and audit records.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use super::{Entry, gossip, instance_id, lock};
use crate::adapter::codec;
use crate::adapter::log::{Page, READ_WAIT};
use crate::fleet::audit::{self, EventKind};
use crate::fleet::config::{self, Outcome, Record};
use crate::mechanism::{self, Mechanism};

/// Delay after a failed read, and interval of the check whether the log is lost, in milliseconds.
const RETRY_DELAY: u64 = 300;
/// Time since the claims stream was last read to its end after which the log counts as lost, in
/// milliseconds.
const LOST_AFTER: u64 = 3_000;
/// The configuration is carried forward once its newest record is older than the retention period
/// divided by this.
const CARRY_DIVISOR: u64 = 2;
/// Number of steps in which instances stagger their carries, over a quarter of the retention
/// period.
const CARRY_STEPS: u64 = 16;

/// Starts the threads that follow the log.
pub fn start(entry: &Arc<Entry>) {
    entry.spawn_loop("config-in", follow_config);
    entry.spawn_loop("claims-in", follow_claims);
    let next = AtomicU64::new(0);
    entry.spawn_loop("fleet-in", move |entry| follow_fleet(entry, &next));
    let lost_since = AtomicU64::new(0);
    entry.spawn_loop("log-watch", move |entry| watch_log(entry, &lost_since));
}

/// Reads records of a stream, and waits for new ones if there are none. After an error, sleeps for
/// [`RETRY_DELAY`] and returns `None`.
fn read_stream(entry: &Entry, stream: &str, from: u64) -> Option<Page> {
    match entry.log.read(stream, from, READ_WAIT) {
        Ok(page) => {
            let bytes = page.records.iter().map(|r| r.data.len() as u64).sum::<u64>();
            entry.metrics.control_bytes.inc_by(bytes);
            Some(page)
        }
        Err(e) => {
            tracing::debug!("log: {stream} can't be read: {e}.");
            entry.clock.sleep(RETRY_DELAY);
            None
        }
    }
}

fn follow_config(entry: &Arc<Entry>) {
    let from = lock(&entry.config).next();
    let Some(page) = read_stream(entry, config::STREAM, from) else {
        gossip::fetch_config(entry, 0);
        return;
    };
    let old_version = lock(&entry.config).version();
    {
        let mut fold = lock(&entry.config);
        fold.set_oldest(page.oldest);
        for record in &page.records {
            let decisions = match codec::unpack::<Record>(&record.data) {
                Ok(r) => fold.apply(record.offset, record.at, r),
                Err(e) => {
                    tracing::error!("config: record {} can't be read: {e}.", record.offset);
                    continue;
                }
            };
            for d in decisions {
                match d.outcome {
                    Outcome::Accepted { version } => {
                        tracing::info!(
                            "config: version {version} by {} accepted.",
                            d.publish.author
                        );
                    }
                    Outcome::Conflict { version, author } => tracing::info!(
                        "config: edit of {} by {} conflicts with version {version} by {author}.",
                        d.publish.base,
                        d.publish.author
                    ),
                    Outcome::Invalid { findings } => {
                        tracing::warn!(
                            "config: edit by {} is invalid: {findings}.",
                            d.publish.author
                        );
                    }
                }
            }
        }
    }
    activate_config(entry, old_version);
    if !lock(&entry.config).known() {
        gossip::fetch_config(entry, 0);
    }
    carry(entry, &page);
}

/// Applies the configuration in force if its version is newer than `old_version`.
pub fn activate_config(entry: &Entry, old_version: u64) {
    let Some(current) = entry.current() else {
        return;
    };
    if current.version > old_version {
        entry.configure(&current);
        let detail = format!("version {} by {} is in force", current.version, current.author);
        entry.record_event(EventKind::ConfigInForce, &entry.settings.name, &detail);
    }
}

/// Appends the configuration in force again before its record expires. Instances do so at different
/// times, staggered by their ids, so that usually only one does; a duplicate is harmless.
fn carry(entry: &Entry, page: &Page) {
    let Some(current) = entry.current() else {
        return;
    };
    let step = instance_id(&entry.settings.name) % CARRY_STEPS;
    let age = page.now.saturating_sub(current.logged);
    let due = page.retention / CARRY_DIVISOR + page.retention / 4 * step / CARRY_STEPS;
    if age < due || !mechanism::on(Mechanism::Carry) || page.next > lock(&entry.config).next() {
        return;
    }
    let Some(carry) = lock(&entry.config).snapshot() else {
        return;
    };
    let bytes = codec::pack(&Record::Carry(carry));
    match entry.log.append(config::STREAM, &bytes) {
        Ok(offset) => tracing::info!(
            "config: version {} carried forward to offset {offset}.",
            current.version
        ),
        Err(e) => tracing::warn!("config: append of a carry failed: {e}."),
    }
}

fn follow_claims(entry: &Arc<Entry>) {
    let from = entry.claims.next();
    let requested = entry.now();
    if let Some(page) = read_stream(entry, super::journal::CLAIMS_STREAM, from) {
        entry.fold_claims(&page, requested);
    }
}

fn follow_fleet(entry: &Arc<Entry>, next: &AtomicU64) {
    let from = next.load(Ordering::SeqCst);
    let Some(page) = read_stream(entry, audit::STREAM, from) else {
        return;
    };
    let now = entry.now();
    for record in &page.records {
        next.store(record.offset + 1, Ordering::SeqCst);
        let Ok(list) = codec::unpack::<Vec<audit::Record>>(&record.data) else {
            tracing::error!("audit: record {} can't be read.", record.offset);
            continue;
        };
        for item in list {
            match item {
                audit::Record::Quarantine { content, until, .. } if until > now => {
                    lock(&entry.suspects).quarantine(content, until);
                }
                audit::Record::Release { content, .. } => {
                    lock(&entry.suspects).release(content);
                }
                audit::Record::Event(_) | audit::Record::Quarantine { .. } => {}
            }
        }
    }
}

/// Records when the log is lost and when it is back. Also drops expired keys.
fn watch_log(entry: &Arc<Entry>, lost_since: &AtomicU64) {
    entry.clock.sleep(RETRY_DELAY);
    entry.prune_keys();
    let synced_at = entry.claims.synced_at();
    let age = entry.now().saturating_sub(synced_at);
    entry.metrics.log_age.set(age as f64 / 1e3);
    if synced_at == 0 {
        return;
    }
    let since = lost_since.load(Ordering::SeqCst);
    if since == 0 && age > LOST_AFTER {
        lost_since.store(entry.now(), Ordering::SeqCst);
        entry.record_event(EventKind::LogLost, "log", "claims are refused until it is back");
    }
    if since > 0 && age < LOST_AFTER {
        let detail = format!("back after {} ms", entry.now().saturating_sub(since));
        lost_since.store(0, Ordering::SeqCst);
        entry.record_event(EventKind::LogBack, "log", &detail);
    }
}
