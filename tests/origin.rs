//! Tests of the software version at which a stream goes on: instances with a model of the store on a
//! paused clock, without a network.
#![allow(clippy::unwrap_used)]

mod common;

use indexmap::{IndexMap, IndexSet};
use sassafrasworks::adapter::clock::Millis;
use sassafrasworks::adapter::codec;
use sassafrasworks::policy::origin::{
    Begin, MAX_LIFETIME, Marker, Origins, Readiness, Software, StreamsRecord, Verdict,
    WRITE_TIMEOUT,
};
use sassafrasworks::relay::gossip::{Heartbeat, Peers};

/// Service of all streams.
const SERVICE: &str = "svc";
/// Timeout of the route, and the time for which streams of it can last, in milliseconds.
const TIMEOUT: Millis = 20_000;
const LIFETIME: Millis = TIMEOUT + 1_000;
/// Interval at which an instance looks at its list, in milliseconds.
const TURN: Millis = 400;
/// Time after which others don't count an instance any more that they don't hear, in milliseconds.
const SILENCE: Millis = 10_000;
/// Age up to which an instance relies on its list, in milliseconds.
const TRUSTED_AGE: Millis = 8_000;
/// Start of the clock, in milliseconds.
const START: Millis = 1_000_000;

fn v(version: &str) -> Software {
    Software::of(SERVICE, version)
}

/// A write: the start of its process and its number there, and the changes with theirs.
#[derive(Clone, Default)]
struct Append {
    epoch: u64,
    sequence: u64,
    changes: Vec<(u64, String, Vec<u8>)>,
}

/// What a read returns: its number, the era and the records that are new to the instance.
type Read = (u64, u64, Vec<(String, Vec<u8>)>);

/// An instance without I/O, with its writer.
struct Node {
    name: String,
    origins: Origins,
    listed: IndexSet<Software>,
    /// It is in contact with all others, which have the same list.
    informed: bool,
    /// It hears most of the others, and those that it hears have the same list.
    current: bool,
    /// Time on its clock up to which its list was up to date.
    listed_at: Millis,
    /// The store answers it, and takes what it writes.
    store: bool,
    writes: bool,
    /// Its process does nothing.
    frozen: bool,
    /// Difference of its clock, in milliseconds.
    clock: Millis,
    reads: u64,
    /// Era and position up to which it has read.
    position: (u64, u64),
    /// Starts of its process, writes of this one, and changes.
    epoch: u64,
    sequence: u64,
    changes: u64,
    /// Newest values that aren't written, and the write that isn't answered.
    board: IndexMap<String, (u64, Vec<u8>)>,
    in_flight: Option<Append>,
    /// Written values and the era: they are written again in a later one.
    written: IndexMap<String, (u64, Vec<u8>)>,
}

impl Node {
    fn new(i: usize, first_start: bool, store: bool) -> Self {
        let name = format!("entry-{i}");
        let mut origins = Origins::new(&name, first_start);
        origins.add_timeout(TIMEOUT);
        Self {
            name,
            origins,
            listed: IndexSet::new(),
            informed: true,
            current: true,
            listed_at: 0,
            store,
            writes: true,
            frozen: false,
            clock: 77_777_777 * i as Millis,
            reads: 0,
            position: (0, 0),
            epoch: 1,
            sequence: 0,
            changes: 0,
            board: IndexMap::new(),
            in_flight: None,
            written: IndexMap::new(),
        }
    }
}

/// Three instances, the store, and the version that began each stream.
struct World {
    now: Millis,
    era: u64,
    store: IndexMap<String, Vec<u8>>,
    /// Keys in order of their last change, and the number of changes.
    changed: IndexMap<String, u64>,
    end: u64,
    /// The last write of each instance that was executed.
    producers: IndexMap<String, (u64, u64)>,
    nodes: Vec<Node>,
    began: IndexMap<String, Software>,
}

impl World {
    /// A fleet that sees its first lists and has read the store, if that answers.
    fn start(first_start: bool, listed: &[&str], store: bool) -> Self {
        let mut w = Self {
            now: START,
            era: 1,
            store: IndexMap::new(),
            changed: IndexMap::new(),
            end: 0,
            producers: IndexMap::new(),
            nodes: (0..3).map(|i| Node::new(i, first_start, store)).collect(),
            began: IndexMap::new(),
        };
        w.list_all(listed);
        (0..3).filter(|_| store).for_each(|i| w.read(i));
        w
    }

    /// A fleet whose base is v1, with v1 and v2 listed.
    fn mixed() -> Self {
        let mut w = Self::start(false, &["v1"], true);
        w.run(LIFETIME + TURN);
        w.list_all(&["v1", "v2"]);
        assert!((0..3).all(|i| w.base(i) == Some(v("v1"))));
        w
    }

    fn put(&mut self, key: &str, value: Vec<u8>) {
        self.end += 1;
        self.changed.insert(key.to_owned(), self.end);
        self.store.insert(key.to_owned(), value);
    }

    fn node(&mut self, i: usize) -> (Millis, &mut Node) {
        (self.now + self.nodes[i].clock, &mut self.nodes[i])
    }

    fn base(&mut self, i: usize) -> Option<Software> {
        let (now, node) = self.node(i);
        node.origins.base(now, SERVICE)
    }

    /// Starts an instance again, with the same list.
    fn restart(&mut self, i: usize) {
        let old = &self.nodes[i];
        let mut node = Node::new(i, false, old.store);
        (node.informed, node.current, node.epoch) = (old.informed, old.current, old.epoch + 1);
        (node.listed, node.clock) = (old.listed.clone(), 55_555 * i as Millis);
        node.listed_at = (old.listed_at + node.clock).saturating_sub(old.clock);
        self.nodes[i] = node;
        self.observe(i);
        if self.nodes[i].store {
            self.read(i);
        }
    }

