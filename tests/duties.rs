//! Tests of the duties on paused time: instances share a simulated log and API, and fail in the ways that
//! instances, the log and the API do.
#![allow(clippy::unwrap_used)]

mod common;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use indexmap::IndexMap;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sassafrasworks::adapter::clock::Clock;
use sassafrasworks::fleet::position;
use sassafrasworks::fleet::replica::{Batch, Record};
use sassafrasworks::policy::lease::{Appended, Candidate, Entry, MAX_CANDIDATES, Term, choose};
use sassafrasworks::policy::scale::Order;
use sassafrasworks::policy::usage::{Counter, Counts, Merged, Part, Times};
use sassafrasworks::relay::duty::{Api, Board, Duties, Journal, Reply, Runner};
use sassafrasworks::relay::follow::SourceError;
use sassafrasworks::relay::gossip::{Heartbeat, Peers};

const START: u64 = 1_000_000_000;
const LEASE: u64 = 3_000;
const TIMES: Times = Times { window: 5_000, late: 10_000 };
/// Time between two steps of the simulation, in milliseconds.
const STEP: u64 = 10;
/// Time after the end of a window for which the simulated counts of it grow, in milliseconds.
const LATE_COUNTS: u64 = 3_000;
/// Time for which the simulated API or log holds up a call that hangs, in milliseconds.
const HANG: u64 = 1_500;

/// How the log treats the calls of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LogFault {
    None,
    Refuses,
    /// Executes appends at once, or after this time, without a response.
    LosesAnswers(u64),
    /// Takes calls and does nothing until they time out.
    Hangs,
    /// Says that the records from any position have expired.
    Expires,
}

/// How the API treats the calls of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ApiFault {
    None,
    Refuses,
    LosesAnswers,
    Hangs,
    Unreached,
}

#[derive(Clone, Default)]
struct Log {
    /// Number of times that it was restored from a copy.
    era: u64,
    first: u64,
    records: Vec<Entry>,
    newest: IndexMap<String, (u64, Vec<u8>)>,
    /// Appends that are executed later: time, offset, records.
    late: Vec<(u64, u64, Vec<Entry>)>,
    appends: u64,
}

impl Log {
    /// Position after the last record.
    fn end(&self) -> u64 {
        position::at(self.era, self.first + self.records.len() as u64)
    }

    /// Goes back to a copy: what was appended since is lost, and its offsets are given out again.
    fn restore(&mut self, copy: Self) {
        *self = Self { era: self.era + 1, late: std::mem::take(&mut self.late), ..copy };
    }

    fn append(&mut self, at: u64, records: &[Entry]) -> Appended {
        let end = position::offset(self.end());
        if position::offset(at) != end {
            return Appended::Moved { end: position::at(position::era(at), end) };
        }
        self.appends += 1;
        for entry in records {
            let offset = position::offset(self.end());
            self.newest.insert(entry.key.clone(), (offset, entry.value.clone()));
            self.records.push(entry.clone());
        }
        let same_era = position::era(at) == self.era;
        if same_era { Appended::Done } else { Appended::Unknown("restored".to_owned()) }
    }

    /// Loses all but the newest record of each key, and goes on at `first`.
    fn lose_history(&mut self, first: u64) {
        self.records.clear();
        self.first = first;
    }
}

/// A call that the API has received.
#[derive(Debug, Clone)]
struct Call {
    at: u64,
    holder: String,
    token: u64,
    window: u64,
    body: Vec<u8>,
}

struct Faults {
    log: LogFault,
    api: ApiFault,
    /// Time until which the thread of the instance is held up by a call.
    busy_until: u64,
}

/// What an instance sees of the log and the API.
#[derive(Clone)]
struct Link {
    clock: Clock,
    faults: Arc<Mutex<Faults>>,
    log: Arc<Mutex<Log>>,
    calls: Arc<Mutex<Vec<Call>>>,
}

impl Link {
    fn hang(&self) {
        self.faults.lock().unwrap().busy_until = self.clock.now() + HANG;
    }

