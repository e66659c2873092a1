//! Tests of the ledger: its threads' turns on paused time against a simulated platform that refuses,
//! loses answers, forgets records and is restored from a copy.
#![allow(clippy::unwrap_used)]

mod common;

use std::sync::{Arc, Mutex};

use indexmap::IndexMap;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sassafrasworks::adapter::clock::Clock;
use sassafrasworks::fleet::position;
use sassafrasworks::fleet::replica::{Batch, Record, Topic};
use sassafrasworks::policy::place::Listing;
use sassafrasworks::relay::follow::{Source, SourceError, max_backoff};
use sassafrasworks::relay::ledger::{self, Board, Budget, MAX_REMOVALS, Next, Reader, Writer};
use sassafrasworks::relay::state::Shared;
use sassafrasworks::relay::stats::Metrics;
use sassafrasworks::relay::table::RoutingTable;

const START: u64 = 1_000_000;
/// Calls that the users' platform accepts.
const BUDGET: Budget = Budget { writes: 400.0, reads: 2_000.0 };
/// Name of the instance, the lowest of the fleet.
const ME: &str = "edge-0";
/// Time for which records of instances that are gone are kept, in milliseconds: longer than other tests.
const RETENTION: u64 = 1_000_000;
/// Part of those calls that all ledgers make at most.
const FRACTION: f64 = 0.5;

/// How the platform answers calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Fault {
    #[default]
    None,
    Refuses,
    /// Writes, without an answer.
    LosesAnswers,
    /// Answers all reads with "expired".
    Expires,
}

/// Key and value.
type Pair = (String, Vec<u8>);

/// What a call does to others while it runs.
type Hook = Box<dyn FnMut() + Send>;

#[derive(Clone, Default)]
struct Log {
    era: u64,
    /// Offset of the first record that is kept.
    first: usize,
    records: Vec<(String, Option<Vec<u8>>)>,
}

impl Log {
    fn end(&self) -> u64 {
        position::at(self.era, self.records.len() as u64)
    }

    fn record(&self, offset: usize) -> Record {
        let (key, value) = self.records[offset].clone();
        Record { offset: position::at(self.era, offset as u64), key, value, remaining: None }
    }

    /// The newest record of every key that exists.
    fn newest(&self) -> IndexMap<String, (usize, Vec<u8>)> {
        let mut newest = IndexMap::new();
        for (offset, (key, value)) in self.records.iter().enumerate() {
            match value {
                Some(value) => _ = newest.insert(key.clone(), (offset, value.clone())),
                None => _ = newest.shift_remove(key),
            }
        }
        newest
    }
}

#[derive(Default)]
struct State {
    log: Log,
    fault: Fault,
    /// Most records of a page.
    page: usize,
    /// Times and entries of the writes, refused ones too.
    writes: Vec<(u64, Vec<Pair>)>,
    /// Times of the reads from a position.
    reads: Vec<u64>,
    /// Times of the full reads.
    full_reads: Vec<u64>,
    hook: Option<Hook>,
}

/// The simulated platform.
struct Platform {
    clock: Clock,
    state: Mutex<State>,
}

impl Platform {
    fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().unwrap())
    }

    fn set_fault(&self, fault: Fault) {
        self.with(|s| s.fault = fault);
    }

    /// Appends a record of another instance.
    fn append(&self, key: &str, value: &str) {
        self.with(|s| s.log.records.push((key.to_owned(), Some(value.as_bytes().to_vec()))));
    }

    /// Goes back to a copy: what was written since is lost, and its offsets are given out again.
    fn restore(&self, copy: Log) {
        self.with(|s| s.log = Log { era: s.log.era + 1, ..copy });
    }

    /// Forgets the records; the newest of each key stay.
    fn compact(&self) {
        self.with(|s| s.log.first = s.log.records.len());
    }

    /// Sets what the next call does while it runs.
    fn set_hook(&self, hook: Hook) {
        self.with(|s| s.hook = Some(hook));
    }

    fn run_hook(&self) {
        let hook = self.with(|s| s.hook.take());
        if let Some(mut hook) = hook {
            hook();
        }
    }

    fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.with(|s| s.log.newest().get(key).map(|(_, v)| v.clone()))
    }
}

/// The error of a read under a fault.
fn check_read(fault: Fault) -> Result<(), SourceError> {
    match fault {
        Fault::None | Fault::LosesAnswers => Ok(()),
        Fault::Refuses => Err(SourceError::Refused("down".to_owned())),
        Fault::Expires => Err(SourceError::Expired),
    }
}

impl Source for Platform {
    fn newest(&self, topic: Topic) -> Result<Batch, SourceError> {
        assert_eq!(topic, Topic::Streams);
        let now = self.clock.now();
        let result = self.with(|s| {
            s.full_reads.push(now);
            check_read(s.fault)?;
            let mut newest = s.log.newest();
            newest.sort_unstable_keys();
            let records = newest.values().map(|(offset, _)| s.log.record(*offset)).collect();
            Ok(Batch { end: s.log.end(), records, kept: Vec::new() })
        });
        self.run_hook();
        result
    }