    fn list(&mut self, i: usize, versions: &[&str]) {
        self.nodes[i].listed = versions.iter().map(|version| v(version)).collect();
        self.observe(i);
    }

    fn list_all(&mut self, versions: &[&str]) {
        (0..self.nodes.len()).for_each(|i| self.list(i, versions));
    }

    fn observe(&mut self, i: usize) {
        let (now, node) = self.node(i);
        node.origins.observe(now, SERVICE, &node.listed, node.informed);
        if node.current {
            node.listed_at = now;
        }
        node.origins.rely_on_list(node.listed_at + TRUSTED_AGE);
    }

    /// A read that begins now.
    fn snapshot(&mut self, i: usize) -> Read {
        let here = (self.era, self.end);
        let (now, node) = self.node(i);
        node.reads += 1;
        if node.origins.needs_read(now) {
            node.origins.set_reading(now, node.reads);
        }
        let (era, position) = std::mem::replace(&mut self.nodes[i].position, here);
        let from = if era == self.era { position } else { 0 };
        let is_new = |k: &String| self.changed.get(k).is_none_or(|at| *at > from);
        let records = self.store.iter().filter(|(k, _)| from == 0 || is_new(k));
        let records = records.map(|(k, value)| (k.clone(), value.clone())).collect();
        (self.nodes[i].reads, self.era, records)
    }

    fn apply(&mut self, i: usize, (number, era, records): &Read) {
        let (now, node) = self.node(i);
        node.origins.set_era(now, *era);
        for (key, (_, value)) in node.written.extract_if(.., |_, (before, _)| *before != *era) {
            node.changes += 1;
            node.board.entry(key).or_insert((node.changes, value));
        }
        for (key, value) in records {
            if !value.is_empty() {
                node.origins.learn(now, key, value);
            } else if let Some((_, own)) = node.written.swap_remove(key) {
                node.changes += 1;
                node.board.entry(key.clone()).or_insert((node.changes, own));
            }
        }
        node.origins.finish_read(now, *number, true);
        self.observe(i);
    }

    fn read(&mut self, i: usize) {
        let read = self.snapshot(i);
        self.apply(i, &read);
    }

    /// Passes the changes of an instance on to its writer; the write that is under way.
    fn submit(&mut self, i: usize) -> Append {
        let (now, node) = self.node(i);
        if let Some((key, value)) = node.origins.take_write(now) {
            node.changes += 1;
            node.board.insert(key, (node.changes, value));
            node.origins.set_submitted(now, node.changes);
        }
        if node.in_flight.is_none() && !node.board.is_empty() {
            node.sequence += 1;
            let changes = node.board.iter().map(|(k, (n, value))| (*n, k.clone(), value.clone()));
            let (epoch, sequence) = (node.epoch, node.sequence);
            node.in_flight = Some(Append { epoch, sequence, changes: changes.collect() });
        }
        node.in_flight.clone().unwrap_or_default()
    }

    /// The store executes a write of an instance once, and none after one of a later process.
    fn execute(&mut self, i: usize, append: &Append) {
        let last = self.producers.entry(self.nodes[i].name.clone()).or_default();
        if (append.epoch, append.sequence) > *last {
            *last = (append.epoch, append.sequence);
            append.changes.iter().for_each(|(_, k, value)| self.put(k, value.clone()));
        }
    }

    fn acknowledge(&mut self, i: usize, append: &Append) {
        let era = self.era;
        let (now, node) = self.node(i);
        for (number, key, value) in &append.changes {
            node.written.insert(key.clone(), (era, value.clone()));
            if node.board.get(key).is_some_and(|(n, _)| n == number) {
                node.board.swap_remove(key);
            }
        }
        node.in_flight = None;
        let unwritten = node.board.values().map(|(n, _)| n - 1).min();
        node.origins.set_written(now, unwritten.unwrap_or(node.changes));
    }

    /// Writes the changes of an instance.
    fn flush(&mut self, i: usize) {
        loop {
            let append = self.submit(i);
            if append.changes.is_empty() {
                return;
            }
            self.execute(i, &append);
            self.acknowledge(i, &append);
        }
    }

    /// One turn of an instance.
    fn turn(&mut self, i: usize) {
        if self.nodes[i].frozen {
            return;
        }
        self.observe(i);
        let (now, node) = self.node(i);
        node.origins.expire(now);
        if node.origins.needs_read(now) {
            let read = self.snapshot(i);
            if self.nodes[i].store {
                self.apply(i, &read);
            } else {
                let (now, node) = self.node(i);
                node.origins.finish_read(now, read.0, false);
            }
        }
        if self.nodes[i].store && self.nodes[i].writes {
            self.flush(i);
        } else {
            self.submit(i);
        }
    }

    fn run(&mut self, ms: Millis) {
        let end = self.now + ms;
        while self.now < end {
            self.now = end.min(self.now + TURN);
            (0..self.nodes.len()).for_each(|i| self.turn(i));
        }
    }

    /// Goes back to a copy of the store.
    fn restore(&mut self, copy: IndexMap<String, Vec<u8>>) {
        (self.era, self.store) = (self.era + 1, copy);
    }

    /// Prepares an attempt as the driver does, if a version may be chosen.
    fn prepare_until(&mut self, i: usize, id: &str, version: &str, wait: Millis) -> Readiness {
        let (now, node) = self.node(i);
        let listed = &node.listed;
        let begin = node.origins.begin(now, SERVICE, |b| listed.contains(&b));
        match begin {
            Begin::Base(base) if base != v(version) => return Readiness::Wait,
            Begin::Refuse => return Readiness::Stuck,
            _ => {}
        }
        node.origins.prepare(now, SERVICE, id, v(version), now.saturating_add(wait))
    }