    fn check(&self) -> Result<(), SourceError> {
        let fault = self.faults.lock().unwrap().log;
        match fault {
            LogFault::Refuses => Err(SourceError::Refused("503".to_owned())),
            LogFault::Hangs => {
                self.hang();
                Err(SourceError::Unanswered("timeout".to_owned()))
            }
            LogFault::None | LogFault::LosesAnswers(_) | LogFault::Expires => Ok(()),
        }
    }
}

fn record(offset: u64, key: &str, value: &[u8]) -> Record {
    Record { offset, key: key.to_owned(), value: Some(value.to_vec()), remaining: None }
}

impl Journal for Link {
    fn newest(&self) -> Result<Batch, SourceError> {
        self.check()?;
        let log = self.log.lock().unwrap();
        let at = |offset: &u64| position::at(log.era, *offset);
        let records = log.newest.iter().map(|(k, (o, v))| record(at(o), k, v)).collect();
        Ok(Batch { end: log.end(), records, kept: Vec::new() })
    }

    fn read(&self, from: u64, _wait: u64) -> Result<Batch, SourceError> {
        self.check()?;
        if self.faults.lock().unwrap().log == LogFault::Expires {
            return Err(SourceError::Expired);
        }
        let log = self.log.lock().unwrap();
        let first = position::at(log.era, log.first);
        if from < first || from > log.end() {
            return Err(SourceError::Expired);
        }
        let new = log.records.iter().enumerate().skip((from - first) as usize);
        let records = new.map(|(i, e)| record(first + i as u64, &e.key, &e.value)).collect();
        Ok(Batch { end: log.end(), records, kept: Vec::new() })
    }

    fn append(&self, at: u64, records: &[Entry]) -> Appended {
        match self.check() {
            Err(SourceError::Refused(e)) => return Appended::Refused(e),
            Err(e) => return Appended::Unknown(e.to_string()),
            Ok(()) => {}
        }
        let mut log = self.log.lock().unwrap();
        match self.faults.lock().unwrap().log {
            LogFault::LosesAnswers(delay) => {
                log.late.push((self.clock.now() + delay, at, records.to_vec()));
                Appended::Unknown("lost".to_owned())
            }
            _ => log.append(at, records),
        }
    }
}

impl Api for Link {
    fn report(&self, term: &Term, body: &[u8]) -> Reply {
        let fault = self.faults.lock().unwrap().api;
        match fault {
            ApiFault::Refuses => return Reply::Limited,
            ApiFault::Unreached => return Reply::Unreached,
            ApiFault::Hangs => {
                self.hang();
                return Reply::Unknown;
            }
            ApiFault::None | ApiFault::LosesAnswers => {}
        }
        let text = String::from_utf8(body.to_vec()).unwrap();
        self.calls.lock().unwrap().push(Call {
            at: self.clock.now(),
            holder: term.holder.clone(),
            token: term.token,
            window: text.split(' ').next().unwrap().parse().unwrap(),
            body: body.to_vec(),
        });
        if fault == ApiFault::LosesAnswers { Reply::Unknown } else { Reply::Accepted }
    }

    fn order(&self, _term: &Term, _order: &Order) -> Reply {
        Reply::Accepted
    }

    fn encode_report(&self, window: u64, counts: &IndexMap<String, u64>) -> Vec<u8> {
        format!("{window} {counts:?}").into_bytes()
    }
}

struct Node {
    name: String,
    runner: Runner,
    board: Arc<Board>,
    link: Link,
    next_turn: u64,
    frozen: bool,
}

/// Instances with a log and an API on one paused clock.
struct World {
    clock: Clock,
    log: Arc<Mutex<Log>>,
    calls: Arc<Mutex<Vec<Call>>>,
    nodes: Vec<Node>,
    times: Times,
}

impl World {
    fn new(n: usize) -> Self {
        Self::with_times(n, TIMES)
    }