    fn read(&self, _: Topic, _: u64, _: u64) -> Result<Batch, SourceError> {
        panic!("the ledger doesn't wait for records");
    }

    fn read_page(&self, topic: Topic, from: u64) -> Result<(Batch, u64), SourceError> {
        assert_eq!(topic, Topic::Streams);
        let now = self.clock.now();
        let result = self.with(|s| {
            s.reads.push(now);
            check_read(s.fault)?;
            let offset = position::offset(from) as usize;
            let (first, last) = (s.log.first, s.log.records.len());
            if position::era(from) != s.log.era || offset < first || offset > last {
                return Err(SourceError::Expired);
            }
            let end = last.min(offset + s.page);
            let records = (offset..end).map(|o| s.log.record(o)).collect();
            let batch =
                Batch { end: position::at(s.log.era, end as u64), records, kept: Vec::new() };
            Ok((batch, s.log.end()))
        });
        self.run_hook();
        result
    }

    fn put(&self, topic: Topic, entries: &[(&str, Option<&[u8]>)]) -> Result<u64, SourceError> {
        assert_eq!(topic, Topic::Streams);
        let now = self.clock.now();
        let result = self.with(|s| {
            let copy = |(k, v): &(&str, Option<&[u8]>)| (k.to_string(), v.map(<[u8]>::to_vec));
            let entries: Vec<_> = entries.iter().map(copy).collect();
            let sent = entries.iter().cloned().map(|(k, v)| (k, v.unwrap_or_default()));
            s.writes.push((now, sent.collect()));
            if s.fault == Fault::Refuses {
                return Err(SourceError::Refused("status 503".to_owned()));
            }
            s.log.records.extend(entries);
            match s.fault {
                Fault::LosesAnswers => Err(SourceError::Unanswered("cut".to_owned())),
                _ => Ok(s.log.era),
            }
        });
        self.run_hook();
        result
    }

    fn table(&self, _: &str, _: &[u8]) -> Option<Result<RoutingTable, String>> {
        None
    }

    fn listing(&self, _: &str, _: &[u8]) -> Result<Listing, String> {
        Err("none".to_owned())
    }
}

/// An instance with its board and the threads of the ledger, which the test runs by hand.
struct Instance {
    platform: Arc<Platform>,
    shared: Arc<Shared>,
    clock: Clock,
    metrics: Arc<Metrics>,
    writer: Writer,
    reader: Reader,
}

fn platform(clock: &Clock) -> Arc<Platform> {
    let state = State { page: 1_000, ..State::default() };
    Arc::new(Platform { clock: clock.clone(), state: Mutex::new(state) })
}

/// State of an instance in a fleet of `instances`.
fn shared_state(clock: &Clock, instances: usize) -> Arc<Shared> {
    let poll = mio::Poll::new().unwrap();
    let waker = mio::Waker::new(poll.registry(), mio::Token(0)).unwrap();
    let shared = Arc::new(Shared::new(clock.clone(), waker));
    let addr = common::free_addr();
    shared.set_instances((0..instances).map(|i| (format!("edge-{i}"), addr)).collect());
    shared
}

impl Instance {
    /// An instance that has read nothing.
    fn starting(platform: &Arc<Platform>, instances: usize) -> Self {
        let (platform, clock) = (Arc::clone(platform), platform.clock.clone());
        let shared = shared_state(&clock, instances);
        let metrics = Arc::<Metrics>::default();
        let source: Arc<dyn Source> = platform.clone();
        let parts = || (Arc::clone(&source), Arc::clone(&shared), clock.clone());
        let (a, b, c) = parts();
        let writer = Writer::new(a, b, c, Arc::clone(&metrics), BUDGET);
        let (a, b, c) = parts();
        let reader = Reader::new((ME, RETENTION), a, b, c, Arc::clone(&metrics), BUDGET);
        Self { platform, shared, clock, metrics, writer, reader }
    }

    /// An instance that has read all.
    fn new(platform: &Arc<Platform>, instances: usize) -> Self {
        let mut instance = Self::starting(platform, instances);
        instance.run(10_000);
        assert_eq!(instance.shared.take_updates().read, Some((0, true)));
        instance
    }

    /// An instance alone that has read all of an empty platform.
    fn alone() -> Self {
        Self::new(&platform(&Clock::manual(START)), 1)
    }

    fn board(&self) -> &Board {
        self.shared.ledger()
    }

    /// Gives each thread the turns that are due now.
    fn act(&mut self) {
        for _ in 0..4 {
            if self.writer.turn() != Next::Pause(0) && self.reader.turn() != Next::Pause(0) {
                return;
            }
        }
    }