    fn prepare(&mut self, i: usize, id: &str, version: &str) -> Readiness {
        self.prepare_until(i, id, version, TIMEOUT)
    }

    /// The first event of an attempt arrives, if it may be sent.
    fn begin(&mut self, i: usize, id: &str, version: &str) -> Readiness {
        let mut readiness = self.prepare(i, id, version);
        if readiness == Readiness::Wait && self.nodes[i].store {
            self.flush(i);
            readiness = self.prepare(i, id, version);
        }
        if readiness == Readiness::Ready {
            self.began.insert(id.to_owned(), v(version));
        }
        readiness
    }

    /// What an instance says to a caller that resumes a stream: never another version than the one that
    /// began it.
    fn resume(&mut self, i: usize, id: &str) -> Verdict {
        let read = self.nodes[i].store;
        let (now, node) = self.node(i);
        let verdict = match node.origins.own(now, id) {
            Some(known) => known,
            None => {
                if read {
                    self.read(i);
                }
                let current = self.nodes[i].informed;
                self.nodes[i].origins.verdict(now, SERVICE, Some(id), read, current)
            }
        };
        if let (Verdict::Began(at), Some(began)) = (verdict, self.began.get(id)) {
            assert_eq!(at, *began, "ORDER: {id} goes on at another version");
        }
        verdict
    }

    /// A caller resumes a stream and waits on: the instance takes it over, as the driver does.
    fn go_on(&mut self, i: usize, id: &str) {
        let began = *self.began.get(id).unwrap();
        assert_eq!(self.resume(i, id), Verdict::Began(began));
        let (now, node) = self.node(i);
        node.origins.adopt(now, SERVICE, id, began, now + TIMEOUT);
    }

    /// Resumes at all instances whose store answers go on.
    fn assert_goes_on(&mut self, id: &str) {
        let began = Verdict::Began(*self.began.get(id).unwrap());
        for i in 0..self.nodes.len() {
            assert_eq!(self.resume(i, id), began, "{id} at instance {i}");
        }
    }

    /// The list of an instance is old, and others may have another one.
    fn outdate(&mut self, i: usize) {
        let (now, node) = self.node(i);
        (node.informed, node.current) = (false, false);
        node.listed_at = now - TRUSTED_AGE;
        self.observe(i);
    }

    fn has_written_base(&self, i: usize) -> bool {
        let record = |value: &Vec<u8>| codec::unpack::<StreamsRecord>(value).unwrap();
        self.nodes[i].written.values().any(|(_, value)| record(value).bases.contains_key(SERVICE))
    }

    fn refuse(&mut self, i: usize) {
        self.nodes[i].store = false;
    }
}

fn play(case: &impl Fn(&mut World)) {
    case(&mut World::mixed());
}

fn play_from_start(case: &impl Fn()) {
    case();
}

/// No event yet may go anywhere; the first event keeps its version over three breaks.
fn any_version_before_the_first_event(w: &mut World) {
    assert_eq!(w.begin(0, "base", "v1"), Readiness::Ready);
    assert_eq!(w.prepare(0, "a", "v2"), Readiness::Wait);
    assert_eq!(w.begin(0, "a", "v2"), Readiness::Ready);
    assert_eq!(w.begin(0, "b", "v3"), Readiness::Ready);
    for _ in 0..3 {
        ["base", "a", "b"].iter().for_each(|id| w.assert_goes_on(id));
        w.run(2_000);
        w.restart(0);
    }
    assert_eq!(w.resume(1, "c"), Verdict::Began(v("v1")));
}

/// A kill with writes that aren't acknowledged: what wasn't sent began nowhere.
fn kill_before_the_write(w: &mut World) {
    assert_eq!(w.prepare(0, "a", "v2"), Readiness::Wait);
    let append = w.submit(0);
    w.restart(0);
    assert_eq!(w.begin(0, "b", "v2"), Readiness::Ready);
    drop(append);
    w.assert_goes_on("b");
}

/// An attempt that was on record at v2 is sent to the base.
fn withdrawn_record(w: &mut World) {
    w.nodes[0].origins.add_timeout(TIMEOUT);
    assert_eq!(w.begin(0, "a", "v2"), Readiness::Ready);
    assert_eq!(w.prepare(0, "a", "v1"), Readiness::Wait, "v2 is still on record");
    assert_eq!(w.begin(0, "a", "v1"), Readiness::Ready);
    w.assert_goes_on("a");
}

/// The same, with an instance that read the record before it was withdrawn.
fn withdrawn_record_that_was_read_before(w: &mut World) {
    assert_eq!(w.begin(0, "a", "v2"), Readiness::Ready);
    w.read(1);
    assert_eq!(w.begin(0, "a", "v1"), Readiness::Ready);
    w.assert_goes_on("a");
}

/// An append that got no answer is executed after the one that repeated it.
fn append_executed_after_its_repetition(w: &mut World) {
    w.prepare(0, "a", "v2");
    let first = w.submit(0);
    w.prepare(0, "b", "v2");
    let second = w.submit(0);
    w.execute(0, &second);
    w.acknowledge(0, &second);
    assert_eq!(w.begin(0, "b", "v2"), Readiness::Ready);
    w.execute(0, &first);
    w.resume(1, "b");
}

/// An append of a process that was killed is executed after the next process has written.
fn append_executed_after_a_restart(w: &mut World) {
    w.prepare(0, "a", "v2");
    let first = w.submit(0);
    w.restart(0);
    assert_eq!(w.begin(0, "b", "v2"), Readiness::Ready);
    w.execute(0, &first);
    w.resume(1, "b");
}