    fn with_times(n: usize, times: Times) -> Self {
        let clock = Clock::manual(START);
        let (log, calls) = (Arc::<Mutex<Log>>::default(), Arc::<Mutex<Vec<Call>>>::default());
        let mut world = Self { clock, log, calls, nodes: Vec::new(), times };
        for i in 0..n {
            let name = format!("edge-{i}");
            let board = Arc::new(Board::default());
            board.set_reporting(Some(Vec::new()));
            let node = world.node(&name, board);
            world.nodes.push(node);
        }
        let names: Vec<String> = world.nodes.iter().map(|n| n.name.clone()).collect();
        for node in &world.nodes {
            node.board.set_candidates(names.iter().map(|n| candidate(n, "recife", 160)).collect());
        }
        world
    }

    fn node(&self, name: &str, board: Arc<Board>) -> Node {
        let faults = Faults { log: LogFault::None, api: ApiFault::None, busy_until: 0 };
        let link = Link {
            clock: self.clock.clone(),
            faults: Arc::new(Mutex::new(faults)),
            log: Arc::clone(&self.log),
            calls: Arc::clone(&self.calls),
        };
        let duties = Duties {
            usage: true,
            scaling: false,
            lease: LEASE,
            times: self.times,
            call_gap: 40,
            memory: 160,
        };
        let runner = Runner::new(
            name,
            duties,
            self.clock.clone(),
            Arc::clone(&board),
            Arc::default(),
            Box::new(link.clone()),
            Box::new(link.clone()),
        );
        Node { name: name.to_owned(), runner, board, link, next_turn: 0, frozen: false }
    }

    /// Runs for a time, in milliseconds.
    fn run(&mut self, time: u64) {
        for _ in 0..time / STEP {
            self.clock.advance(STEP);
            let now = self.clock.now();
            let mut log = self.log.lock().unwrap();
            let (due, later) = std::mem::take(&mut log.late).into_iter().partition(|l| l.0 <= now);
            log.late = later;
            let due: Vec<(u64, u64, Vec<Entry>)> = due;
            due.iter().for_each(|(_, at, records)| _ = log.append(*at, records));
            drop(log);
            self.count(now);
            for node in &mut self.nodes {
                let busy = node.link.faults.lock().unwrap().busy_until;
                if node.frozen || now < node.next_turn.max(busy) {
                    continue;
                }
                node.next_turn = now + node.runner.turn();
            }
        }
    }

    /// Each instance knows of one more request: contents differ with the time at which they are fixed.
    fn count(&self, now: u64) {
        let part = Part {
            window: self.times.window_of(now - LATE_COUNTS),
            closed: false,
            counts: vec![("recife".to_owned(), now)],
        };
        for node in &self.nodes {
            let name = node.name.clone();
            node.board.add_counts(
                &self.times,
                now,
                Counts { name, started: 1, part: part.clone() },
            );
        }
    }

    fn holder(&self) -> usize {
        let held: Vec<usize> = (0..self.nodes.len()).filter(|i| self.holds(*i)).collect();
        assert_eq!(held.len(), 1, "holders");
        held[0]
    }

    fn holds(&self, i: usize) -> bool {
        self.nodes[i].board.holds()
    }

    fn set_log(&self, i: usize, fault: LogFault) {
        self.nodes[i].link.faults.lock().unwrap().log = fault;
    }

    fn set_api(&self, i: usize, fault: ApiFault) {
        self.nodes[i].link.faults.lock().unwrap().api = fault;
    }

    fn set_all(&self, log: LogFault, api: ApiFault) {
        for i in 0..self.nodes.len() {
            self.set_log(i, log);
            self.set_api(i, api);
        }
    }

    /// Replaces an instance by a new process of the same name.
    fn restart(&mut self, i: usize) {
        let board = Arc::new(Board::default());
        board.set_candidates(self.nodes[i].board.candidates());
        board.set_reporting(Some(Vec::new()));
        let name = self.nodes[i].name.clone();
        self.nodes[i] = self.node(&name, board);
    }

    /// Time from `since` to the first call of another instance than `old`.
    fn takeover(&self, since: u64, old: usize) -> u64 {
        let calls = self.calls.lock().unwrap();
        let other = |c: &&Call| c.at > since && c.holder != self.nodes[old].name;
        calls.iter().find(other).unwrap().at - since
    }