    /// Runs both threads for `ms`, a millisecond at a time.
    fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.act();
            self.clock.advance(1);
        }
    }

    /// Values of a key in the writes so far.
    fn sent(&self, key: &str) -> Vec<String> {
        let text = |v: &[u8]| String::from_utf8_lossy(v).into_owned();
        self.platform.with(|s| {
            let entries = s.writes.iter().flat_map(|(_, entries)| entries);
            entries.filter(|(k, _)| k == key).map(|(_, v)| text(v)).collect()
        })
    }

    fn writes(&self) -> usize {
        self.platform.with(|s| s.writes.len())
    }
}

fn pairs(list: &[(&str, &str)]) -> Vec<Pair> {
    list.iter().map(|(k, v)| (k.to_string(), v.as_bytes().to_vec())).collect()
}

#[test]
fn nothing_is_written_before_the_first_read_has_succeeded() {
    let platform = platform(&Clock::manual(START));
    platform.append("instance/edge-0", "before");
    platform.set_fault(Fault::Refuses);
    let mut instance = Instance::starting(&platform, 1);
    let number = instance.board().put("instance/edge-0", b"after".to_vec());
    instance.run(10_000);
    assert_eq!(instance.writes(), 0);
    let updates = instance.shared.take_updates();
    assert_eq!((updates.read, updates.written), (Some((0, false)), None));
    platform.set_fault(Fault::None);
    instance.run(2_000);
    let updates = instance.shared.take_updates();
    assert_eq!((updates.read, updates.written), (Some((0, true)), Some(number)));
    assert_eq!(updates.records, pairs(&[("instance/edge-0", "before")]));
    assert_eq!(updates.ledger_era, Some(0));
    assert_eq!(platform.value("instance/edge-0"), Some(b"after".to_vec()));
}

#[test]
fn first_read_is_repeated_with_growing_pauses() {
    let platform = platform(&Clock::manual(START));
    platform.set_fault(Fault::Refuses);
    let mut instance = Instance::starting(&platform, 9);
    instance.run(20_000);
    let times = platform.with(|s| s.full_reads.clone());
    let gaps: Vec<u64> = times.windows(2).map(|w| w[1] - w[0]).collect();
    assert!(gaps[0] >= 100 && gaps[0] <= 150, "{gaps:?}");
    let most = max_backoff(9);
    assert!(gaps[5..].iter().all(|g| (most..=most + most / 2).contains(g)), "{gaps:?}");
}

#[test]
fn first_read_has_the_newest_value_of_every_key_oldest_first() {
    let platform = platform(&Clock::manual(START));
    for (key, value) in [("b", "1"), ("c", "2"), ("a", "3"), ("b", "4")] {
        platform.append(key, value);
    }
    let mut instance = Instance::starting(&platform, 1);
    instance.run(10);
    let records = instance.shared.take_updates().records;
    assert_eq!(records, pairs(&[("c", "2"), ("a", "3"), ("b", "4")]));
}

#[test]
fn changes_of_several_keys_go_in_one_call_and_superseded_ones_in_none() {
    let mut instance = Instance::alone();
    let board = Arc::clone(instance.shared.ledger());
    let numbers = [("a", "1"), ("b", "1"), ("a", "2")].map(|(k, v)| board.put(k, v.into()));
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
    instance.act();
    let writes = instance.platform.with(|s| s.writes.clone());
    assert_eq!(writes, [(instance.clock.now(), pairs(&[("b", "1"), ("a", "2")]))]);
    assert_eq!(instance.shared.take_updates().written, Some(numbers[2]));
}

#[test]
fn change_after_a_quiet_time_is_written_at_once_and_the_next_after_the_interval() {
    for n in [1, 9, 60, 195, 750] {
        let mut instance = Instance::new(&platform(&Clock::manual(START)), n);
        instance.run(100_000);
        let board = Arc::clone(instance.shared.ledger());
        let start = instance.clock.now();
        for i in 0..3 * BUDGET.write_interval(n) {
            board.put("a", i.to_string().into());
            instance.run(1);
        }
        let times: Vec<u64> = instance.platform.with(|s| s.writes.iter().map(|w| w.0).collect());
        let expected: Vec<u64> = (0..3).map(|i| start + i * BUDGET.write_interval(n)).collect();
        assert_eq!(times, expected, "{n} instances");
    }
}

#[test]
fn request_after_a_quiet_time_is_read_at_once_and_the_next_after_the_interval() {
    for n in [1, 9, 60, 195, 750] {
        let mut instance = Instance::new(&platform(&Clock::manual(START)), n);
        instance.run(100_000);
        let start = instance.clock.now();
        for _ in 0..3 * BUDGET.read_interval(n) {
            instance.board().request_read();
            instance.run(1);
        }
        let times = instance.platform.with(|s| s.reads.clone());
        let expected: Vec<u64> = (0..3).map(|i| start + i * BUDGET.read_interval(n)).collect();
        assert_eq!(times, expected, "{n} instances");
    }
}

#[test]
fn intervals_are_the_minimum_in_small_fleets_and_grow_with_large_ones() {
    let intervals = |n| (BUDGET.write_interval(n), BUDGET.read_interval(n));
    let all = [1, 9, 60, 195, 750].map(intervals);
    assert_eq!(all, [(50, 20), (50, 20), (300, 60), (975, 195), (3_750, 750)]);
}