/// A base is proposed while the store is away; the base before serves again when it is back.
fn base_proposed_before_a_release_goes_back(w: &mut World) {
    w.list_all(&["v2"]);
    w.run(1_000);
    w.restart(1);
    w.run(LIFETIME - 1_400);
    w.refuse(0);
    w.refuse(2);
    // Instances 0 and 2 propose v2, and the store refuses their writes.
    w.run(800);
    w.list_all(&["v1", "v2"]);
    w.run(800);
    assert_eq!(w.begin(1, "a", "v1"), Readiness::Ready);
    (w.nodes[0].store, w.nodes[2].store) = (true, true);
    w.run(800);
    w.resume(2, "a");
}

/// The same, with an append that is executed late instead.
fn base_written_late_after_a_release_went_back(w: &mut World) {
    w.list_all(&["v2"]);
    w.run(1_000);
    w.restart(1);
    w.run(LIFETIME - 1_200);
    w.now += TURN;
    w.observe(0);
    let late = w.submit(0);
    w.list_all(&["v1", "v2"]);
    w.run(800);
    assert_eq!(w.begin(1, "a", "v1"), Readiness::Ready);
    w.execute(0, &late);
    w.resume(2, "a");
}

/// The record was read while the base was not listed, and the base changes before it is listed again.
fn base_read_before_it_was_listed_again(w: &mut World) {
    w.list_all(&["v2"]);
    w.run(LIFETIME - 800);
    w.restart(1);
    w.now += 800;
    w.read(1);
    w.observe(0);
    w.flush(0);
    w.list_all(&["v1", "v2"]);
    assert_eq!(w.begin(1, "a", "v1"), Readiness::Ready);
    w.resume(2, "a");
}

/// A read that began before the base was listed again ends after it.
fn read_under_way_when_the_base_is_listed_again(w: &mut World) {
    w.list_all(&["v2"]);
    w.run(LIFETIME - 800);
    w.restart(1);
    w.observe(1);
    w.now += 800;
    let read = w.snapshot(1);
    w.observe(0);
    w.flush(0);
    w.list_all(&["v1", "v2"]);
    w.apply(1, &read);
    w.begin(1, "a", "v1");
    w.resume(2, "a");
}

/// The base is listed again after it was gone: at once it counts once it was read, later it is closed,
/// and all streams are recorded until it has served alone again.
fn base_listed_again(w: &mut World) {
    assert_eq!(w.begin(0, "a", "v1"), Readiness::Ready);
    w.list_all(&["v2"]);
    w.list_all(&["v1", "v2"]);
    assert_eq!(w.base(1), None);
    let (now, node) = w.node(1);
    assert!(node.origins.needs_read(now));
    w.run(TURN);
    assert_eq!(w.base(1), Some(v("v1")));
    w.list_all(&["v2"]);
    w.run(2_000);
    assert_eq!(w.base(1), None);
    w.list_all(&["v1", "v2"]);
    w.run(TURN);
    assert_eq!(w.base(1), None);
    assert_eq!(w.prepare(1, "b", "v1"), Readiness::Wait);
    assert_eq!(w.begin(1, "b", "v1"), Readiness::Ready);
    w.assert_goes_on("a");
    w.assert_goes_on("b");
    w.list_all(&["v1"]);
    w.run(LIFETIME + 3 * TURN);
    assert!((0..3).all(|i| w.base(i) == Some(v("v1"))));
}

/// The base changes while an instance is cut off: the others wait for it, and with an old list it begins
/// no stream without a record.
fn base_change_waits_for_an_instance_with_an_old_list(w: &mut World) {
    (w.nodes[1].informed, w.nodes[2].informed) = (false, false);
    w.refuse(0);
    w.list(0, &["v1"]);
    w.list(1, &["v2"]);
    w.list(2, &["v2"]);
    w.run(2_000);
    assert_eq!(w.begin(0, "a", "v1"), Readiness::Ready);
    w.resume(1, "a");
    w.outdate(0);
    w.run(3 * LIFETIME);
    assert_ne!(w.begin(0, "b", "v1"), Readiness::Ready);
    assert_eq!(w.base(1), None);
    (0..3).for_each(|i| w.nodes[i].informed = true);
    w.nodes[0].current = true;
    w.list(0, &["v2"]);
    w.nodes[0].store = true;
    w.run(LIFETIME + 2 * TURN);
    assert!((0..3).all(|i| w.base(i) == Some(v("v2"))));
}

/// The same, with resumes at an instance that can't read the store.
fn old_list_of_another_instance_without_the_store(w: &mut World) {
    (w.nodes[1].informed, w.nodes[2].informed) = (false, false);
    w.list(0, &["v1"]);
    w.list(1, &["v2"]);
    w.list(2, &["v2"]);
    w.outdate(0);
    w.run(LIFETIME + TURN);
    assert_eq!(w.begin(0, "a", "v1"), Readiness::Ready);
    w.refuse(1);
    w.resume(1, "a");
}

/// The store refuses an instance while versions are mixed: only the base.
fn store_away_with_the_base(w: &mut World) {
    w.refuse(0);
    assert_eq!(w.prepare(0, "a", "v2"), Readiness::Wait);
    w.submit(0);
    w.now += WRITE_TIMEOUT;
    assert_eq!(w.prepare(0, "b", "v2"), Readiness::Wait);
    assert_eq!(w.prepare(0, "a", "v1"), Readiness::Stuck);
    assert_eq!(w.begin(0, "c", "v1"), Readiness::Ready);
    w.assert_goes_on("c");
    w.nodes[0].store = true;
    w.run(TURN);
}

