//! Turns of the thread that reads: a full read at the start, and later one read for all requests that
//! were made before it began.

use std::sync::Arc;

use super::log::CallLog;
use super::trim::Trimmer;
use super::{Backoff, Budget, Next};
use crate::adapter::clock::{Clock, Millis};
use crate::fleet::position;
use crate::fleet::replica::{Batch, Record, Topic};
use crate::relay::follow::{Source, SourceError};
use crate::relay::state::Shared;
use crate::relay::stats::Metrics;

/// Number of full reads in a row after which a read has failed because records expired.
const MAX_FULL_READS: u32 = 2;
/// Number of pages in a row after which a full read is made: it has each key once.
const MAX_PAGES: u32 = 4;

/// Reads the records that instances wrote.
pub struct Reader {
    source: Arc<dyn Source>,
    shared: Arc<Shared>,
    clock: Clock,
    budget: Budget,
    log: CallLog,
    backoff: Backoff,
    /// Position of the next record to read; `None` if a full read is needed.
    position: Option<u64>,
    /// The first full read has succeeded.
    has_read: bool,
    trimmer: Trimmer,
    /// Names of the instances that are alive.
    alive: Vec<String>,
    /// Calls of the present read.
    calls: u64,
    /// Earliest time of the next read.
    next_at: Millis,
}

/// Records of one read.
#[derive(Debug, Default)]
struct Found {
    records: Vec<(String, Vec<u8>)>,
    /// They include the newest record of every key.
    full: bool,
    /// Keys whose removals were read.
    removed: Vec<String>,
    /// Keys to remove.
    old: Vec<String>,
}

impl Reader {
    /// A reader for the driver that `shared` informs. `trim` is the name of this instance, and the time
    /// for which records of instances that are gone are kept, in milliseconds.
    pub fn new(
        trim: (&str, u64),
        source: Arc<dyn Source>,
        shared: Arc<Shared>,
        clock: Clock,
        metrics: Arc<Metrics>,
        budget: Budget,
    ) -> Self {
        let log = CallLog::new("read", clock.clone(), metrics);
        Self {
            source,
            shared,
            clock,
            budget,
            log,
            backoff: Backoff::default(),
            position: None,
            has_read: false,
            trimmer: Trimmer::new(trim.0, trim.1),
            alive: Vec::new(),
            calls: 0,
            next_at: 0,
        }
    }

    /// Reads if a read is due, and passes on the records and the outcome.
    pub fn turn(&mut self) -> Next {
        let now = self.clock.now();
        if now < self.next_at {
            return Next::Pause(self.next_at - now);
        }
        let requested = self.shared.ledger().is_read_requested();
        if self.has_read && !requested && !self.trimmer.is_time(now) {
            return Next::Wait;
        }
        self.alive = self.shared.instances().into_iter().map(|(name, _)| name).collect();
        let trims = self.trimmer.is_due(now, &self.alive);
        if self.has_read && !requested && !trims {
            return Next::Wait;
        }
        if trims {
            self.position = None;
        }
        let number = self.shared.ledger().begin_read();
        let instances = self.alive.len();
        let mut found = Found::default();
        self.calls = 0;
        let succeeded = self.read(&mut found);
        self.next_at = now + self.calls * self.budget.read_interval(instances);
        if succeeded {
            self.backoff = Backoff::default();
        } else if !self.has_read {
            let retry_at = self.clock.now() + self.backoff.next(instances);
            self.next_at = self.next_at.max(retry_at);
        }
        self.has_read |= succeeded;
        if trims && self.has_read {
            self.trimmer.defer(now);
        }
        let old = std::mem::take(&mut found.old);
        self.publish(number, succeeded, found);
        self.remove(&old);
        Next::Pause(self.next_at.saturating_sub(self.clock.now()))
    }