/// Calls of a whole fleet of `n`, each second: writes and reads. All instances change a value and ask
/// for a read each millisecond, over 60 s on a platform under a fault.
fn calls_per_second(n: usize, fault: Fault) -> (f64, f64) {
    const SECONDS: u64 = 60;
    let mut instance = Instance::new(&platform(&Clock::manual(START)), n);
    instance.platform.set_fault(fault);
    instance.run(100_000);
    let count =
        |i: &Instance| i.platform.with(|s| (s.writes.len(), s.reads.len() + s.full_reads.len()));
    let before = count(&instance);
    for i in 0..SECONDS * 1_000 {
        instance.board().put("a", i.to_string().into());
        instance.board().request_read();
        if i % 10 == 0 {
            instance.platform.append("b", "1");
        }
        instance.run(1);
    }
    let after = count(&instance);
    let rate = |calls: usize| (calls * n) as f64 / SECONDS as f64;
    (rate(after.0 - before.0), rate(after.1 - before.1))
}

/// An instance may make one call more than its share in a time, since its first one is at once.
fn assert_in_budget(n: usize, (writes, reads): (f64, f64)) {
    println!("{n} instances: {writes:.1} writes/s, {reads:.1} reads/s");
    let first = n as f64 / 60.0;
    assert!(writes <= FRACTION * BUDGET.writes + first, "{n} instances: {writes} writes/s");
    assert!(reads <= FRACTION * BUDGET.reads + first, "{n} instances: {reads} reads/s");
}

fn keeps_the_budget(n: &usize) {
    assert_in_budget(*n, calls_per_second(*n, Fault::None));
}

fn keeps_the_budget_while_refused(n: &usize) {
    assert_in_budget(*n, calls_per_second(*n, Fault::Refuses));
}

cases! { keeps_the_budget:
    one_instance_keeps_the_budget => 1;
    nine_instances_keep_the_budget => 9;
    sixty_instances_keep_the_budget => 60;
    fleet_of_195_keeps_the_budget => 195;
    fleet_of_750_keeps_the_budget => 750;
}

cases! { keeps_the_budget_while_refused:
    nine_refused_instances_keep_the_budget => 9;
    refused_fleet_of_195_keeps_the_budget => 195;
    refused_fleet_of_750_keeps_the_budget => 750;
}

#[test]
fn idle_instance_makes_no_calls() {
    let mut instance = Instance::alone();
    instance.run(60_000);
    let calls = instance.platform.with(|s| (s.writes.len(), s.reads.len(), s.full_reads.len()));
    assert_eq!(calls, (0, 0, 1));
}

#[test]
fn refused_write_is_repeated_with_growing_pauses_and_the_newest_value() {
    let mut instance = Instance::alone();
    instance.platform.set_fault(Fault::Refuses);
    instance.board().put("a", b"old".to_vec());
    instance.run(10);
    let number = instance.board().put("a", b"new".to_vec());
    instance.run(10_000);
    let times: Vec<u64> = instance.platform.with(|s| s.writes.iter().map(|w| w.0).collect());
    let gaps: Vec<u64> = times.windows(2).map(|w| w[1] - w[0]).collect();
    assert!((100..=150).contains(&gaps[0]), "{gaps:?}");
    assert!(gaps[5..].iter().all(|g| (800..=1_200).contains(g)), "{gaps:?}");
    assert_eq!(instance.shared.take_updates().written, None);
    instance.platform.set_fault(Fault::None);
    instance.run(2_000);
    assert_eq!(instance.shared.take_updates().written, Some(number));
    let sent = instance.sent("a");
    assert!(sent[0] == "old" && sent[1..].iter().all(|v| v == "new"), "{sent:?}");
    let writes = instance.writes();
    instance.run(10_000);
    assert_eq!(instance.writes(), writes, "it is written once");
}

#[test]
fn write_without_an_answer_is_repeated_and_counts_only_then() {
    let mut instance = Instance::alone();
    instance.platform.set_fault(Fault::LosesAnswers);
    let number = instance.board().put("a", b"1".to_vec());
    instance.run(500);
    assert_eq!(instance.shared.take_updates().written, None);
    instance.platform.set_fault(Fault::None);
    instance.run(2_000);
    assert_eq!(instance.shared.take_updates().written, Some(number));
    assert!(instance.sent("a").len() >= 2);
}

#[test]
fn change_during_a_write_is_not_acknowledged_by_it() {
    let mut instance = Instance::alone();
    let board = Arc::clone(instance.shared.ledger());
    let first = board.put("a", b"1".to_vec());
    let later = Arc::clone(&board);
    instance.platform.set_hook(Box::new(move || _ = later.put("a", b"2".to_vec())));
    instance.act();
    assert_eq!(instance.shared.take_updates().written, Some(first));
    instance.run(100);
    assert_eq!(instance.shared.take_updates().written, Some(first + 1));
    assert_eq!(instance.sent("a"), ["1", "2"]);
}