/// The same, while endpoints of the base are away for a moment.
fn store_away_without_endpoints_of_the_base(w: &mut World) {
    w.refuse(0);
    w.prepare(0, "a", "v2");
    w.submit(0);
    w.now += WRITE_TIMEOUT;
    w.list_all(&["v2"]);
    w.begin(0, "b", "v2");
    w.list_all(&["v1", "v2"]);
    w.run(TURN);
    w.resume(1, "b");
}

/// The same, with an instance that alone saw the base go.
fn store_away_with_a_base_that_has_to_be_read(w: &mut World) {
    w.refuse(0);
    w.list(0, &["v2"]);
    w.list(0, &["v1", "v2"]);
    w.prepare(0, "a", "v2");
    w.submit(0);
    w.now += WRITE_TIMEOUT;
    w.begin(0, "b", "v2");
    w.resume(1, "b");
}

/// The base changes while the store refuses an instance, and the next release begins.
fn store_away_with_a_base_that_is_not_known(w: &mut World) {
    w.refuse(0);
    w.list_all(&["v2"]);
    w.run(LIFETIME + 3 * TURN);
    assert_eq!(w.base(1), Some(v("v2")));
    w.list_all(&["v2", "v3"]);
    w.prepare(0, "x", "v3");
    w.submit(0);
    w.now += WRITE_TIMEOUT;
    w.begin(0, "a", "v3");
    w.resume(1, "a");
    assert_eq!(w.begin(0, "b", "v2"), Readiness::Ready);
    assert_eq!(w.resume(1, "b"), Verdict::Began(v("v2")));
}

/// An instance starts without the store after a release, which goes back.
fn start_without_the_store_after_a_release(w: &mut World) {
    w.list_all(&["v2"]);
    w.refuse(0);
    w.restart(0);
    w.begin(0, "a", "v2");
    w.list_all(&["v1", "v2"]);
    w.run(TURN);
    w.resume(1, "a");
}

/// One instance has a caller that waits for longer than the timeout of the route.
fn long_deadline_at_one_instance(w: &mut World) {
    assert_eq!(w.prepare_until(0, "a", "v1", 120_000), Readiness::Wait, "recorded at the base too");
    w.flush(0);
    assert_eq!(w.prepare_until(0, "a", "v1", 120_000), Readiness::Ready);
    w.began.insert("a".to_owned(), v("v1"));
    w.list_all(&["v2"]);
    w.run(LIFETIME + 3 * TURN);
    assert!((0..3).all(|i| w.base(i) == Some(v("v2"))));
    w.assert_goes_on("a");
    w.run(120_000 - 2 * LIFETIME);
    w.assert_goes_on("a");
}

/// A deadline without end: the stream is on record for the longest time.
fn endless_deadline(w: &mut World) {
    w.prepare_until(0, "a", "v2", Millis::MAX);
    w.flush(0);
    assert_eq!(w.prepare_until(0, "a", "v2", Millis::MAX), Readiness::Ready);
    w.began.insert("a".to_owned(), v("v2"));
    w.run(MAX_LIFETIME - 1_000);
    w.assert_goes_on("a");
}

/// The attempt isn't named: the base is sure if no stream of another version is on record.
fn resumes_absent(w: &mut World) {
    let (now, node) = w.node(1);
    assert_eq!(node.origins.verdict(now, SERVICE, None, true, true), Verdict::Began(v("v1")));
    assert_eq!(node.origins.verdict(now, SERVICE, None, false, true), Verdict::Unknown);
    w.begin(0, "a", "v2");
    w.begin(0, "b", "v1");
    w.resume(1, "a");
    for i in 0..3 {
        w.read(i);
        let (now, node) = w.node(i);
        assert_eq!(node.origins.verdict(now, SERVICE, None, true, true), Verdict::Unknown);
    }
    (0..3).for_each(|i| w.restart(i));
    let (now, node) = w.node(2);
    assert_eq!(node.origins.verdict(now, SERVICE, None, true, true), Verdict::Unknown);
    w.list_all(&["v1"]);
    w.run(LIFETIME + TURN);
    let (now, node) = w.node(1);
    assert_eq!(node.origins.verdict(now, SERVICE, None, false, true), Verdict::Began(v("v1")));
    assert_eq!(node.origins.verdict(now, SERVICE, None, false, false), Verdict::Unknown);
}

/// An endpoint turns out to be another incarnation than the one that the request was sent to.
fn doubted_stream(w: &mut World) {
    assert_eq!(w.begin(0, "a", "v1"), Readiness::Ready);
    w.nodes[0].origins.doubt("a");
    w.flush(0);
    assert_eq!(w.resume(0, "a"), Verdict::Unknown);
    assert_eq!(w.resume(1, "a"), Verdict::Unknown);
}

/// The store goes back to a copy without the newest records: a running and a restarted instance.
fn restored_store(w: &mut World) {
    let copy = w.store.clone();
    assert_eq!(w.begin(0, "a", "v2"), Readiness::Ready);
    w.restore(copy);
    w.restart(2);
    assert_eq!(w.resume(1, "a"), Verdict::Unknown);
    assert_eq!(w.resume(2, "a"), Verdict::Unknown);
    w.read(0);
    w.run(TURN);
    w.assert_goes_on("a");
    w.list_all(&["v2"]);
    w.run(2 * LIFETIME);
    assert!((0..3).all(|i| w.base(i) == Some(v("v2"))));
}

/// A stream at the base runs while the store goes back, then all instances start again.
fn stream_at_the_base_of_a_restored_store(w: &mut World) {
    assert_eq!(w.begin(0, "a", "v1"), Readiness::Ready);
    let copy = w.store.clone();
    w.restore(copy);
    (0..3).for_each(|i| w.read(i));
    (0..3).for_each(|i| w.flush(i));
    (0..3).for_each(|i| w.restart(i));
    w.assert_goes_on("a");
}

