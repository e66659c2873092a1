//! Tests of the followers of the platform's topics: their turns on paused time, in fleets of several
//! sizes, against a simulated platform that forgets records, goes back, or doesn't wait.
#![allow(clippy::unwrap_used)]

mod common;

use std::sync::{Arc, Mutex};

use indexmap::IndexMap;
use sassafrasworks::adapter::clock::Clock;
use sassafrasworks::fleet::position;
use sassafrasworks::fleet::readers::{READERS, is_reader};
use sassafrasworks::fleet::replica::{Batch, Record, Topic};
use sassafrasworks::policy::place::Listing;
use sassafrasworks::relay::follow::{Source, SourceError};
use sassafrasworks::relay::follower::Follower;
use sassafrasworks::relay::state::Shared;
use sassafrasworks::relay::stats::Metrics;
use sassafrasworks::relay::table::RoutingTable;

const START: u64 = 1_000_000;
/// Reads that the users' platform accepts from all instances together, each second.
const READS: u64 = 2_000;
/// Time that the platform takes for a response, in milliseconds.
const LATENCY: u64 = 4;

/// How the platform answers reads from a position.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Fault {
    #[default]
    None,
    /// Says that records have expired.
    Expires,
    /// Says so, and has a new record by the time of each full read.
    Compacts,
    /// Answers with no records, without a wait.
    DoesNotWait,
    /// Says that records have expired, and refuses every second call.
    ExpiresAndRefuses,
}

/// The log of a topic.
#[derive(Debug, Clone, Default)]
struct Log {
    /// Era, as far as the platform states it.
    era: u64,
    records: Vec<(String, Option<String>)>,
}

impl Log {
    fn new(era: u64, keys: &[&str]) -> Self {
        let records = keys.iter().map(|k| (k.to_string(), Some("1".to_owned()))).collect();
        Self { era, records }
    }

    fn end(&self) -> u64 {
        position::at(self.era, self.records.len() as u64)
    }

    fn record(&self, offset: usize, history: u64) -> Record {
        let (key, value) = self.records[offset].clone();
        let offset = position::moved_to(history, offset as u64);
        Record { offset, key, value: value.map(String::into_bytes), remaining: None }
    }

    /// The newest record of every key that exists.
    fn newest(&self) -> Vec<Record> {
        let mut newest = IndexMap::new();
        for (offset, (key, value)) in self.records.iter().enumerate() {
            match value {
                Some(_) => _ = newest.insert(key, offset),
                None => _ = newest.shift_remove(key),
            }
        }
        newest.values().map(|offset| self.record(*offset, self.end())).collect()
    }
}

/// What a call does to others while it runs.
type Hook = Box<dyn FnMut() + Send>;

#[derive(Default)]
struct State {
    log: Log,
    fault: Fault,
    /// Times of all calls.
    calls: Vec<u64>,
    /// Runs during the next full read, once its response is certain.
    hook: Option<Hook>,
}

/// The simulated platform, as one thread of an instance sees it: calls take time on the thread's clock.
#[derive(Clone)]
struct Platform {
    clock: Clock,
    state: Arc<Mutex<State>>,
}

impl Platform {
    fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().unwrap())
    }

    /// Counts a call. Returns the fault that it meets.
    fn call(&self) -> Result<Fault, SourceError> {
        self.clock.advance(LATENCY);
        let now = self.clock.now();
        self.with(|s| {
            s.calls.push(now);
            let refused = s.fault == Fault::ExpiresAndRefuses && s.calls.len().is_multiple_of(2);
            if refused { Err(SourceError::Refused("429".to_owned())) } else { Ok(s.fault) }
        })
    }

    fn set(&self, log: Log) {
        self.with(|s| s.log = log);
    }
}

impl Source for Platform {
    fn newest(&self, _: Topic) -> Result<Batch, SourceError> {
        let fault = self.call()?;
        let (batch, hook) = self.with(|s| {
            if fault == Fault::Compacts {
                let value = s.log.records.len().to_string();
                s.log.records.push(("config".to_owned(), Some(value)));
            }
            let batch = Batch { end: s.log.end(), records: s.log.newest(), kept: Vec::new() };
            (batch, s.hook.take())
        });
        if let Some(mut hook) = hook {
            hook();
        }
        Ok(batch)
    }