#[test]
fn large_changes_go_in_several_calls_and_count_in_their_order() {
    let mut instance = Instance::alone();
    let value = |i: u8| vec![i; 100 << 10];
    for i in 0..5 {
        instance.board().put(&format!("k{i}"), value(i));
    }
    let mut told = Vec::new();
    for _ in 0..300 {
        instance.run(1);
        told.extend(instance.shared.take_updates().written);
    }
    assert_eq!(told, [2, 4, 5]);
    assert!((0..5).all(|i| instance.platform.value(&format!("k{i}")) == Some(value(i))));
}

#[test]
fn record_that_is_too_long_holds_up_no_others_and_never_counts_as_written() {
    let mut instance = Instance::alone();
    let first = instance.board().put("a", b"1".to_vec());
    instance.board().put("long", vec![1; 200 << 10]);
    instance.board().put(&"k".repeat(256), b"1".to_vec());
    instance.board().put("b", b"1".to_vec());
    instance.run(1_000);
    assert_eq!(instance.shared.take_updates().written, Some(first));
    assert_eq!((instance.sent("b").len(), instance.writes()), (1, 1));
    instance.board().put("long", b"1".to_vec());
    instance.run(1_000);
    assert_eq!(instance.shared.take_updates().written, Some(2), "the long key is the third");
}

#[test]
fn key_with_an_empty_value_is_removed() {
    let mut instance = Instance::alone();
    instance.board().put("a", b"1".to_vec());
    instance.run(100);
    let number = instance.board().put("a", Vec::new());
    instance.run(100);
    assert_eq!(instance.shared.take_updates().written, Some(number));
    assert_eq!(instance.platform.value("a"), None);
}

#[test]
fn one_read_serves_all_requests_made_before_it() {
    let mut instance = Instance::alone();
    instance.platform.append("a", "1");
    let numbers: Vec<u64> = (0..5).map(|_| instance.board().request_read()).collect();
    instance.run(100);
    let updates = instance.shared.take_updates();
    assert_eq!(updates.read, Some((numbers[4], true)));
    assert_eq!(updates.records, pairs(&[("a", "1")]));
    assert_eq!(instance.platform.with(|s| s.reads.len()), 1);
}

#[test]
fn request_during_a_read_gets_the_next_one() {
    let mut instance = Instance::alone();
    let first = instance.board().request_read();
    let (board, platform) = (Arc::clone(instance.shared.ledger()), Arc::clone(&instance.platform));
    instance.platform.set_hook(Box::new(move || {
        platform.append("a", "late");
        board.request_read();
    }));
    instance.act();
    let updates = instance.shared.take_updates();
    assert_eq!((updates.read, updates.records.len()), (Some((first, true)), 0));
    instance.run(100);
    let updates = instance.shared.take_updates();
    assert_eq!(updates.read, Some((first + 1, true)));
    assert_eq!(updates.records, pairs(&[("a", "late")]));
}

#[test]
fn request_before_the_first_read_is_served_by_it() {
    let mut instance = Instance::starting(&platform(&Clock::manual(START)), 1);
    let number = instance.board().request_read();
    instance.run(100);
    assert_eq!(instance.shared.take_updates().read, Some((number, true)));
    assert_eq!(instance.platform.with(|s| (s.full_reads.len(), s.reads.len())), (1, 0));
}

#[test]
fn failed_read_ends_at_once_and_is_not_repeated_unless_asked() {
    let mut instance = Instance::alone();
    instance.platform.set_fault(Fault::Refuses);
    let number = instance.board().request_read();
    instance.act();
    assert_eq!(instance.shared.take_updates().read, Some((number, false)));
    instance.platform.set_fault(Fault::None);
    instance.platform.append("a", "1");
    instance.run(10_000);
    assert_eq!(instance.shared.take_updates().read, None);
    assert_eq!(instance.platform.with(|s| s.reads.len()), 1);
    instance.board().request_read();
    instance.run(1);
    let updates = instance.shared.take_updates();
    assert_eq!(updates.read, Some((number + 1, true)));
    assert_eq!(updates.records, pairs(&[("a", "1")]));
}

#[test]
fn read_of_several_pages_reaches_the_end_as_of_its_start() {
    let mut instance = Instance::alone();
    instance.platform.with(|s| s.page = 3);
    (0..10).for_each(|i| instance.platform.append(&format!("k{i}"), "1"));
    let number = instance.board().request_read();
    instance.act();
    let updates = instance.shared.take_updates();
    assert_eq!((updates.read, updates.records.len()), (Some((number, true)), 10));
    assert_eq!(instance.platform.with(|s| s.reads.len()), 4);
}

#[test]
fn read_of_several_pages_is_followed_by_as_many_intervals() {
    let mut instance = Instance::alone();
    instance.platform.with(|s| s.page = 1);
    (0..4).for_each(|i| instance.platform.append(&format!("k{i}"), "1"));
    for _ in 0..130 {
        instance.board().request_read();
        instance.run(1);
    }
    let times = instance.platform.with(|s| s.reads.clone());
    let interval = BUDGET.read_interval(1);
    let later: Vec<u64> = [4, 5, 6].iter().map(|i| times[0] + i * interval).collect();
    assert_eq!(times[4..], later);
}

