//! Turns of the thread of the duties: one call to the log, then what is due under the lease.

use std::sync::Arc;

use super::{Api, Board, Duties, Journal, Reply};
use crate::adapter::clock::{Clock, Millis};
use crate::adapter::codec;
use crate::fleet::position;
use crate::fleet::replica::Batch;
use crate::policy::lease::{Append, Appended, Entry, Lease, Next, Snapshot, Standing, Term};
use crate::policy::scale::{Order, Outcome};
use crate::policy::usage::{FixedReport, Reports, Step, Window};
use crate::relay::follow::SourceError;
use crate::relay::scaling::Planner;
use crate::relay::stats::{DutyLabels, Metrics};

/// Maximum pause between two turns, in milliseconds.
const MAX_PAUSE: u64 = 50;
/// Pause after a failed call to the log, in milliseconds.
const FAILURE_PAUSE: u64 = 200;
/// Fraction of the lease that must be left before a call to the API is made.
const CALL_DIVISOR: u64 = 4;
/// Time for which other candidates are preferred to an instance that the log rejects, in milliseconds.
const IMPAIRED_MS: u64 = 10_000;
/// Time without a response of the API after which the lease is left to another instance, in
/// milliseconds: well below the time within which a usage report is due.
const UNREACHED_MS: u64 = 4_000;
/// Time for which an instance then leaves the lease to others, in milliseconds.
const YIELD_MS: u64 = 3_000;
/// Prefix of the keys of orders.
const ORDER_PREFIX: &str = "order/";
/// Maximum length of a key, in bytes.
const MAX_KEY_LEN: usize = 255;

/// The duties of one instance.
pub struct Runner {
    me: String,
    duties: Duties,
    clock: Clock,
    board: Arc<Board>,
    metrics: Arc<Metrics>,
    journal: Box<dyn Journal>,
    api: Box<dyn Api>,
    lease: Lease,
    reports: Reports,
    planner: Option<Planner>,
    /// Token of the term that the planner belongs to.
    planner_token: u64,
    /// Earliest time of the next call to the API.
    next_call: Millis,
    /// Full reads of the log in a row because records had expired.
    rereads: u64,
    /// Time since which the log answers no call.
    failing_since: Option<Millis>,
    /// Time since which the API was not reached.
    unreached_since: Option<Millis>,
    /// Time until which this instance leaves the lease to others.
    yields_until: Millis,
}

impl Runner {
    /// The duties of the instance `me`.
    pub fn new(
        me: &str,
        duties: Duties,
        clock: Clock,
        board: Arc<Board>,
        metrics: Arc<Metrics>,
        journal: Box<dyn Journal>,
        api: Box<dyn Api>,
    ) -> Self {
        let lease = Lease::new(me, rand::random(), duties.lease);
        Self {
            me: me.to_owned(),
            duties,
            clock,
            board,
            metrics,
            journal,
            api,
            lease,
            reports: Reports::default(),
            planner: None,
            planner_token: 0,
            next_call: 0,
            rereads: 0,
            failing_since: None,
            unreached_since: None,
            yields_until: 0,
        }
    }

    /// Runs one turn. Returns the pause until the next one, in milliseconds.
    pub fn turn(&mut self) -> u64 {
        let now = self.clock.now();
        let standing = self.standing(now);
        let blind = self.lease.is_blind();
        let pause = match self.lease.next(now, standing) {
            Next::Newest => self.load(),
            Next::Read { from, wait } => self.read(from, wait),
            Next::Append(append) => self.append(&append),
            Next::Wait { until } if self.lease.holds() => (until - now).clamp(1, MAX_PAUSE),
            Next::Wait { until } => until - now,
        };
        if blind && self.lease.holds() {
            let open = self.duties.times.window_of(self.board.true_time(now));
            tracing::warn!(
                first = open,
                "duty: log was restored, earlier windows are not reported"
            );
            self.reports.skip_to(open);
        }
        self.publish_role();
        if !standing.leaving {
            self.act();
        }
        pause
    }