/// An instance sees in another call that the store went back, before it reads records again.
fn restore_seen_in_another_call(w: &mut World) {
    let copy = w.store.clone();
    assert_eq!(w.begin(0, "a", "v1"), Readiness::Ready);
    w.restore(copy);
    let era = w.era;
    let (now, node) = w.node(0);
    node.origins.note_era(now, era);
    assert_eq!(w.base(0), None);
    assert_eq!(w.prepare(0, "b", "v1"), Readiness::Wait, "it needs a record now");
    w.flush(0);
    (0..3).for_each(|i| w.restart(i));
    w.assert_goes_on("a");
}

/// The copy is older than the first base, and one instance had not heard of the last base.
fn store_restored_from_before_the_first_base(w: &mut World) {
    w.list_all(&["v2"]);
    w.run(LIFETIME);
    w.restart(1);
    w.run(3 * TURN);
    assert_eq!(w.base(0), Some(v("v2")));
    w.restore(IndexMap::new());
    w.list_all(&["v1", "v2"]);
    (0..3).for_each(|i| w.read(i));
    w.run(LIFETIME + TURN);
    w.begin(0, "a", "v2");
    w.begin(1, "b", "v1");
    w.resume(2, "a");
    w.resume(2, "b");
}

/// An instance that reads nothing after the store was restored proposes the same base as the others.
fn base_of_an_instance_that_has_not_seen_the_restore(w: &mut World) {
    let copy = w.store.clone();
    w.restore(copy);
    (0..2).for_each(|i| w.read(i));
    w.list_all(&["v2"]);
    w.run(LIFETIME + 2 * TURN);
    w.list_all(&["v2", "v3"]);
    assert_eq!(w.begin(0, "a", "v2"), Readiness::Ready);
    assert_eq!(w.resume(1, "a"), Verdict::Began(v("v2")), "refused though its base is known");
}

/// After the store was restored, the base is held back, and counts before it is written.
fn base_held_back_after_a_restore(w: &mut World) {
    w.list_all(&["v1"]);
    w.run(LIFETIME + TURN);
    let copy = w.store.clone();
    w.restore(copy);
    (0..3).for_each(|i| w.read(i));
    w.run(TURN);
    w.list_all(&["v1", "v2"]);
    w.now += LIFETIME - TURN;
    assert_eq!(w.begin(0, "a", "v1"), Readiness::Ready);
    w.restart(0);
    assert_eq!(w.resume(1, "a"), Verdict::Began(v("v1")), "begun at the base, on no record");
}

/// The endpoint of a stream turns out to be of another version, and its instance is killed before that
/// is written.
fn doubt_not_written(w: &mut World) {
    assert_eq!(w.begin(0, "a", "v1"), Readiness::Ready);
    w.began.insert("a".to_owned(), v("v2"));
    w.nodes[0].origins.doubt("a");
    w.restart(0);
    w.resume(1, "a");
}

/// All of the fleet but instance 0, which is cut off, take v2 as the base; then v1 serves too.
fn change_base_without(w: &mut World) {
    w.list(1, &["v2"]);
    w.list(2, &["v2"]);
    (w.nodes[1].informed, w.nodes[2].informed) = (false, false);
    w.run(SILENCE);
    (w.nodes[1].informed, w.nodes[2].informed) = (true, true);
    w.run(LIFETIME + 3 * TURN);
    assert_eq!(w.base(1), Some(v("v2")));
    w.list(1, &["v1", "v2"]);
    w.list(2, &["v1", "v2"]);
    assert_eq!(w.begin(1, "a", "v2"), Readiness::Ready);
}

/// An instance closes the base, and is frozen before the write.
fn base_closed_after_a_freeze(w: &mut World) {
    w.list(0, &["v2"]);
    w.read(0);
    let late = w.submit(0);
    assert_eq!(late.changes.len(), 1, "the base is closed");
    w.nodes[0].frozen = true;
    change_base_without(w);
    w.execute(0, &late);
    w.resume(2, "a");
    w.assert_goes_on("a");
}

/// The store takes no writes of an instance that closes the base, for longer than a stream lasts.
fn base_closed_by_a_write_that_was_refused(w: &mut World) {
    w.nodes[0].writes = false;
    w.list_all(&["v2"]);
    w.run(LIFETIME + 4 * TURN);
    assert_eq!(w.base(1), Some(v("v2")));
    w.list_all(&["v1", "v2"]);
    assert_eq!(w.begin(1, "a", "v2"), Readiness::Ready);
    w.flush(0);
    w.resume(2, "a");
    w.assert_goes_on("a");
}

/// An instance sends a request after it was frozen, before it looks at its list.
fn request_after_a_freeze(w: &mut World) {
    w.list(0, &["v1"]);
    w.nodes[0].frozen = true;
    change_base_without(w);
    w.begin(0, "b", "v1");
    w.resume(2, "b");
}

/// A release begins while an instance is cut off from the store and from all others. One of them begins
/// a stream at the new version, and its caller resumes it there.
fn resume_at_an_instance_that_is_cut_off(w: &mut World) {
    w.list_all(&["v1"]);
    w.run(LIFETIME + TURN);
    w.refuse(0);
    w.nodes[0].informed = false;
    w.list(1, &["v1", "v2"]);
    w.list(2, &["v1", "v2"]);
    w.run(SILENCE);
    assert_eq!(w.begin(1, "a", "v2"), Readiness::Ready);
    w.nodes[0].informed = lone_peers().hears_all(START + SILENCE);
    w.resume(0, "a");
}