#[test]
fn instance_that_is_many_pages_behind_reads_each_key_once() {
    let mut instance = Instance::alone();
    instance.platform.with(|s| s.page = 10);
    (0..1_000).for_each(|i| instance.platform.append("a", &i.to_string()));
    let number = instance.board().request_read();
    instance.act();
    let updates = instance.shared.take_updates();
    assert_eq!(updates.read, Some((number, true)));
    assert_eq!(updates.records, pairs(&[("a", "999")]));
    assert_eq!(instance.platform.with(|s| (s.reads.len(), s.full_reads.len())), (4, 2));
}

#[test]
fn records_of_the_pages_before_a_failed_one_are_passed_on() {
    let mut instance = Instance::alone();
    instance.platform.with(|s| s.page = 3);
    (0..5).for_each(|i| instance.platform.append(&format!("k{i}"), "1"));
    let platform = Arc::clone(&instance.platform);
    instance.platform.set_hook(Box::new(move || platform.set_fault(Fault::Refuses)));
    let number = instance.board().request_read();
    instance.act();
    let updates = instance.shared.take_updates();
    assert_eq!((updates.read, updates.records.len()), (Some((number, false)), 3));
    instance.platform.set_fault(Fault::None);
    instance.board().request_read();
    instance.run(100);
    let updates = instance.shared.take_updates();
    assert_eq!(updates.records, pairs(&[("k3", "1"), ("k4", "1")]));
}

#[test]
fn page_without_records_before_the_end_is_a_failed_read() {
    let mut instance = Instance::alone();
    instance.platform.with(|s| s.page = 0);
    instance.platform.append("a", "1");
    let number = instance.board().request_read();
    instance.run(100);
    assert_eq!(instance.shared.take_updates().read, Some((number, false)));
    assert_eq!(instance.platform.with(|s| s.reads.len()), 1);
}

#[test]
fn expired_records_are_followed_by_a_full_read() {
    let mut instance = Instance::alone();
    instance.platform.append("a", "1");
    instance.platform.append("a", "2");
    instance.platform.compact();
    let number = instance.board().request_read();
    instance.act();
    let updates = instance.shared.take_updates();
    assert_eq!(updates.read, Some((number, true)));
    assert_eq!(updates.records, pairs(&[("a", "2")]));
    instance.run(100);
    instance.board().request_read();
    instance.run(100);
    let calls = instance.platform.with(|s| (s.full_reads.len(), s.reads.len()));
    assert_eq!(calls, (2, 2), "the next read goes on from the end");
}

#[test]
fn read_that_stays_expired_has_failed_after_two_full_reads() {
    let mut instance = Instance::alone();
    instance.platform.set_fault(Fault::Expires);
    let number = instance.board().request_read();
    instance.run(1_000);
    assert_eq!(instance.shared.take_updates().read, Some((number, false)));
    let calls = instance.platform.with(|s| (s.full_reads.len(), s.reads.len()));
    assert_eq!(calls, (1 + 2, 1));
    instance.platform.set_fault(Fault::None);
    instance.platform.append("a", "1");
    instance.board().request_read();
    instance.run(100);
    let updates = instance.shared.take_updates();
    assert_eq!(updates.read, Some((number + 1, true)));
    assert_eq!(updates.records, pairs(&[("a", "1")]));
}

#[test]
fn values_are_written_again_after_a_read_shows_that_the_platform_was_restored() {
    let mut instance = Instance::alone();
    let copy = instance.platform.with(|s| s.log.clone());
    instance.board().put("a", b"1".to_vec());
    instance.board().put("b", b"1".to_vec());
    instance.run(100);
    instance.platform.restore(copy);
    instance.run(10_000);
    assert_eq!(instance.platform.value("a"), None, "nobody has told the instance");
    instance.shared.take_updates();
    let number = instance.board().request_read();
    instance.run(100);
    let updates = instance.shared.take_updates();
    assert_eq!((updates.read, updates.ledger_era), (Some((number, true)), Some(1)));
    assert_eq!(updates.written, None, "the changes were told before");
    assert_eq!(instance.platform.value("a"), Some(b"1".to_vec()));
    assert_eq!(instance.platform.value("b"), Some(b"1".to_vec()));
    assert_eq!(instance.writes(), 2);
}

#[test]
fn values_are_written_again_after_another_topic_shows_that_the_platform_was_restored() {
    let mut instance = Instance::alone();
    let copy = instance.platform.with(|s| s.log.clone());
    instance.board().put("a", b"1".to_vec());
    instance.run(100);
    instance.platform.restore(copy);
    let batch = Batch { end: position::at(1, 5), records: Vec::new(), kept: Vec::new() };
    instance.shared.replica(Topic::Config).reset(instance.clock.now(), batch);
    instance.run(1);
    assert_eq!(instance.platform.value("a"), Some(b"1".to_vec()));
    instance.run(10_000);
    assert_eq!(instance.writes(), 2, "it is written once");
}