    /// Checks the rules of the calls, and that each window was reported in time.
    fn check(&self) {
        self.check_rules();
        self.check_windows();
    }

    fn check_rules(&self) {
        let calls = self.calls.lock().unwrap();
        let mut holders: IndexMap<u64, &str> = IndexMap::new();
        let mut contents: BTreeMap<u64, &[u8]> = BTreeMap::new();
        let mut last: IndexMap<&str, u64> = IndexMap::new();
        for (i, call) in calls.iter().enumerate() {
            let holder = call.holder.as_str();
            assert_eq!(
                *holders.entry(call.token).or_insert(holder),
                holder,
                "token of two holders"
            );
            let before = i.checked_sub(1).map(|i| &calls[i]);
            assert!(before.is_none_or(|b| b.token <= call.token), "lower token at {}", call.at);
            if before.is_some_and(|b| b.holder != holder) {
                let gone = last.get(holder).map(|at| call.at - at);
                assert!(gone.is_none_or(|t| t >= LEASE), "{holder} is back after {gone:?}");
            }
            last.insert(holder, call.at);
            let content = *contents.entry(call.window).or_insert(&call.body);
            assert_eq!(content, call.body, "two contents of a window");
        }
    }

    fn check_windows(&self) {
        let calls = self.calls.lock().unwrap();
        let now = self.clock.now();
        let first = TIMES.window_of(START);
        for window in first..TIMES.oldest_due(now) {
            let end = TIMES.end_of(window);
            let in_time = |c: &Call| c.window == window && c.at <= end + TIMES.late;
            let reported = calls.iter().any(in_time);
            assert!(reported, "window {window} was not reported in time");
        }
    }
}

fn candidate(name: &str, domain: &str, memory: u32) -> Candidate {
    Candidate {
        name: name.to_owned(),
        addr: ([127, 0, 0, 1], 1).into(),
        started: 1,
        domain: domain.to_owned(),
        memory,
        impaired: false,
        holds: false,
    }
}

/// A fleet of three whose holder has reported a window.
fn started() -> (World, usize) {
    let mut world = World::new(3);
    world.run(8_000);
    let holder = world.holder();
    (world, holder)
}

#[test]
fn killed_holder_is_replaced_within_seconds() {
    let (mut world, old) = started();
    world.nodes[old].frozen = true;
    let at = world.clock.now();
    world.run(30_000);
    assert!(world.takeover(at, old) < LEASE + 2_000 + TIMES.window);
    let acquired = (0..3).filter(|i| *i != old && world.holds(*i)).count();
    assert_eq!(acquired, 1);
    world.check();
}

/// Guards against a holder that acts under a lease that has passed to another one meanwhile.
#[test]
fn frozen_holder_sends_nothing_when_it_wakes() {
    for freeze in [500, 2_000, 2_300, 2_900, 3_100, 4_000, 7_000, 20_000] {
        let (mut world, old) = started();
        // A report is due when it wakes.
        world.set_api(old, ApiFault::Refuses);
        world.run(4_000);
        world.nodes[old].frozen = true;
        world.set_api(old, ApiFault::None);
        world.run(freeze);
        world.nodes[old].frozen = false;
        world.run(25_000);
        world.check();
    }
}

#[test]
fn holder_cut_off_from_the_log_is_replaced() {
    for fault in [LogFault::Refuses, LogFault::Hangs] {
        let (mut world, old) = started();
        world.set_log(old, fault);
        let at = world.clock.now();
        world.run(20_000);
        assert!(world.takeover(at, old) < LEASE + 2_000 + TIMES.window);
        world.set_log(old, LogFault::None);
        world.run(20_000);
        world.check();
    }
}

#[test]
fn stopping_holder_releases_the_lease_at_once() {
    let (mut world, old) = started();
    world.nodes[old].board.leave();
    world.run(1_000);
    assert_ne!(world.holder(), old);
    world.run(20_000);
    world.check();
}

