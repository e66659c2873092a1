//! Follows the log: configuration, claims, and decisions of the fleet.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use super::{Entry, gossip, lock, number_of};
use crate::adapter::codec;
use crate::adapter::log::{Page, READ_WAIT};
use crate::fleet::audit::{self, EventKind};
use crate::fleet::config::{self, Outcome, Record};
use crate::mechanism::{self, Mechanism};

/// Pause after a failed read, in milliseconds.
const PAUSE: u64 = 300;
/// Silence of the log in milliseconds from which it counts as lost.
const LOST_AFTER: u64 = 3_000;
/// Part of the retention after which the configuration is carried forward, as a divisor.
const CARRY_PART: u64 = 2;
/// Steps by which instances stagger their carries.
const CARRY_STEPS: u64 = 16;

/// Starts the followers.
pub fn start(entry: &Arc<Entry>) {
    entry.spawn("config-in", follow_config);
    entry.spawn("claims-in", follow_claims);
    let next = AtomicU64::new(0);
    entry.spawn("fleet-in", move |entry| follow_fleet(entry, &next));
    let lost = AtomicU64::new(0);
    entry.spawn("log-watch", move |entry| watch(entry, &lost));
}

fn read(entry: &Entry, stream: &str, from: u64) -> Option<Page> {
    match entry.log.read(stream, from, READ_WAIT) {
        Ok(page) => {
            let bytes = page.records.iter().map(|r| r.data.len() as u64).sum::<u64>();
            entry.metrics.control_bytes.inc_by(bytes);
            Some(page)
        }
        Err(e) => {
            tracing::debug!("log: {stream} can't be read: {e}.");
            entry.clock.sleep(PAUSE);
            None
        }
    }
}

fn follow_config(entry: &Arc<Entry>) {
    let from = lock(&entry.config).next();
    let Some(page) = read(entry, config::STREAM, from) else {
        gossip::fetch_config(entry, 0);
        return;
    };
    let before = lock(&entry.config).version();
    {
        let mut fold = lock(&entry.config);
        fold.set_oldest(page.oldest);
        for record in &page.records {
            let decided = match codec::unpack::<Record>(&record.data) {
                Ok(r) => fold.apply(record.offset, record.at, r),
                Err(e) => {
                    tracing::error!("config: record {} can't be read: {e}.", record.offset);
                    continue;
                }
            };
            for d in decided {
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
    settle_config(entry, before);
    if !lock(&entry.config).known() {
        gossip::fetch_config(entry, 0);
    }
    carry(entry, &page);
}

/// Puts a newer version to use, if there is one.
pub fn settle_config(entry: &Entry, before: u64) {
    let Some(current) = entry.current() else {
        return;
    };
    if current.version > before {
        entry.configure(&current);
        let detail = format!("version {} by {} is in force", current.version, current.author);
        entry.event(EventKind::ConfigInForce, &entry.settings.name, &detail);
    }
}

/// Appends the configuration in force again before its record expires. Instances take turns
/// by their number; a second copy does no harm.
fn carry(entry: &Entry, page: &Page) {
    let Some(current) = entry.current() else {
        return;
    };
    let turn = number_of(&entry.settings.name) % CARRY_STEPS;
    let age = page.now.saturating_sub(current.logged);
    let due = page.retention / CARRY_PART + page.retention / 4 * turn / CARRY_STEPS;
    if age < due || !mechanism::on(Mechanism::Carry) || page.next > lock(&entry.config).next() {
        return;
    }
    let Some(carry) = lock(&entry.config).snapshot() else {
        return;
    };
    let bytes = codec::pack(&Record::Carry(carry));
    match entry.log.append(config::STREAM, &bytes) {
        Ok(offset) => tracing::info!("config: version {} carried to {offset}.", current.version),
        Err(e) => tracing::warn!("config: carry failed: {e}."),
    }
}

fn follow_claims(entry: &Arc<Entry>) {
    let from = entry.claims.next();
    let asked = entry.now();
    if let Some(page) = read(entry, super::journal::CLAIMS, from) {
        entry.fold_claims(&page, asked);
    }
}

fn follow_fleet(entry: &Arc<Entry>, next: &AtomicU64) {
    let from = next.load(Ordering::SeqCst);
    let Some(page) = read(entry, audit::STREAM, from) else {
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

/// Says when the log is lost and when it is back; forgets old keys.
fn watch(entry: &Arc<Entry>, lost: &AtomicU64) {
    entry.clock.sleep(PAUSE);
    entry.prune_keys();
    let fresh = entry.claims.fresh();
    let age = entry.now().saturating_sub(fresh);
    entry.metrics.log_age.set(age as f64 / 1e3);
    if fresh == 0 {
        return;
    }
    let was = lost.load(Ordering::SeqCst);
    if was == 0 && age > LOST_AFTER {
        lost.store(entry.now(), Ordering::SeqCst);
        entry.event(EventKind::LogLost, "log", "claims are refused until it is back");
    }
    if was > 0 && age < LOST_AFTER {
        let detail = format!("back after {} ms", entry.now().saturating_sub(was));
        lost.store(0, Ordering::SeqCst);
        entry.event(EventKind::LogBack, "log", &detail);
    }
}