#[test]
fn change_after_a_restore_counts_only_once_earlier_values_are_written_again() {
    let mut instance = Instance::alone();
    let copy = instance.platform.with(|s| s.log.clone());
    instance.board().put("a", b"1".to_vec());
    instance.run(100);
    instance.shared.take_updates();
    instance.platform.restore(copy);
    let number = instance.board().put("b", b"1".to_vec());
    instance.act();
    assert_eq!(instance.shared.take_updates().written, None, "the platform lacks the first change");
    instance.run(100);
    assert_eq!(instance.shared.take_updates().written, Some(number));
    assert_eq!(instance.platform.value("a"), Some(b"1".to_vec()));
}

#[test]
fn value_that_another_instance_removed_is_written_again() {
    let mut instance = Instance::alone();
    instance.board().put("instance/edge-0", b"1".to_vec());
    instance.run(100);
    instance.platform.with(|s| s.log.records.push(("instance/edge-0".to_owned(), None)));
    instance.board().request_read();
    instance.run(100);
    assert_eq!(instance.platform.value("instance/edge-0"), Some(b"1".to_vec()));
}

/// Keys that the platform holds.
fn keys(platform: &Platform) -> Vec<String> {
    let mut keys: Vec<String> = platform.with(|s| s.log.newest()).into_keys().collect();
    keys.sort();
    keys
}

#[test]
fn records_of_instances_that_are_gone_are_removed_once_they_are_old() {
    let platform = platform(&Clock::manual(START));
    for key in ["instance/edge-0", "instance/edge-9", "instance/edge-9/1", "instance/edge-19", "b"]
    {
        platform.append(key, "1");
    }
    let mut instance = Instance::new(&platform, 3);
    platform.append("instance/edge-8", "1");
    instance.clock.advance(RETENTION - 20_000);
    instance.run(1_000);
    assert_eq!(keys(&platform).len(), 6);
    platform.append("instance/edge-19", "2");
    instance.run(20_000);
    let kept = ["b", "instance/edge-0", "instance/edge-19", "instance/edge-8"];
    assert_eq!(keys(&platform), kept);
    instance.clock.advance(RETENTION);
    instance.run(1_000);
    assert_eq!(keys(&platform), ["b", "instance/edge-0"]);
    let calls = platform.with(|s| (s.full_reads.len(), s.reads.len(), s.writes.len()));
    assert_eq!(calls, (3, 0, 2));
}

#[test]
fn only_the_instance_of_the_lowest_name_removes_records() {
    let platform = platform(&Clock::manual(START));
    platform.append("instance/gone", "1");
    let mut instance = Instance::new(&platform, 3);
    let addr = common::free_addr();
    let names = ["edge-0", "edge--1"].map(|name| (name.to_owned(), addr));
    instance.shared.set_instances(names.to_vec());
    for _ in 0..3 {
        instance.clock.advance(RETENTION);
        instance.run(1_000);
    }
    assert_eq!(keys(&platform), ["instance/gone"]);
    assert_eq!(platform.with(|s| s.full_reads.len()), 1);
}

#[test]
fn removals_are_bounded_and_refused_ones_are_repeated_at_the_next_look() {
    let platform = platform(&Clock::manual(START));
    (0..2 * MAX_REMOVALS).for_each(|i| platform.append(&format!("instance/gone-{i}"), "1"));
    let mut instance = Instance::new(&platform, 3);
    let mut left = Vec::new();
    for round in 0..4 {
        instance.clock.advance(RETENTION);
        instance.run(500);
        if round == 1 {
            // The look succeeds, the removal doesn't.
            platform.set_fault(Fault::None);
        }
        left.push(keys(&platform).len());
        if round == 0 {
            let failing = Arc::clone(&platform);
            platform.set_hook(Box::new(move || failing.set_fault(Fault::Refuses)));
        }
    }
    assert_eq!(left, [MAX_REMOVALS, MAX_REMOVALS, 0, 0]);
}

#[test]
fn updates_that_were_not_taken_add_up() {
    let mut instance = Instance::alone();
    for i in 0..3 {
        instance.platform.append(&format!("k{i}"), "1");
        instance.board().request_read();
        instance.run(100);
    }
    let updates = instance.shared.take_updates();
    assert_eq!(updates.records, pairs(&[("k0", "1"), ("k1", "1"), ("k2", "1")]));
    assert_eq!(updates.read, Some((3, true)));
}

#[test]
fn calls_are_counted_by_outcome() {
    let mut instance = Instance::alone();
    instance.board().put("key", b"value".to_vec());
    instance.run(100);
    instance.platform.set_fault(Fault::Refuses);
    instance.board().request_read();
    instance.run(100);
    let page = instance.metrics.render().unwrap();
    for line in [
        "relay_ledger_calls_total{call=\"newest\",outcome=\"ok\"} 1",
        "relay_ledger_calls_total{call=\"write\",outcome=\"ok\"} 1",
        "relay_ledger_calls_total{call=\"read\",outcome=\"refused\"} 1",
        "relay_ledger_records_total{call=\"write\"} 1",
        "relay_ledger_record_bytes_total{call=\"write\"} 8",
    ] {
        assert!(page.contains(line), "{line} is not in\n{page}");
    }
}