#[test]
fn hanging_api_does_not_cost_the_lease() {
    let (mut world, old) = started();
    world.set_api(old, ApiFault::Hangs);
    world.run(7_000);
    assert_eq!(world.holder(), old);
    world.set_api(old, ApiFault::None);
    world.run(20_000);
    world.check();
}

#[test]
fn holder_that_alone_fails_to_reach_the_api_hands_over() {
    let (mut world, old) = started();
    world.set_api(old, ApiFault::Unreached);
    world.run(40_000);
    assert_ne!(world.holder(), old);
    world.check();
}

#[test]
fn holder_cut_off_from_the_fleet_hands_over() {
    let (mut world, old) = started();
    world.nodes[old].board.set_isolated(true);
    world.run(500);
    assert_ne!(world.holder(), old);
    world.run(20_000);
    world.check();
}

/// Guards against a report whose content is computed again after a lost answer, and against an append
/// that is taken for failed.
#[test]
fn lost_and_late_answers_change_nothing() {
    let late = [0, 200, 1_200, 4_000, 8_000].map(LogFault::LosesAnswers);
    for fault in late.into_iter().chain([LogFault::None]) {
        let (mut world, _) = started();
        world.set_all(fault, ApiFault::LosesAnswers);
        world.run(4_500);
        world.set_all(LogFault::None, ApiFault::None);
        world.run(30_000);
        world.check();
    }
}

/// Guards against a lost answer that costs another wait for the lease.
#[test]
fn acquisition_whose_answer_is_lost_holds() {
    let mut world = World::new(1);
    world.set_log(0, LogFault::LosesAnswers(0));
    world.run(1_000);
    assert_eq!(world.holder(), 0);
}

/// Guards against a takeover by an append that is executed long after it was sent.
#[test]
fn append_of_a_dead_instance_that_is_executed_late_does_no_harm() {
    let (mut world, old) = started();
    world.set_log(old, LogFault::LosesAnswers(2_900));
    world.run(1_000);
    world.nodes[old].frozen = true;
    world.run(25_000);
    world.check();
}

#[test]
fn only_one_of_two_candidates_that_acquire_at_once_holds() {
    let mut world = World::new(2);
    for node in &world.nodes {
        node.board.set_candidates(vec![candidate(&node.name, "recife", 160)]);
    }
    for _ in 0..30 {
        world.run(200);
        assert!((0..2).filter(|i| world.holds(*i)).count() <= 1);
    }
    world.holder();
    world.run(20_000);
    world.check();
}

/// Guards against the order A, B, A within the lease.
#[test]
fn holder_before_the_present_one_does_not_return_within_the_lease() {
    let (mut world, first) = started();
    let second = (first + 1) % 3;
    // Only two candidates: nobody else can take over from the second.
    world.nodes[(first + 2) % 3].frozen = true;
    world.nodes[first].board.set_isolated(true);
    world.run(100);
    world.nodes[first].board.set_isolated(false);
    world.run(3_400);
    assert_eq!(world.holder(), second);
    let at = world.clock.now();
    // A report keeps both busy: one is due at each takeover.
    world.run(5_000 - at % 5_000 + 850);
    world.nodes[second].board.leave();
    world.run(30_000);
    assert_eq!(world.holder(), first);
    world.check();
}

#[test]
fn lease_that_is_released_at_once_does_not_return_to_the_holder_before() {
    let (mut world, first) = started();
    let second = (first + 1) % 3;
    world.nodes[(first + 2) % 3].frozen = true;
    world.nodes[first].board.set_isolated(true);
    world.run(60);
    world.nodes[first].board.set_isolated(false);
    while !world.holds(second) {
        world.run(STEP);
    }
    let at = world.clock.now();
    world.nodes[second].board.leave();
    while !world.holds(first) {
        world.run(STEP);
    }
    assert!(world.clock.now() >= at + LEASE, "back after {}", world.clock.now() - at);
}