/// An instance that is cut off begins a stream at the base of before.
fn begin_at_an_instance_that_is_cut_off(w: &mut World) {
    w.list_all(&["v1"]);
    w.refuse(0);
    w.nodes[0].informed = false;
    w.nodes[0].current = lone_peers().hears_most(START + SILENCE);
    change_base_without(w);
    w.begin(0, "b", "v1");
    w.resume(2, "b");
}

/// Peers of an instance that heard all others at the start, and nobody since.
fn lone_peers() -> Peers {
    let mut peers = Peers::new("entry-0");
    let others: Vec<_> = (1..3).map(|i| (format!("entry-{i}"), common::free_addr())).collect();
    peers.sync(&others);
    for (name, addr) in others {
        peers.receive(
            START,
            addr,
            Heartbeat { name, started: 1, seq: 1, full: true, ..Heartbeat::default() },
        );
    }
    assert!(peers.hears_all(START) && peers.hears_most(START));
    peers
}

/// The writer of an instance that was cut off writes its record of the base again after a restore.
fn base_of_an_older_era_written_again(w: &mut World) {
    w.list_all(&["v1"]);
    let writer = (0..3).find(|i| w.has_written_base(*i)).unwrap();
    let other = (writer + 1) % 3;
    let copy = w.store.clone();
    w.restore(copy);
    w.nodes[writer].frozen = true;
    (0..3).filter(|i| *i != writer).for_each(|i| w.read(i));
    w.run(2 * LIFETIME + 3 * TURN);
    assert_eq!(w.base(other), Some(v("v1")));
    assert_eq!(w.begin(other, "a", "v1"), Readiness::Ready);
    w.nodes[writer].frozen = false;
    w.read(writer);
    w.flush(writer);
    w.restart(other);
    w.assert_goes_on("a");
}

/// A caller resumes a stream again and again, for as long as it waits.
fn chain_of_resumes(w: &mut World) {
    assert_eq!(w.begin(0, "a", "v2"), Readiness::Ready);
    w.run(TIMEOUT - 2_000);
    w.assert_goes_on("a");
    w.go_on(2, "a");
    // The second attempt has a timeout of its own, and breaks.
    w.run(TIMEOUT - 2_000);
    assert_eq!(w.begin(0, "b", "v2"), Readiness::Ready);
    w.resume(1, "a");
}

/// A caller whose attempts are refused while the store is away tries on for longer than a stream lasts, each
/// time with a timeout of its own.
fn chain_of_refused_resumes(w: &mut World) {
    assert_eq!(w.begin(0, "a", "v2"), Readiness::Ready);
    w.list_all(&["v1"]);
    w.refuse(1);
    for _ in 0..3 {
        assert_eq!(w.resume(1, "a"), Verdict::Unknown);
        w.run(TIMEOUT / 2);
    }
    w.resume(1, "a");
}

/// The longest timeout is shortened, and all instances start again.
fn timeout_shortened(w: &mut World) {
    (0..3).for_each(|i| w.nodes[i].origins.add_timeout(120_000));
    assert_eq!(w.prepare_until(0, "a", "v1", 120_000), Readiness::Wait, "not on record yet");
    w.flush(0);
    assert_eq!(w.prepare_until(0, "a", "v1", 120_000), Readiness::Ready);
    assert_eq!(w.prepare_until(0, "b", "v1", 120_000), Readiness::Ready);
    ["a", "b"].iter().for_each(|id| _ = w.began.insert((*id).to_owned(), v("v1")));
    (0..3).for_each(|i| w.restart(i));
    (0..3).for_each(|i| w.flush(i));
    (0..3).for_each(|i| w.restart(i));
    w.list_all(&["v2"]);
    w.run(LIFETIME + 3 * TURN);
    w.list_all(&["v1", "v2"]);
    w.assert_goes_on("a");
    w.assert_goes_on("b");
}

/// A caller without a deadline goes on after the longest time for which a stream is on record.
fn endless_deadline_after_the_record(w: &mut World) {
    w.prepare_until(0, "a", "v2", Millis::MAX);
    w.flush(0);
    assert_eq!(w.prepare_until(0, "a", "v2", Millis::MAX), Readiness::Ready);
    w.began.insert("a".to_owned(), v("v2"));
    w.run(MAX_LIFETIME + TURN);
    w.begin(0, "b", "v2");
    w.resume(1, "a");
}

/// A record of another writer can't be decoded, and stays.
fn undecodable_record_that_stays(w: &mut World) {
    w.put("instance/other", vec![0xc1; 9]);
    w.begin(0, "a", "v1");
    assert_eq!(w.resume(1, "a"), Verdict::Unknown, "it may be on the record");
    w.run(LIFETIME + TURN);
    w.begin(0, "b", "v1");
    w.resume(1, "b");
    w.run(2 * LIFETIME);
    w.begin(0, "c", "v1");
    assert_eq!(w.resume(1, "c"), Verdict::Began(v("v1")), "no stream is older than the record");
}

/// All records are removed from the store, and with them the base.
fn marker_removed(w: &mut World) {
    let keys: Vec<_> = w.store.keys().cloned().collect();
    assert!(!keys.is_empty());
    keys.iter().for_each(|key| w.put(key, Vec::new()));
    w.restart(1);
    assert_eq!(w.begin(0, "a", "v1"), Readiness::Ready);
    assert_eq!(w.resume(1, "a"), Verdict::Unknown);
    w.list_all(&["v1"]);
    w.run(LIFETIME + TURN);
    w.list_all(&["v1", "v2"]);
    w.begin(0, "b", "v1");
    w.assert_goes_on("b");
}