    /// Reads all that was written before the call. Returns true if that succeeded.
    fn read(&mut self, found: &mut Found) -> bool {
        let mut result = match self.position {
            Some(from) => self.read_on(from, found),
            None => Err(SourceError::Expired),
        };
        for _ in 0..MAX_FULL_READS {
            if !matches!(result, Err(SourceError::Expired)) {
                break;
            }
            self.position = None;
            result = self.read_all(found);
        }
        result.is_ok()
    }

    /// Reads the records from a position to the end of the topic. Those far behind the end count as
    /// expired.
    fn read_on(&mut self, from: u64, found: &mut Found) -> Result<(), SourceError> {
        let mut from = from;
        let mut end = None;
        for _ in 0..MAX_PAGES {
            let page = self.source.read_page(Topic::Streams, from);
            let (batch, last) = self.count("read", page, |(batch, _)| batch)?;
            let is_empty = batch.end == from;
            // Later pages only have to reach the end as of the first.
            let end = *end.get_or_insert(last);
            from = batch.end;
            self.position = Some(from);
            found.add(batch.records);
            if from >= end {
                return Ok(());
            }
            if is_empty {
                return Err(SourceError::Malformed("a page without records".to_owned()));
            }
        }
        Err(SourceError::Expired)
    }

    /// Reads the newest record of every key.
    fn read_all(&mut self, found: &mut Found) -> Result<(), SourceError> {
        let batch = self.source.newest(Topic::Streams);
        let mut batch = self.count("newest", batch, |batch| batch)?;
        batch.records.sort_by_key(|r| r.offset);
        *found = Found { full: true, ..Found::default() };
        if self.trimmer.is_due(self.clock.now(), &self.alive) {
            found.old = self.trimmer.look(&batch.records, &self.alive);
        }
        found.add(batch.records);
        self.position = Some(batch.end);
        Ok(())
    }

    /// Removes keys, in one call. After a failure a later look finds them again.
    fn remove(&mut self, keys: &[String]) {
        if keys.is_empty() {
            return;
        }
        let entries: Vec<_> = keys.iter().map(|k| (k.as_str(), None)).collect();
        match self.source.put(Topic::Streams, &entries) {
            Ok(_) => {
                tracing::info!(
                    keys = keys.len(),
                    "ledger: removed records of instances that are gone"
                );
                self.log.succeeded("remove", keys.len(), keys.iter().map(String::len).sum());
            }
            Err(e) => self.log.failed("remove", &e),
        }
    }

    /// Counts a call with the records that it returned.
    fn count<T>(
        &mut self,
        call: &'static str,
        result: Result<T, SourceError>,
        batch: impl Fn(&T) -> &Batch,
    ) -> Result<T, SourceError> {
        self.calls += 1;
        match &result {
            Ok(answer) => {
                let records = &batch(answer).records;
                let size = |r: &Record| r.key.len() + r.value.as_ref().map_or(0, Vec::len);
                self.log.succeeded(call, records.len(), records.iter().map(size).sum());
            }
            Err(e) => self.log.failed(call, e),
        }
        result
    }

    /// Passes records and the outcome of a read to the driver.
    fn publish(&self, number: u64, succeeded: bool, found: Found) {
        let Found { records, full, removed, .. } = found;
        let era = self.position.filter(|_| succeeded).map(position::era);
        self.shared.notify(|updates| {
            if full {
                updates.records = records;
            } else {
                updates.records.extend(records);
            }
            updates.read = Some((number, succeeded));
            updates.ledger_era = updates.ledger_era.max(era);
        });
        if let Some(era) = era {
            self.shared.ledger().note_era(era);
            self.shared.ledger().open();
        }
        for key in &removed {
            self.shared.ledger().note_removal(key);
        }
    }
}

impl Found {
    fn add(&mut self, records: Vec<Record>) {
        for Record { key, value, .. } in records {
            match value {
                Some(value) => self.records.push((key, value)),
                None => self.removed.push(key),
            }
        }
    }
}