#[test]
fn nothing_is_sent_while_the_log_is_down_and_all_windows_follow() {
    let (mut world, _) = started();
    world.set_all(LogFault::Hangs, ApiFault::None);
    world.run(LEASE);
    let before = world.calls.lock().unwrap().len();
    world.run(5_000);
    assert_eq!(world.calls.lock().unwrap().len(), before);
    world.set_all(LogFault::None, ApiFault::None);
    world.run(30_000);
    world.check();
}

/// Guards against a successor that begins anew, or with lower tokens, when only the newest record of each
/// key is left.
#[test]
fn lost_history_keeps_tokens_and_reports() {
    for first in [0, 3, 100_000] {
        let (mut world, old) = started();
        world.set_api(old, ApiFault::Refuses);
        world.run(4_000);
        world.nodes[old].frozen = true;
        world.log.lock().unwrap().lose_history(first);
        for i in (0..3).filter(|i| *i != old) {
            world.restart(i);
        }
        world.run(20_000);
        world.nodes[old].frozen = false;
        world.set_api(old, ApiFault::None);
        world.run(20_000);
        world.check();
    }
}

/// What happens while the log is away, before it comes back from a copy.
#[derive(Clone, Copy)]
enum Meanwhile {
    Nothing,
    /// The holder is killed and restarted.
    HolderRestarts,
    /// The others are killed and restarted.
    FollowersRestart,
    /// The holder is frozen until some seconds later.
    HolderFreezes,
    /// Another instance took over after the copy was made.
    Takeover,
}

/// Guards against a report with another content, or a lower token, after the log came back from a copy
/// that is some seconds old.
fn assert_restored_log_keeps_the_rules((age, meanwhile): &(u64, Meanwhile)) {
    let (mut world, old) = started();
    world.run(6_000);
    let copy = world.log.lock().unwrap().clone();
    if let Meanwhile::Takeover = meanwhile {
        world.nodes[old].frozen = true;
    }
    world.run(*age);
    world.nodes[old].frozen = false;
    world.set_all(LogFault::Refuses, ApiFault::None);
    world.run(2_000);
    world.log.lock().unwrap().restore(copy);
    match meanwhile {
        Meanwhile::Nothing | Meanwhile::Takeover => {}
        Meanwhile::HolderRestarts => world.restart(old),
        Meanwhile::FollowersRestart => {
            (0..3).filter(|i| *i != old).for_each(|i| world.restart(i));
        }
        Meanwhile::HolderFreezes => world.nodes[old].frozen = true,
    }
    world.set_all(LogFault::None, ApiFault::None);
    world.run(6_000);
    world.nodes[old].frozen = false;
    world.run(25_000);
    world.check_rules();
    assert!(world.calls.lock().unwrap().last().unwrap().at + 10_000 > world.clock.now());
}

cases! {
    assert_restored_log_keeps_the_rules:
    restored_log_keeps_tokens_and_reports => (9_000, Meanwhile::Nothing);
    log_restored_from_a_new_copy_keeps_tokens_and_reports => (1_000, Meanwhile::Nothing);
    log_restored_from_an_old_copy_keeps_tokens_and_reports => (30_000, Meanwhile::Nothing);
    log_restored_while_the_holder_restarts_keeps_tokens_and_reports =>
        (9_000, Meanwhile::HolderRestarts);
    log_restored_while_the_followers_restart_keeps_tokens_and_reports =>
        (9_000, Meanwhile::FollowersRestart);
    log_restored_while_the_holder_is_frozen_keeps_tokens_and_reports =>
        (9_000, Meanwhile::HolderFreezes);
    log_restored_to_before_a_takeover_keeps_tokens_and_reports => (9_000, Meanwhile::Takeover);
}

/// Guards against a fleet that takes its first start for a restored log, and waits or leaves windows out.
#[test]
fn first_start_in_a_later_era_is_like_any_other() {
    let reports = |era: u64| {
        let mut world = World::new(3);
        world.log.lock().unwrap().era = era;
        world.run(20_000);
        world.check();
        let calls = world.calls.lock().unwrap();
        calls.iter().map(|c| (c.at, c.window)).collect::<Vec<_>>()
    };
    assert_eq!(reports(1), reports(0));
}