    fn read(&self, _: Topic, from: u64, wait: u64) -> Result<Batch, SourceError> {
        let fault = self.call()?;
        let nothing = Batch { end: from, records: Vec::new(), kept: Vec::new() };
        match fault {
            Fault::None => {}
            Fault::DoesNotWait => return Ok(nothing),
            _ => return Err(SourceError::Expired),
        }
        let log = self.with(|s| s.log.clone());
        let offset = position::offset(from) as usize;
        if log.era > position::era(from) || offset > log.records.len() {
            return Err(SourceError::Expired);
        }
        if offset == log.records.len() {
            self.clock.advance(wait);
            return Ok(nothing);
        }
        let records = (offset..log.records.len()).map(|o| log.record(o, from)).collect();
        let end = position::moved_to(from, log.end());
        Ok(Batch { end, records, kept: Vec::new() })
    }

    fn read_page(&self, _: Topic, _: u64) -> Result<(Batch, u64), SourceError> {
        panic!("followers read without pages");
    }

    fn put(&self, _: Topic, _: &[(&str, Option<&[u8]>)]) -> Result<u64, SourceError> {
        panic!("followers don't write");
    }

    fn table(&self, _: &str, _: &[u8]) -> Option<Result<RoutingTable, String>> {
        None
    }

    fn listing(&self, _: &str, _: &[u8]) -> Result<Listing, String> {
        Err("none".to_owned())
    }
}

/// The thread of one topic of an instance.
struct Thread {
    clock: Clock,
    shared: Arc<Shared>,
    follower: Follower,
}

impl Thread {
    fn turn(&mut self) {
        let pause = self.follower.turn();
        self.clock.advance(pause);
    }

    /// Runs until a time on its clock.
    fn run(&mut self, ms: u64) {
        let until = self.clock.now() + ms;
        while self.clock.now() < until {
            self.turn();
        }
    }

    /// Keys of the entries, without those whose grace period is over.
    fn keys(&self) -> Vec<String> {
        let mut replica = self.shared.replica(Topic::Endpoints);
        replica.expire(self.clock.now());
        replica.entries().map(|(k, _)| k.to_owned()).collect()
    }

    fn end(&self) -> u64 {
        self.shared.replica(Topic::Endpoints).end()
    }
}

/// All threads that follow topics in a fleet.
struct Fleet {
    state: Arc<Mutex<State>>,
    metrics: Arc<Metrics>,
    threads: Vec<Thread>,
}

impl Fleet {
    /// A fleet whose instances know of each other, so that a few of them read the platform.
    fn new(instances: usize) -> Self {
        let state = Arc::new(Mutex::new(State::default()));
        let metrics = Arc::<Metrics>::default();
        let names: Vec<String> = (0..instances).map(|i| format!("edge-{i}")).collect();
        let addr = common::free_addr();
        let list: Vec<_> = names.iter().map(|n| (n.clone(), addr)).collect();
        let mut threads = Vec::new();
        for name in &names {
            let poll = mio::Poll::new().unwrap();
            let waker = mio::Waker::new(poll.registry(), mio::Token(0)).unwrap();
            let shared = Arc::new(Shared::new(Clock::manual(START), waker));
            shared.set_instances(list.clone());
            let others = names.iter().filter(|n| *n != name).map(String::as_str);
            shared.set_reader(is_reader(name, others, READERS));
            for topic in [Topic::Config, Topic::Endpoints] {
                let clock = Clock::manual(START);
                let source = Platform { clock: clock.clone(), state: Arc::clone(&state) };
                let follower = Follower::new(
                    Arc::new(source),
                    Arc::clone(&shared),
                    clock.clone(),
                    Arc::clone(&metrics),
                    topic,
                );
                threads.push(Thread { clock, shared: Arc::clone(&shared), follower });
            }
        }
        Self { state, metrics, threads }
    }

    /// Runs all threads for `ms`, always the one whose clock is behind.
    fn run(&mut self, ms: u64) {
        let until = self.now() + ms;
        while let Some(next) = self.threads.iter_mut().min_by_key(|t| t.clock.now())
            && next.clock.now() < until
        {
            next.turn();
        }
    }