    /// Position of this instance. One that stops, hears too few others or can't reach the API leaves the
    /// lease to another.
    fn standing(&mut self, now: Millis) -> Standing {
        let standing = self.board.standing(&self.me);
        let unreached = self.unreached_since.is_some_and(|at| now >= at + UNREACHED_MS);
        if unreached || self.board.is_isolated() {
            self.unreached_since = None;
            self.yields_until = now + YIELD_MS;
            self.board.impair(now + IMPAIRED_MS);
            if self.lease.holds() {
                tracing::warn!(unreached, "duty: lease left to another instance");
            }
        }
        Standing { leaving: standing.leaving || now < self.yields_until, ..standing }
    }

    /// Counts a call to the API, and notes whether the API was reached.
    fn count_call(&mut self, call: &'static str, reply: Reply) {
        // A slow API is slow for all; only the connection may fail for one instance.
        let reached = reply != Reply::Unreached;
        let now = self.clock.now();
        if reached {
            self.unreached_since = None;
        } else {
            self.unreached_since.get_or_insert(now);
        }
        self.metrics.duty_calls.get_or_create(&DutyLabels { call, reply: reply.name() }).inc();
    }

    /// The term, if enough of it is left for a call.
    fn term(&self) -> Option<Term> {
        let now = self.clock.now();
        let needed = self.duties.lease / CALL_DIVISOR;
        self.lease.term(now).filter(|t| t.until >= now + needed)
    }

    fn load(&mut self) -> u64 {
        match self.journal.newest() {
            Ok(batch) => {
                let entries = batch.records.into_iter();
                let entries = entries.filter_map(|r| Some((r.key, r.value?))).collect();
                self.lease.loaded(self.clock.now(), Snapshot { end: batch.end, entries });
                self.succeeded()
            }
            Err(e) => self.failed(&e),
        }
    }

    fn read(&mut self, from: u64, wait: u64) -> u64 {
        let start = self.clock.now();
        match self.journal.read(from, wait) {
            Ok(Batch { end, records, .. }) => {
                let records = records.iter().map(|r| (r.key.as_str(), r.value.as_deref()));
                let now = self.clock.now();
                self.lease.received(now, end, records);
                self.succeeded();
                self.end_rereads();
                // A log that doesn't wait is not called without a pause.
                if end == from && now < start + wait / 2 { MAX_PAUSE } else { 0 }
            }
            Err(SourceError::Expired) => {
                self.lease.expired();
                self.succeeded();
                self.reread(from)
            }
            Err(e) => self.failed(&e),
        }
    }

    /// Counts a full read that is due because records have expired. Returns the pause before it: further
    /// ones in a row don't follow at once.
    fn reread(&mut self, from: u64) -> u64 {
        self.rereads += 1;
        if self.rereads > 1 {
            return FAILURE_PAUSE;
        }
        let (era, end) = (position::era(from), position::offset(from));
        tracing::info!(era, end, "duty: records expired, rereading all");
        0
    }

    fn end_rereads(&mut self) {
        let rereads = std::mem::take(&mut self.rereads);
        if rereads > 1 {
            tracing::info!(rereads, "duty: reads go on after rereads");
        }
    }

    fn append(&mut self, append: &Append) -> u64 {
        let outcome = self.journal.append(append.at, &append.records);
        self.lease.appended(&outcome);
        match &outcome {
            Appended::Done | Appended::Moved { .. } => self.succeeded(),
            Appended::Refused(e) => self.failed(&SourceError::Refused(e.clone())),
            Appended::Unknown(e) => self.failed(&SourceError::Unanswered(e.clone())),
        }
    }

    fn succeeded(&mut self) -> u64 {
        if self.failing_since.take().is_some() {
            tracing::info!("duty: log regained");
        }
        0
    }