#[test]
fn log_restored_twice_keeps_tokens_and_reports() {
    let (mut world, _) = started();
    for age in [7_000, 9_000] {
        let copy = world.log.lock().unwrap().clone();
        world.run(age);
        world.log.lock().unwrap().restore(copy);
        world.run(8_000);
    }
    world.run(20_000);
    world.check_rules();
}

#[test]
fn all_instances_restarted_at_once_send_what_was_fixed() {
    let (mut world, old) = started();
    world.set_api(old, ApiFault::Refuses);
    world.run(5_000);
    (0..3).for_each(|i| world.restart(i));
    world.run(25_000);
    world.check();
}

/// Faults of all kinds at random times, several at once.
#[test]
fn rules_hold_under_random_faults() {
    for seed in 0..300 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // Short windows, and reports that were not accepted: calls are due at most times.
        let times = Times { window: 2_000, late: 20_000 };
        let mut world = World::with_times(4, times);
        for _ in 0..100 {
            world.run(rng.random_range(1..150) * STEP);
            let i = rng.random_range(0..4);
            match rng.random_range(0..8) {
                0 | 1 => world.nodes[i].frozen ^= true,
                2 => world.restart(i),
                3 => {
                    let on = rng.random_bool(0.5);
                    world.nodes[i].board.set_isolated(on);
                }
                4 => {
                    let late = LogFault::LosesAnswers(rng.random_range(0..6_000));
                    let faults = [LogFault::None, LogFault::Refuses, LogFault::Hangs, late];
                    world.set_log(i, faults[rng.random_range(0..4)]);
                }
                5 => {
                    let refuses = ApiFault::Refuses;
                    let faults = [ApiFault::None, ApiFault::LosesAnswers, ApiFault::Hangs, refuses];
                    world.set_api(i, faults[rng.random_range(0..4)]);
                }
                6 => {
                    let mut log = world.log.lock().unwrap();
                    let end = log.end();
                    log.lose_history(end + rng.random_range(0..3));
                }
                _ => {
                    world.set_all(LogFault::None, ApiFault::None);
                    world.nodes.iter_mut().for_each(|n| n.frozen = false);
                }
            }
        }
        world.check_rules();
        // Everything recovers.
        world.set_all(LogFault::None, ApiFault::None);
        for node in &mut world.nodes {
            node.frozen = false;
            node.board.set_isolated(false);
        }
        world.run(15_000);
        world.holder();
        world.check_rules();
    }
}

#[test]
fn followers_and_holder_make_few_calls() {
    let (mut world, _) = started();
    let before = world.log.lock().unwrap().appends;
    world.run(20_000);
    let appends = world.log.lock().unwrap().appends - before;
    assert!((20..=40).contains(&appends), "{appends} appends in 20 s");
}

#[test]
fn candidates_are_spread_over_domains_and_keep_the_holder() {
    let mut all: Vec<Candidate> =
        (0..9).map(|i| candidate(&format!("edge-{i}"), &format!("d{}", i / 3), 160)).collect();
    all[7].memory = 512;
    all[4].memory = 512;
    all[8].impaired = true;
    let names = |all: &[Candidate]| -> Vec<String> {
        choose(all.to_vec()).into_iter().map(|c| c.name).collect()
    };
    let chosen = names(&all);
    assert!(chosen.contains(&"edge-7".to_owned()) && chosen.contains(&"edge-4".to_owned()));
    let domains: std::collections::BTreeSet<u32> =
        chosen.iter().map(|n| n[5..].parse::<u32>().unwrap() / 3).collect();
    assert_eq!(domains.len(), 3);
    all[8].holds = true;
    assert_eq!(names(&all)[0], "edge-8");
    all.reverse();
    assert_eq!(names(&all)[0], "edge-8");
}