    fn now(&self) -> u64 {
        self.threads.iter().map(|t| t.clock.now()).min().unwrap()
    }

    /// Calls in each second from `since` on.
    fn rates(&self, since: u64) -> Vec<u64> {
        let mut rates = Vec::new();
        for at in self.state.lock().unwrap().calls.iter().filter(|at| **at >= since) {
            let second = ((at - since) / 1_000) as usize;
            rates.resize(rates.len().max(second + 1), 0);
            rates[second] += 1;
        }
        rates
    }
}

/// A thread of the endpoints that has read a log with the keys, and its platform.
fn thread_at(era: u64, keys: &[&str]) -> (Thread, Platform) {
    let mut fleet = Fleet::new(1);
    let mut thread = fleet.threads.pop().unwrap();
    let platform = Platform { clock: thread.clock.clone(), state: Arc::clone(&fleet.state) };
    platform.set(Log::new(era, keys));
    thread.run(10);
    assert_eq!(thread.end(), position::at(era, keys.len() as u64));
    (thread, platform)
}

/// Reads that bring nothing use at most half of what the platform takes in any second, as the ledger has
/// the other half; and a tenth once they have gone on for a while.
fn assert_calls_are_bounded((instances, fault, stuck): &(usize, Fault, bool)) {
    let mut fleet = Fleet::new(*instances);
    fleet.state.lock().unwrap().log = Log::new(0, &["a", "b"]);
    fleet.run(10_000);
    let since = fleet.now();
    fleet.state.lock().unwrap().fault = *fault;
    for thread in fleet.threads.iter().filter(|t| *stuck && !t.shared.is_reader()) {
        thread.shared.set_stuck(Topic::Config, true);
        thread.shared.set_stuck(Topic::Endpoints, true);
    }
    fleet.run(20_000);
    let rates = fleet.rates(since);
    assert!(rates.iter().all(|n| *n <= READS / 2), "{rates:?}");
    assert!(rates[8..].iter().all(|n| *n <= READS / 10), "{rates:?}");
    assert!(rates[8..18].iter().all(|n| *n > 0), "reads go on: {rates:?}");
}

cases! {
    assert_calls_are_bounded:
    expired_records_are_reread_with_pauses_by_9 => (9, Fault::Expires, false);
    expired_records_are_reread_with_pauses_by_60 => (60, Fault::Expires, false);
    expired_records_are_reread_with_pauses_by_195 => (195, Fault::Expires, false);
    expired_and_refused_reads_pause_at_9 => (9, Fault::ExpiresAndRefuses, false);
    expired_and_refused_reads_pause_at_60 => (60, Fault::ExpiresAndRefuses, false);
    expired_and_refused_reads_pause_at_195 => (195, Fault::ExpiresAndRefuses, false);
    reads_that_don_t_wait_pause_at_9 => (9, Fault::DoesNotWait, false);
    reads_that_don_t_wait_pause_at_60 => (60, Fault::DoesNotWait, false);
    reads_that_don_t_wait_pause_at_195 => (195, Fault::DoesNotWait, false);
    stuck_instances_pause_at_60 => (60, Fault::None, true);
    stuck_instances_pause_at_195 => (195, Fault::None, true);
    stuck_instances_reread_with_pauses_at_60 => (60, Fault::Expires, true);
    stuck_instances_reread_with_pauses_at_195 => (195, Fault::Expires, true);
}

#[test]
fn log_that_forgets_at_once_is_followed_without_delay() {
    // Each full read brings news here, so the pauses stay short.
    let mut fleet = Fleet::new(9);
    fleet.run(5_000);
    fleet.state.lock().unwrap().fault = Fault::Compacts;
    let since = fleet.now();
    fleet.run(10_000);
    let rates = fleet.rates(since);
    assert!(rates.iter().all(|n| *n <= READS / 4), "{rates:?}");
    let end = position::offset(fleet.state.lock().unwrap().log.end());
    assert!(end > 10 * 9 * 2, "two full reads a second by each: {end}");
}