    /// Notes a failed call. An instance whose calls fail for as long as the lease lasts is no longer
    /// preferred as a candidate.
    fn failed(&mut self, e: &SourceError) -> u64 {
        let now = self.clock.now();
        let since = match self.failing_since {
            Some(since) => since,
            None => {
                tracing::warn!("duty: call to the log failed: {e}");
                *self.failing_since.insert(now)
            }
        };
        if now >= since + self.duties.lease && !self.board.is_impaired(now) {
            tracing::warn!("duty: log lost, other instances are preferred");
            self.board.impair(now + IMPAIRED_MS);
        }
        FAILURE_PAUSE
    }

    /// Tells the event loop whether this instance is the holder.
    fn publish_role(&mut self) {
        let holds = self.lease.holds();
        self.metrics.duty_holder.set(i64::from(holds));
        if !self.board.set_holds(holds) {
            return;
        }
        let token = self.lease.term(self.clock.now()).map(|t| t.token);
        tracing::info!(holds, ?token, "duty: role changed");
    }

    /// Appends records under the lease. Returns true if they certainly were appended; otherwise the
    /// next turns settle the outcome.
    fn record(&mut self, records: Vec<Entry>) -> bool {
        let Some(append) = self.lease.write(self.clock.now(), records) else { return false };
        let done = self.append(&append) == 0 && self.lease.holds() && !self.lease.is_settling();
        self.publish_role();
        done
    }

    /// Does what is due under the lease.
    fn act(&mut self) {
        if self.duties.usage {
            self.report();
        }
        if self.duties.scaling {
            self.scale();
        }
    }

    /// True if the rate limit allows a call to the API now.
    fn may_call(&mut self) -> bool {
        let now = self.clock.now();
        if now < self.next_call {
            return false;
        }
        self.next_call = now + self.duties.call_gap;
        true
    }

    /// Takes the next step of the usage reports.
    fn report(&mut self) {
        if self.term().is_none() {
            return;
        }
        let now = self.board.true_time(self.clock.now());
        if self.restore_reports() {
            return;
        }
        let recorded: Vec<FixedReport> =
            self.lease.values(FixedReport::PREFIX).filter_map(decode).collect();
        let (times, board) = (self.duties.times, Arc::clone(&self.board));
        let missing = |w| board.missing(w);
        match self.reports.next(&times, now, &recorded, board.first_window(), missing) {
            Step::Nothing => {}
            Step::Fix(window) => self.fix(window),
            Step::Send(report) => self.send_report(&report),
            Step::Drop(window) => {
                tracing::error!(window, "duty: usage report missed");
                self.mark_sent(window);
            }
        }
    }

    /// Records the reports again that the log has lost because it was restored from a copy. Returns true
    /// if that is not done yet.
    fn restore_reports(&mut self) -> bool {
        let known = |key: &str| self.lease.value(key).and_then(|v| decode((key, v)));
        let carried = self.lease.carried(FixedReport::PREFIX);
        let lost: Vec<Entry> = carried
            .filter_map(decode)
            .filter(|r| known(&FixedReport::key(r.window)).is_none_or(|k| r.is_after(&k)))
            .map(|r| entry(&r))
            .collect();
        if !lost.is_empty() {
            tracing::info!(reports = lost.len(), "duty: log was restored, reports recorded again");
            if !self.record(lost) {
                return true;
            }
        }
        self.lease.forget_carried();
        false
    }

    /// Fixes the content of a window's report, and sends it.
    fn fix(&mut self, window: Window) {
        let counts = self.board.totals(window);
        let (total, missing) = (counts.values().sum::<u64>(), self.board.missing(window));
        let body = self.api.encode_report(window, &counts);
        let report = FixedReport { window, sent: false, body };
        if self.record(vec![entry(&report)]) {
            let workspaces = counts.len();
            tracing::info!(window, workspaces, total, missing, "duty: usage report fixed");
            self.send_report(&report);
        }
    }