#[test]
fn counts_survive_loss_repeats_and_restarts() {
    let mut counter = Counter::default();
    let mut merged = Merged::default();
    let counts = |started, part| Counts { name: "edge-0".to_owned(), started, part };
    let start = 5_000 * 200_000;
    for i in 0..100 {
        counter.add(&TIMES, start + i * 40, "recife");
        // Every third message is lost, the others arrive twice.
        for part in counter.messages(&TIMES, start + i * 40, 500, false) {
            if i % 3 != 0 {
                merged.add(&TIMES, start + i * 40, counts(1, part.clone()));
                merged.add(&TIMES, start + i * 40, counts(1, part));
            }
        }
    }
    let window = TIMES.window_of(start);
    assert!(merged.totals(window)["recife"] >= 98);
    assert_eq!(merged.missing(window, ["edge-0"].into_iter()), 1);
    for part in counter.messages(&TIMES, start + 5_100, 500, false) {
        merged.add(&TIMES, start + 5_100, counts(1, part));
    }
    assert_eq!(merged.totals(window)["recife"], 100);
    assert_eq!(merged.missing(window, ["edge-0"].into_iter()), 0);
    // The next process of the same instance counts from 0.
    let part = Part { window, closed: false, counts: vec![("recife".to_owned(), 7)] };
    merged.add(&TIMES, start + 5_200, counts(2, part));
    assert_eq!(merged.totals(window)["recife"], 107);
}

fn heartbeat(name: &str, seq: u64, clock: u64) -> Heartbeat {
    Heartbeat { name: name.to_owned(), started: 1, seq, full: true, clock, ..Heartbeat::default() }
}

/// Guards against windows by the clock of one instance that is wrong, and by datagrams that were read late.
#[test]
fn true_time_is_the_median_of_the_clocks() {
    let addr = ([127, 0, 0, 1], 1).into();
    let mut peers = Peers::new("edge-0");
    // The local clock is 4 s late, that of edge-1 is 9 s ahead of it.
    for (i, offset) in [9_000, 4_000, 4_010, 3_990].into_iter().enumerate() {
        peers.receive(START, addr, heartbeat(&format!("edge-{}", i + 1), 1, START + offset));
    }
    assert_eq!(peers.clock_offset(START), 4_000);
    // Datagrams that waited for 8 s in the socket of a frozen instance.
    for seq in 2..12 {
        for i in 1..5 {
            peers.receive(START + 9_000, addr, heartbeat(&format!("edge-{i}"), seq, START + 4_000));
        }
    }
    assert!((3_980..=4_000).contains(&peers.clock_offset(START + 9_000)));
}

#[test]
fn instance_that_suddenly_hears_few_others_counts_as_isolated_for_a_while() {
    let addr = ([127, 0, 0, 1], 1).into();
    let mut peers = Peers::new("edge-0");
    for i in 1..4 {
        peers.receive(START, addr, heartbeat(&format!("edge-{i}"), 1, START));
    }
    assert!(!peers.is_isolated(START + 1_000));
    assert!(peers.is_isolated(START + 1_300));
    peers.receive(START + 1_300, addr, heartbeat("edge-1", 2, START));
    assert!(!peers.is_isolated(START + 1_300), "half of them are heard");
    assert!(!peers.is_isolated(START + 6_400), "the others are gone");
}

#[test]
fn log_whose_records_expire_at_once_is_read_with_pauses() {
    // The users' platform takes 2,000 reads a second from all: a tenth of that for the candidates.
    let (most, latency, seconds) = (2_000 / 10, 4, 10);
    let mut world = World::new(MAX_CANDIDATES);
    world.run(10_000);
    world.set_all(LogFault::Expires, ApiFault::None);
    let node = (0..MAX_CANDIDATES).find(|i| !world.holds(*i)).unwrap();
    let until = world.clock.now() + seconds * 1_000;
    let mut turns = 0;
    while world.clock.now() < until {
        let pause = world.nodes[node].runner.turn();
        world.clock.advance(pause + latency);
        turns += 1;
    }
    assert!(turns * MAX_CANDIDATES as u64 <= most * seconds, "{turns} turns of a candidate");
    world.set_all(LogFault::None, ApiFault::None);
    world.run(10_000);
    assert_eq!((0..MAX_CANDIDATES).filter(|i| world.holds(*i)).count(), 1);
}