#[test]
fn full_reads_are_counted_by_topic() {
    let mut fleet = Fleet::new(1);
    fleet.run(5_000);
    fleet.state.lock().unwrap().fault = Fault::Expires;
    fleet.run(5_000);
    let text = fleet.metrics.render().unwrap();
    let count = |topic: &str| -> u64 {
        let name = format!("relay_rereads_total{{topic=\"{topic}\"}} ");
        text.lines().find_map(|l| l.strip_prefix(&name)).unwrap().parse().unwrap()
    };
    assert!(count("config") >= 4 && count("endpoints") >= 4, "{text}");
}

/// A log that went back to its first record, and has grown again.
fn went_back(era: u64, records: &[(&str, Option<&str>)]) -> Log {
    let mut log = Log::new(era, &["a"]);
    log.records.extend(records.iter().map(|(k, v)| (k.to_string(), v.map(str::to_owned))));
    log
}

/// Records that follow a log which went back are read, although they lie before the old end and the log
/// grows past that between a full read and the next read.
fn assert_records_before_the_old_end_are_read(era: &u64) {
    let (mut thread, platform) = thread_at(3, &["a", "b", "c", "d", "e"]);
    let leaves = ("a", Some("leaving"));
    platform.set(went_back(*era, &[leaves]));
    let longer =
        went_back(*era, &[leaves, ("x", None), ("x", None), ("x", None), ("x", Some("1"))]);
    let other = platform.clone();
    platform.with(|s| s.hook = Some(Box::new(move || other.set(longer.clone()))));
    thread.run(6_000);
    let replica = thread.shared.replica(Topic::Endpoints);
    let value = replica.entries().find(|(k, _)| *k == "a").map(|(_, v)| v.to_vec());
    assert_eq!(value.as_deref(), Some(b"leaving".as_slice()));
    assert_eq!(position::offset(replica.end()), 6);
}

cases! {
    assert_records_before_the_old_end_are_read:
    leaving_is_read_from_a_log_that_went_back_to_a_new_era => 4;
    leaving_is_read_from_a_log_that_went_back_without_a_new_era => 3;
    leaving_is_read_from_a_log_that_lost_its_era => 0;
}

#[test]
fn log_that_goes_back_again_and_again_is_followed() {
    let (mut thread, platform) = thread_at(0, &["a", "b", "c"]);
    for n in 1..=position::MAX_GENERATION {
        platform.set(went_back(0, &[]));
        thread.run(3_000);
        let key = format!("k{n}");
        platform.set(went_back(0, &[(&key, Some("1")), ("l", Some("1"))]));
        thread.run(3_000);
        assert!(thread.keys().contains(&key), "time {n}");
    }
}

#[test]
fn full_read_that_was_overtaken_is_no_sign_of_a_log_that_went_back() {
    let (mut thread, platform) = thread_at(0, &["a", "b"]);
    platform.with(|s| s.fault = Fault::Expires);
    let shared = Arc::clone(&thread.shared);
    let copy = Log::new(0, &["a", "b", "c", "d"]);
    platform.with(|s| {
        s.hook = Some(Box::new(move || {
            let batch = Batch { end: copy.end(), records: copy.newest(), kept: Vec::new() };
            shared.replica(Topic::Endpoints).adopt(START, batch);
        }));
    });
    thread.run(50);
    assert_eq!((thread.end(), thread.keys().len()), (4, 4));
}

#[test]
fn instance_that_starts_late_follows_peers_of_a_later_generation() {
    let (mut early, platform) = thread_at(0, &["a", "b", "c"]);
    platform.set(went_back(0, &[]));
    early.run(3_000);
    let (mut late, other) = thread_at(0, &["a"]);
    assert!(late.end() < early.end(), "it sees that peers are ahead");
    early.keys();
    let batch = early.shared.replica(Topic::Endpoints).export(START, late.end());
    late.shared.replica(Topic::Endpoints).adopt(START, batch);
    assert_eq!(late.end(), early.end());
    other.set(went_back(0, &[("d", Some("1"))]));
    late.run(6_000);
    assert_eq!(late.keys(), ["a", "d"]);
    assert_eq!(position::generation(late.end()), 1);
}