    fn send_report(&mut self, report: &FixedReport) {
        let Some(term) = self.term() else { return };
        if !self.may_call() {
            return;
        }
        let window = report.window;
        let reply = self.api.report(&term, &report.body);
        self.count_call("usage", reply);
        tracing::info!(window, token = term.token, ?reply, "duty: usage report sent");
        match reply {
            Reply::Accepted | Reply::Rejected => self.mark_sent(window),
            Reply::Limited | Reply::Unreached | Reply::Unknown | Reply::Unavailable => {
                let now = self.board.true_time(self.clock.now());
                self.reports.failed(now, window);
            }
        }
    }

    fn mark_sent(&mut self, window: Window) {
        self.record(vec![entry(&FixedReport { window, sent: true, body: Vec::new() })]);
    }

    /// Records and sends the orders that are due.
    fn scale(&mut self) {
        let Some(term) = self.term() else { return };
        let now = self.clock.now();
        if self.planner.is_none() || self.planner_token != term.token {
            let recorded = self.lease.values(ORDER_PREFIX).filter_map(decode_order).collect();
            self.planner = Some(Planner::new(recorded, Arc::clone(&self.metrics)));
            self.planner_token = term.token;
        }
        let demand = self.board.demand();
        let Some(planner) = &mut self.planner else { return };
        let orders = planner.plan(now, &demand);
        if orders.is_empty() {
            return;
        }
        let entries = orders.iter().filter_map(order_entry).collect();
        let recorded = self.record(entries);
        for order in &orders {
            let outcome = if recorded { self.send_order(order) } else { Outcome::Limited };
            let now = self.clock.now();
            if let Some(planner) = &mut self.planner {
                planner.answered(now, order, outcome);
            }
        }
    }

    /// Sends an order. One that can't be sent now counts as limited.
    fn send_order(&mut self, order: &Order) -> Outcome {
        let Some(term) = self.term() else { return Outcome::Limited };
        let wait = self.next_call.saturating_sub(self.clock.now());
        if wait > 0 && matches!(self.clock, Clock::System { .. }) {
            self.clock.sleep(wait);
        }
        self.may_call();
        let reply = self.api.order(&term, order);
        self.count_call("scale", reply);
        let Order { service, domain, kind, desired } = order;
        tracing::info!(
            service,
            domain,
            ?kind,
            desired,
            token = term.token,
            ?reply,
            "duty: order sent"
        );
        match reply {
            Reply::Accepted => Outcome::Accepted,
            Reply::Unavailable | Reply::Rejected => Outcome::Unavailable,
            Reply::Limited | Reply::Unreached => Outcome::Limited,
            Reply::Unknown => Outcome::Unknown,
        }
    }
}

fn entry(report: &FixedReport) -> Entry {
    Entry { key: FixedReport::key(report.window), value: codec::pack(report) }
}

fn decode((key, value): (&str, &[u8])) -> Option<FixedReport> {
    match codec::unpack(value) {
        Ok(report) => Some(report),
        Err(e) => {
            tracing::warn!(key, "duty: a report can't be read: {e}");
            None
        }
    }
}

/// The record of an order; `None` if its names are too long for a key.
fn order_entry(order: &Order) -> Option<Entry> {
    let kind = format!("{:?}", order.kind).to_lowercase();
    let key = format!("{ORDER_PREFIX}{}/{}/{kind}", order.service, order.domain);
    if key.len() > MAX_KEY_LEN {
        tracing::error!(key, "duty: key of an order is too long");
        return None;
    }
    Some(Entry { key, value: codec::pack(order) })
}

fn decode_order((key, value): (&str, &[u8])) -> Option<Order> {
    match codec::unpack(value) {
        Ok(order) => Some(order),
        Err(e) => {
            tracing::warn!(key, "duty: an order can't be read: {e}");
            None
        }
    }
}