/// A base of another era of the store doesn't count, whatever its generation.
fn marker_of_another_era(w: &mut World) {
    let marker = Marker { base: Some(v("v2")), open: true, generation: 9 };
    let bases: IndexMap<_, _> = [(SERVICE.to_owned(), marker)].into();
    let record = StreamsRecord { era: w.era + 1, bases, ..StreamsRecord::default() };
    w.put("instance/other", codec::pack_positional(&record));
    assert_eq!(w.begin(0, "a", "v1"), Readiness::Ready);
    w.assert_goes_on("a");
    assert!((0..3).all(|i| w.base(i) == Some(v("v1"))));
}

cases! { play:
    no_event_yet_may_go_anywhere_and_the_first_version_is_kept => any_version_before_the_first_event;
    kill_with_writes_not_acknowledged => kill_before_the_write;
    record_is_withdrawn_before_the_request_is_sent => withdrawn_record;
    base_counts_again_once_read => base_listed_again;
    base_changes_once_all_have_the_list => base_change_waits_for_an_instance_with_an_old_list;
    only_the_base_while_nothing_can_be_written => store_away_with_the_base;
    stream_without_end_is_kept_for_the_longest_time => endless_deadline;
    nobody_named_needs_one_version_on_record => resumes_absent;
    doubted_stream_is_not_resumed => doubted_stream;
    restored_store_refuses_what_it_may_have_lost => restored_store;
    removed_base_is_found_again => marker_removed;
    base_of_another_era_does_not_count => marker_of_another_era;
    // Failures found.
    late_append_joined_versions => append_executed_after_its_repetition;
    late_append_of_a_killed_process_joined_versions => append_executed_after_a_restart;
    withdrawn_record_known_elsewhere_joined_versions => withdrawn_record_that_was_read_before;
    base_proposed_before_going_back_joined_versions => base_proposed_before_a_release_goes_back;
    base_written_late_joined_versions => base_written_late_after_a_release_went_back;
    base_read_too_early_joined_versions => base_read_before_it_was_listed_again;
    read_under_way_joined_versions => read_under_way_when_the_base_is_listed_again;
    alone_at_one_instance_joined_versions => old_list_of_another_instance_without_the_store;
    unrecorded_stream_joined_versions => store_away_without_endpoints_of_the_base;
    unrecorded_stream_at_one_instance_joined_versions => store_away_with_a_base_that_has_to_be_read;
    unknown_base_joined_versions => store_away_with_a_base_that_is_not_known;
    start_without_the_store_joined_versions => start_without_the_store_after_a_release;
    long_deadline_joined_versions => long_deadline_at_one_instance;
    memory_of_an_older_base_joined_versions => store_restored_from_before_the_first_base;
    base_of_an_older_era_refused_streams => base_of_an_instance_that_has_not_seen_the_restore;
    restored_store_refused_streams_at_the_base => stream_at_the_base_of_a_restored_store;
    restore_seen_late_refused_streams_at_the_base => restore_seen_in_another_call;
    base_counted_before_it_was_written_refused_a_stream => base_held_back_after_a_restore;
    doubt_not_written_joined_versions => doubt_not_written;
    endless_deadline_joined_versions => endless_deadline_after_the_record;
    undecodable_record_refused_streams_for_ever => undecodable_record_that_stays;
    base_closed_after_a_freeze_joined_versions => base_closed_after_a_freeze;
    base_closed_by_a_late_write_joined_versions => base_closed_by_a_write_that_was_refused;
    request_after_a_freeze_joined_versions => request_after_a_freeze;
    resume_at_a_lone_instance_joined_versions => resume_at_an_instance_that_is_cut_off;
    begin_at_a_lone_instance_joined_versions => begin_at_an_instance_that_is_cut_off;
    base_of_an_older_era_written_again_refused_streams => base_of_an_older_era_written_again;
    chain_of_resumes_joined_versions => chain_of_resumes;
    chain_of_refused_resumes_joined_versions => chain_of_refused_resumes;
    shortened_timeout_joined_versions => timeout_shortened;
}

/// One version at the first start: it is the base at once; two: once one has served alone.
fn first_start() {
    let mut w = World::start(true, &["v1"], true);
    w.run(3_000 + TURN);
    assert!((0..3).all(|i| w.base(i) == Some(v("v1"))));
    let mut w = World::start(true, &["v1", "v2"], true);
    w.run(2 * LIFETIME);
    assert_eq!(w.base(0), None);
    assert_eq!(w.begin(0, "a", "v1"), Readiness::Ready);
    assert_eq!(w.begin(1, "b", "v2"), Readiness::Ready);
    w.assert_goes_on("a");
    w.assert_goes_on("b");
}

/// A release within the first seconds; a stream began before its instance had read the store, and the
/// instance is killed before it has written.
fn first_start_with_a_release() {
    let mut w = World::start(true, &["v1"], false);
    w.begin(0, "a", "v1");
    (0..3).for_each(|i| w.nodes[i].store = true);
    (1..3).for_each(|i| w.read(i));
    w.restart(0);
    w.list_all(&["v2"]);
    w.run(3_000 + 2 * TURN);
    w.resume(1, "a");
}

/// The store is restored long after the first start, and one instance reads nothing after it.
fn first_start_long_ago() {
    let mut w = World::start(true, &["v1"], true);
    w.run(LIFETIME);
    w.list_all(&["v1", "v2"]);
    let copy = w.store.clone();
    w.restore(copy);
    (0..2).for_each(|i| w.read(i));
    w.run(LIFETIME - 5_000);
    assert_eq!(w.begin(2, "a", "v1"), Readiness::Ready);
    w.list_all(&["v2"]);
    w.run(6_000);
    w.resume(1, "a");
}

cases! { play_from_start:
    first_start_takes_the_only_version => first_start;
    release_at_the_first_start_joined_versions => first_start_with_a_release;
    first_start_long_ago_joined_versions => first_start_long_ago;
}