#[test]
fn threads_write_and_read_without_a_turn_of_the_test() {
    let clock = Clock::system();
    let platform = platform(&clock);
    let shared = shared_state(&clock, 1);
    let source: Arc<dyn Source> = platform.clone();
    ledger::start(ME, &source, &shared, &clock, &Arc::default(), BUDGET);
    let read = |number: u64| {
        let mut records = Vec::new();
        common::until("the read ends", || {
            let updates = shared.take_updates();
            records.extend(updates.records);
            updates.read == Some((number, true))
        });
        records
    };
    read(0);
    for i in 1..=3 {
        let number = shared.ledger().put("a", vec![i]);
        common::until("it is written", || shared.take_updates().written == Some(number));
        let number = shared.ledger().request_read();
        assert_eq!(read(number), [("a".to_owned(), vec![i])]);
    }
}

/// One play of an instance that writes values which grow, and reads those of another, while the platform
/// fails and is restored. Whatever the instance has been told holds on the platform.
fn play(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let platform = platform(&Clock::manual(START));
    platform.with(|s| s.page = rng.random_range(1..5));
    let mut instance = Instance::starting(&platform, rng.random_range(1..60));
    let mut copy = platform.with(|s| s.log.clone());
    // Value and number of the newest change of each key.
    let mut changes: IndexMap<String, (u64, u64)> = IndexMap::new();
    // The change that was last told as written since the platform was restored.
    let mut written = 0;
    // Requests since then, and the values of others at that time.
    let mut asked: Vec<(u64, Vec<(String, u64)>)> = Vec::new();
    let mut known: IndexMap<String, u64> = IndexMap::new();
    for step in 1..=400u64 {
        match rng.random_range(0..20) {
            0..6 => {
                let key = format!("instance/{}", rng.random_range(0..3));
                let change = instance.board().put(&key, step.to_string().into());
                changes.insert(key, (step, change));
            }
            6..10 => {
                platform.append(&format!("other/{}", rng.random_range(0..3)), &step.to_string())
            }
            10..14 => asked.push((instance.board().request_read(), values_of_others(&platform))),
            14 => platform.set_fault(Fault::Refuses),
            15 => platform.set_fault(Fault::LosesAnswers),
            16 => platform.compact(),
            17 => copy = platform.with(|s| s.log.clone()),
            18 => {
                platform.restore(copy.clone());
                written = 0;
                asked.clear();
            }
            _ => platform.set_fault(Fault::None),
        }
        instance.run(rng.random_range(0..200));
        let updates = instance.shared.take_updates();
        known.extend(updates.records.iter().map(|(k, v)| (k.clone(), number(v))));
        if let Some((end, true)) = updates.read {
            for (key, value) in asked.extract_if(.., |(n, _)| *n <= end).flat_map(|(_, list)| list)
            {
                let newer = known.get(&key).is_some_and(|v| *v >= value);
                assert!(newer, "seed {seed}, step {step}: {key} is not known");
            }
        }
        written = written.max(updates.written.unwrap_or(0));
        for (key, (value, _)) in changes.iter().filter(|(_, (_, change))| *change <= written) {
            let held = platform.value(key).map(|v| number(&v));
            assert_eq!(held, Some(*value), "seed {seed}, step {step}: {key} is not written");
        }
    }
    // Once all is well, the platform has the newest values, and the instance knows all others.
    platform.set_fault(Fault::None);
    instance.run(10_000);
    instance.board().request_read();
    instance.run(10_000);
    let records = instance.shared.take_updates().records;
    known.extend(records.iter().map(|(k, v)| (k.clone(), number(v))));
    for (key, (value, _)) in &changes {
        let held = platform.value(key).map(|v| number(&v));
        assert_eq!(held, Some(*value), "seed {seed}: {key}");
    }
    for (key, value) in values_of_others(&platform) {
        assert_eq!(known.get(&key), Some(&value), "seed {seed}: {key}");
    }
}

/// The number that a value holds.
fn number(value: &[u8]) -> u64 {
    String::from_utf8_lossy(value).parse().unwrap()
}

/// Keys and values of the other instance.
fn values_of_others(platform: &Platform) -> Vec<(String, u64)> {
    let newest = platform.with(|s| s.log.newest()).into_iter();
    let others = newest.filter(|(key, _)| key.starts_with("other/"));
    others.map(|(key, (_, value))| (key, number(&value))).collect()
}

#[test]
fn what_was_told_holds_in_drawn_plays() {
    let seed = common::env("SASSAFRAS_SEED", 1);
    (seed..seed + common::env("SASSAFRAS_ROUNDS", 20)).for_each(play);
}
