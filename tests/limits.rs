//! Tests of limits that endpoints name: a fleet of instances on paused time, without sockets, that
//! sends requests to one endpoint and exchanges heartbeats and digests.
#![allow(clippy::unwrap_used)]

mod common;

use std::collections::VecDeque;
use std::net::SocketAddr;

use indexmap::IndexSet;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use sassafrasworks::adapter::clock::Millis;
use sassafrasworks::policy::limit::{Limits, MAX_RATE, MIN_RATE, Statement};
use sassafrasworks::relay::gossip::{Heartbeat, INTERVAL, Peers};
use sassafrasworks::relay::groups::{DIGEST_INTERVAL, News, Outbox, Representative};

/// Step of the clock, and delay of a datagram, in milliseconds.
const STEP: Millis = 10;
/// Time from a request to its response, in milliseconds.
const RESPONSE: Millis = 30;
/// Time at which the endpoint first names its limit, after the start, in milliseconds.
const NAMED: Millis = 1_000;
/// Time from then on after which the limit must be kept: `contact-ms`.
const CONTACT: Millis = 3_000;
/// Length of the windows in which requests are counted, in milliseconds.
const WINDOW: Millis = 4_000;
/// Time between a response with the limit and the first request of its instance that counts.
const TOLD: Millis = 500;
/// Time for which a request waits for the endpoint, in milliseconds.
const PATIENCE: Millis = 1_000;
/// Time after which peers know that requests wait at an instance, in milliseconds.
const WAITING_KNOWN: Millis = 600;
/// Start of the clock, in milliseconds.
const START: Millis = 1_000_000;
/// Key of the endpoint's incarnation.
const KEY: u32 = 7;

/// An instance without I/O.
struct Node {
    name: String,
    addr: SocketAddr,
    started: u64,
    peers: Peers,
    heartbeats: Outbox,
    representative: Representative,
    limits: Limits,
    /// Times at which waiting requests give up.
    queue: VecDeque<Millis>,
    waiting_since: Option<Millis>,
    next_heartbeat: Millis,
    last_heartbeat: Millis,
    next_digest: Millis,
    /// Times at which responses to its requests arrive.
    responses: VecDeque<Millis>,
    /// Time of its first response with the limit.
    told_at: Option<Millis>,
    /// Instances of another side are not heard.
    side: u32,
    frozen: bool,
}

/// Load and troubles of a run.
struct Play {
    instances: usize,
    /// Limit that the endpoint names from [`NAMED`] on.
    rate: f64,
    /// Requests a second of each instance.
    demand: f64,
    /// Fraction of datagrams that are lost.
    loss: f64,
    /// Requests that may not be sent wait; else they go to another endpoint.
    waits: bool,
}

const PLAY: Play = Play { instances: 9, rate: 1.5, demand: 12.0, loss: 0.0, waits: true };

struct Fleet {
    now: Millis,
    rng: ChaCha8Rng,
    play: Play,
    nodes: Vec<Node>,
    key: u32,
    /// What responses say of the limit.
    limit: Option<f64>,
    /// Time of each request, its instance, and whether that was told the limit before.
    sent: Vec<(Millis, usize, bool)>,
    mail: VecDeque<(Millis, SocketAddr, Heartbeat, Vec<SocketAddr>)>,
}

impl Fleet {
    fn start(play: Play) -> Self {
        let addr = |i: usize| SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8], 80));
        let names: Vec<(String, SocketAddr)> =
            (0..play.instances).map(|i| (format!("entry-{i}"), addr(i))).collect();
        let nodes = names.iter().map(|(name, addr)| Node::start(name, *addr, START, &names));
        let nodes = nodes.collect();
        let (rng, mail) = (ChaCha8Rng::seed_from_u64(50), VecDeque::new());
        Self { now: START, rng, play, nodes, key: KEY, limit: None, sent: Vec::new(), mail }
    }

    /// A fleet whose endpoint has named its limit long enough ago for the rule to hold.
    fn limited(play: Play) -> Self {
        let mut fleet = Self::start(play);
        fleet.run(NAMED);
        fleet.limit = Some(fleet.play.rate);
        fleet.run(CONTACT);
        fleet
    }

    fn run(&mut self, ms: Millis) {
        let end = self.now + ms;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            for i in 0..self.nodes.len() {
                if !self.nodes[i].frozen {
                    self.advance(i);
                }
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        while self.mail.front().is_some_and(|m| m.0 <= now) {
            let Some((_, from, message, addrs)) = self.mail.pop_front() else { return };
            let side = self.nodes.iter().find(|n| n.addr == from).map(|n| n.side);
            for node in self.nodes.iter_mut().filter(|n| addrs.contains(&n.addr)) {
                let lost = self.rng.random_bool(self.play.loss);
                if !lost && !node.frozen && Some(node.side) == side {
                    node.receive(now, from, &message);
                }
            }
        }
    }

    fn advance(&mut self, i: usize) {
        let (now, key) = (self.now, self.key);
        let node = &mut self.nodes[i];
        while node.responses.front().is_some_and(|at| *at <= now) {
            node.responses.pop_front();
            let statement = self.limit.map_or(Statement::Unlimited, Statement::Rate);
            if self.limit.is_some() {
                node.told_at.get_or_insert(now);
            }
            if node.limits.apply(now, key, statement).is_some() {
                node.update(now);
                node.next_heartbeat = now;
            }
        }
        if self.rng.random_bool(self.play.demand * STEP as f64 / 1_000.0) {
            let patience = if self.play.waits { PATIENCE } else { 0 };
            node.queue.push_back(now + patience);
        }
        while !node.queue.is_empty() && node.limits.allows(now, key) {
            node.queue.pop_front();
            node.limits.record(now, key);
            node.responses.push_back(now + RESPONSE);
            node.schedule(now);
            let told = node.told_at.is_some_and(|at| at + TOLD <= now);
            self.sent.push((now, i, told));
        }
        node.queue.retain(|until| *until > now);
        node.waiting_since = node.waiting_since.filter(|_| !node.queue.is_empty());
        if !node.queue.is_empty() {
            node.waiting_since.get_or_insert(now);
        }
        let mail = node.messages(now, key);
        self.mail.extend(mail.into_iter().map(|(m, to)| (now + STEP, self.nodes[i].addr, m, to)));
    }

    /// Most requests in a window that ends after `from`, of the instances that `counts` accepts.
    fn busiest(&self, from: Millis, counts: impl Fn(usize) -> bool) -> usize {
        let counted = self.sent.iter().filter(|(at, i, told)| *told && *at >= from && counts(*i));
        let times: Vec<Millis> = counted.map(|(at, ..)| *at).collect();
        let within = |i: usize| times[i..].iter().take_while(|at| **at < times[i] + WINDOW).count();
        (0..times.len()).map(within).max().unwrap_or_default()
    }

    /// Requests a second since `from`.
    fn rate_since(&self, from: Millis) -> f64 {
        let n = self.sent.iter().filter(|(at, ..)| *at >= from).count();
        n as f64 * 1_000.0 / (self.now - from) as f64
    }

    fn assert_kept(&self, from: Millis, rate: f64, counts: impl Fn(usize) -> bool) {
        let (got, allowed) = (self.busiest(from, counts), allowed(rate));
        assert!(got <= allowed, "{got} requests in 4 s, allowed {allowed}");
    }
}

impl Node {
    fn start(name: &str, addr: SocketAddr, started: u64, names: &[(String, SocketAddr)]) -> Self {
        let mut peers = Peers::new(name);
        let others: Vec<_> = names.iter().filter(|(other, _)| other != name).cloned().collect();
        peers.sync(&others);
        Self {
            name: name.to_owned(),
            addr,
            started,
            peers,
            heartbeats: Outbox::heartbeats(),
            representative: Representative::default(),
            limits: Limits::default(),
            queue: VecDeque::new(),
            waiting_since: None,
            next_heartbeat: started,
            last_heartbeat: started,
            next_digest: started,
            responses: VecDeque::new(),
            told_at: None,
            side: 0,
            frozen: false,
        }
    }

    fn receive(&mut self, now: Millis, from: SocketAddr, message: &Heartbeat) {
        for report in &message.limits {
            self.limits.hear(now, report);
        }
        if self.peers.receive(now, from, message.clone()) {
            self.representative.pass_on(News::from(message));
        }
        self.update(now);
    }

    fn update(&mut self, now: Millis) {
        if !self.limits.any() {
            return;
        }
        let waits = self.waiting_since.is_some_and(|at| now >= at + WAITING_KNOWN);
        let (fleet, reports) = (self.peers.limit_fleet(now, waits), self.peers.limits(now));
        self.limits.set_peers(now, fleet, &reports);
    }

    fn schedule(&mut self, now: Millis) {
        let at = now.max(self.last_heartbeat + self.peers.min_interval());
        self.next_heartbeat = self.next_heartbeat.min(at);
    }

    /// The messages that are due, and where they go.
    fn messages(&mut self, now: Millis, key: u32) -> Vec<(Heartbeat, Vec<SocketAddr>)> {
        let mut messages = Vec::new();
        if now >= self.next_heartbeat {
            (self.last_heartbeat, self.next_heartbeat) = (now, now + INTERVAL);
            let heartbeat = self.heartbeats.next(now, self.state(now, key));
            messages.push((heartbeat, self.peers.addrs().collect()));
            self.representative.update(now, &self.peers);
            self.peers.expire(now);
            self.limits.expire(now, |k| k == key);
            self.update(now);
        }
        if now >= self.next_digest && self.peers.group_count() > 1 {
            self.next_digest = now + DIGEST_INTERVAL;
            if self.representative.is_active() {
                let state = self.state(now, key);
                messages.extend(self.representative.digests(now, &self.peers, state, now / 7));
            }
        }
        messages
    }

    fn state(&self, now: Millis, key: u32) -> Heartbeat {
        Heartbeat {
            name: self.name.clone(),
            started: self.started,
            waiting: self.queue.len() as u32,
            limits: self.limits.report(now, key).into_iter().collect(),
            ..Heartbeat::default()
        }
    }
}

/// Most requests that an endpoint may get in a window under a limit of `rate` a second.
fn allowed(rate: f64) -> usize {
    (1.5 * rate * WINDOW as f64 / 1_000.0 + 5.0) as usize
}

/// The rule holds, and while requests wait, at least three quarters of the limit are used.
fn assert_limit_is_kept_and_used(play: &Play) {
    let mut fleet = Fleet::limited(Play { ..*play });
    let from = fleet.now;
    fleet.run(2 * WINDOW);
    fleet.assert_kept(from, play.rate, |_| true);
    let (rate, demand) = (fleet.rate_since(from), play.demand * play.instances as f64);
    let least = 0.75 * play.rate.min(demand) - 1.0 / 8.0;
    assert!(!play.waits || rate >= least, "{rate} requests a second, limit {}", play.rate);
}

cases! {
    assert_limit_is_kept_and_used:
    one_instance_keeps_and_uses_a_limit => Play { instances: 1, ..PLAY };
    nine_instances_keep_and_use_a_limit => PLAY;
    nine_instances_keep_and_use_a_limit_of_one => Play { rate: 1.0, ..PLAY };
    nine_instances_keep_and_use_a_limit_below_one => Play { rate: 0.4, ..PLAY };
    nine_instances_keep_and_use_a_limit_of_twenty => Play { rate: 20.0, ..PLAY };
    nine_instances_keep_a_limit_while_others_serve => Play { waits: false, ..PLAY };
    nine_instances_keep_a_limit_despite_losses => Play { loss: 0.1, ..PLAY };
    sixty_instances_keep_and_use_a_limit => Play { instances: 60, ..PLAY };
    sixty_instances_keep_a_limit_while_others_serve => Play { instances: 60, waits: false, ..PLAY };
    sixty_instances_keep_and_use_a_limit_of_a_hundred =>
        Play { instances: 60, rate: 100.0, ..PLAY };
    many_instances_keep_and_use_a_limit => Play { instances: 195, ..PLAY };
    many_instances_keep_a_limit_while_others_serve =>
        Play { instances: 195, waits: false, ..PLAY };
    many_instances_keep_and_use_a_limit_of_fifty => Play { instances: 195, rate: 50.0, ..PLAY };
}

/// A limit that is far above the demand delays nothing for long.
fn assert_room_is_for_all(instances: &usize) {
    let demand = 6.0 / *instances as f64;
    let mut fleet = Fleet::limited(Play { instances: *instances, rate: 30.0, demand, ..PLAY });
    let from = fleet.now;
    fleet.run(2 * WINDOW);
    let waiting: usize = fleet.nodes.iter().map(|n| n.queue.len()).sum();
    let rate = fleet.rate_since(from);
    assert!(rate > 4.0 && waiting <= 6, "{rate} requests a second, {waiting} wait");
}

cases! {
    assert_room_is_for_all:
    demand_below_the_limit_of_nine_instances_is_served => 9;
    demand_below_the_limit_of_sixty_instances_is_served => 60;
}

/// A single instance with work uses the limit, although the others could send.
fn assert_lone_demand_is_served(instances: &usize) {
    let mut fleet = Fleet::limited(Play { instances: *instances, rate: 4.0, demand: 0.0, ..PLAY });
    for i in 0..400 {
        fleet.nodes[3].queue.push_back(fleet.now + 20 * i + 4_000);
    }
    fleet.nodes[3].limits.apply(fleet.now, KEY, Statement::Rate(4.0));
    fleet.run(2_000);
    let from = fleet.now;
    fleet.run(6_000);
    let rate = fleet.rate_since(from);
    assert!(rate > 2.0, "{rate} requests a second, limit 4");
    fleet.assert_kept(from, 4.0, |_| true);
}

cases! {
    assert_lone_demand_is_served:
    lone_instance_of_nine_with_work_uses_the_limit => 9;
    lone_instance_of_many_with_work_uses_the_limit => 195;
}

/// Instances on both sides of a cut keep to the limit, each side with its own machines.
fn assert_cut_keeps_the_limit((instances, cut): &(usize, usize)) {
    let mut fleet = Fleet::limited(Play { instances: *instances, ..PLAY });
    fleet.nodes.iter_mut().take(*cut).for_each(|n| n.side = 1);
    let from = fleet.now;
    fleet.run(3 * WINDOW);
    fleet.assert_kept(from, PLAY.rate, |i| i >= *cut);
    fleet.assert_kept(from, PLAY.rate, |i| i < *cut);
    fleet.nodes.iter_mut().for_each(|n| n.side = 0);
    fleet.run(CONTACT);
    let from = fleet.now;
    fleet.run(WINDOW);
    fleet.assert_kept(from, PLAY.rate, |_| true);
}

cases! {
    assert_cut_keeps_the_limit:
    limit_is_kept_while_one_of_nine_is_cut_off => (9, 1);
    limit_is_kept_while_four_of_nine_are_cut_off => (9, 4);
    limit_is_kept_while_twenty_of_sixty_are_cut_off => (60, 20);
    limit_is_kept_while_sixty_of_many_are_cut_off => (195, 60);
}

/// An instance that is cut off from all others sends an equal part of the limit, no more.
#[test]
fn instances_that_hear_nobody_send_an_equal_part() {
    let mut fleet = Fleet::limited(PLAY);
    (0..9).for_each(|i| fleet.nodes[i].side = i as u32);
    fleet.run(1_500);
    let from = fleet.now;
    fleet.run(3 * WINDOW);
    fleet.assert_kept(from, PLAY.rate, |_| true);
    assert!(fleet.rate_since(from) > 0.5 * PLAY.rate, "{}", fleet.rate_since(from));
}

#[test]
fn frozen_instances_leave_their_part_to_the_others_and_return_without_a_burst() {
    let mut fleet = Fleet::limited(PLAY);
    (0..4).for_each(|i| fleet.nodes[i].frozen = true);
    let from = fleet.now;
    fleet.run(2 * WINDOW);
    assert!(fleet.rate_since(from) > 0.6 * PLAY.rate, "{}", fleet.rate_since(from));
    (0..4).for_each(|i| fleet.nodes[i].frozen = false);
    fleet.run(2 * WINDOW);
    fleet.assert_kept(from, PLAY.rate, |_| true);
}

#[test]
fn restarted_instances_learn_the_limit_from_their_peers() {
    let mut fleet = Fleet::limited(Play { instances: 60, ..PLAY });
    let names: Vec<_> = fleet.nodes.iter().map(|n| (n.name.clone(), n.addr)).collect();
    for i in 0..30 {
        let (name, addr) = names[i].clone();
        fleet.nodes[i] = Node::start(&name, addr, fleet.now, &names);
        fleet.nodes[i].told_at = Some(fleet.now);
    }
    fleet.run(CONTACT);
    let from = fleet.now;
    fleet.run(2 * WINDOW);
    fleet.assert_kept(from, PLAY.rate, |_| true);
}

/// From the first response with a limit until it is known everywhere, no instance that knows it sends
/// more than its part.
fn assert_first_sight_is_no_burst(instances: &usize) {
    let mut fleet = Fleet::start(Play { instances: *instances, demand: 2.0, ..PLAY });
    fleet.run(NAMED);
    fleet.limit = Some(PLAY.rate);
    let from = fleet.now;
    fleet.run(2 * WINDOW);
    fleet.assert_kept(from, PLAY.rate, |_| true);
}

cases! {
    assert_first_sight_is_no_burst:
    first_sight_is_no_burst_with_nine_instances => 9;
    first_sight_is_no_burst_with_sixty_instances => 60;
    first_sight_is_no_burst_with_many_instances => 195;
}

#[test]
fn limit_that_rises_is_used_and_one_that_falls_is_kept() {
    let mut fleet = Fleet::limited(PLAY);
    fleet.limit = Some(12.0);
    fleet.run(CONTACT);
    let from = fleet.now;
    fleet.run(WINDOW);
    assert!(fleet.rate_since(from) > 9.0, "{}", fleet.rate_since(from));
    fleet.assert_kept(from, 12.0, |_| true);
    fleet.limit = Some(1.0);
    fleet.run(CONTACT);
    let from = fleet.now;
    fleet.run(2 * WINDOW);
    fleet.assert_kept(from, 1.0, |_| true);
}

/// The end of a limit brings no herd: the rate rises step by step, and soon all is served.
fn assert_end_is_no_herd((instances, demand): &(usize, f64)) {
    let mut fleet = Fleet::limited(Play { instances: *instances, demand: *demand, ..PLAY });
    fleet.run(WINDOW);
    fleet.limit = None;
    let quiet = fleet.sent.len();
    let ended = |f: &Fleet| f.nodes.iter().any(|n| n.limits.rate(KEY).is_none());
    while !ended(&fleet) {
        fleet.run(STEP);
    }
    assert!(fleet.sent.len() - quiet <= 4, "the limit was kept until its end");
    let before = fleet.sent.len();
    fleet.run(500);
    let first = fleet.sent.len() - before;
    assert!(first <= 24, "{first} requests in half a second after a limit of 1.5");
    fleet.run(CONTACT);
    let from = fleet.now;
    fleet.run(1_000);
    let all = *instances as f64 * demand;
    assert!(fleet.rate_since(from) > 0.8 * all, "{} of {all}", fleet.rate_since(from));
}

cases! {
    assert_end_is_no_herd:
    end_of_a_limit_is_no_herd_with_nine_instances => (9, 12.0);
    end_of_a_limit_is_no_herd_with_sixty_instances => (60, 4.0);
    end_of_a_limit_is_no_herd_with_many_instances => (195, 2.0);
}

#[test]
fn limit_of_an_older_incarnation_does_not_bind_the_next() {
    let mut fleet = Fleet::limited(PLAY);
    (fleet.key, fleet.limit) = (KEY + 1, None);
    let from = fleet.now;
    fleet.run(1_000);
    assert!(fleet.rate_since(from) > 80.0, "{}", fleet.rate_since(from));
}

/// A number of 9,000 digits.
const ENDLESS: &str = match std::str::from_utf8(&[b'9'; 9_000]) {
    Ok(digits) => digits,
    Err(_) => "",
};

/// Values of the header, and what they mean.
fn assert_value_means((value, expected): &(&str, Statement)) {
    assert_eq!(Statement::parse(std::iter::once(value.as_bytes())), *expected, "{value:.40}");
}

cases! {
    assert_value_means:
    decimal_limit_is_read => ("2.6", Statement::Rate(2.6));
    whole_limit_is_read => (" 12 ", Statement::Rate(12.0));
    zero_limit_is_the_least => ("0", Statement::Clamped(MIN_RATE));
    zero_limit_with_a_fraction_is_the_least => ("0.000", Statement::Clamped(MIN_RATE));
    tiny_limit_is_the_least => ("0.0000001", Statement::Clamped(MIN_RATE));
    huge_limit_is_the_most => ("123456789012345678901234567890", Statement::Clamped(MAX_RATE));
    endless_limit_is_the_most =>
        (ENDLESS, Statement::Clamped(MAX_RATE));
    negative_limit_is_malformed => ("-3", Statement::Malformed);
    signed_limit_is_malformed => ("+3", Statement::Malformed);
    exponent_is_malformed => ("1e9", Statement::Malformed);
    infinite_limit_is_malformed => ("inf", Statement::Malformed);
    limit_that_is_no_number_is_malformed => ("NaN", Statement::Malformed);
    empty_limit_is_malformed => ("", Statement::Malformed);
    point_alone_is_malformed => (".", Statement::Malformed);
    two_points_are_malformed => ("1.2.3", Statement::Malformed);
    text_is_malformed => ("2.6 per second", Statement::Malformed);
    list_is_malformed => ("2, 3", Statement::Malformed);
}

#[test]
fn no_header_is_no_limit_and_two_are_malformed() {
    assert_eq!(Statement::parse(std::iter::empty()), Statement::Unlimited);
    let two: [&[u8]; 2] = [b"2", b"2"];
    assert_eq!(Statement::parse(two.into_iter()), Statement::Malformed);
    let odd: &[u8] = b"\xff\xfe";
    assert_eq!(Statement::parse(std::iter::once(odd)), Statement::Malformed);
}

#[test]
fn malformed_limit_changes_nothing_and_is_odd_once() {
    let mut limits = Limits::default();
    limits.apply(START, KEY, Statement::Rate(2.0));
    assert_eq!(limits.apply(START + 1, KEY, Statement::Malformed), None);
    assert_eq!(limits.rate(KEY), Some(2.0));
    let odd = [Statement::Malformed, Statement::Malformed, Statement::Rate(1.0)];
    assert_eq!(odd.map(|s| limits.note_odd(KEY, s)), [true, false, false]);
}

/// Only a request can bring the response that ends a limit.
#[test]
fn endpoint_with_a_limit_of_zero_is_not_lost_for_good() {
    let mut fleet = Fleet::limited(Play { rate: MIN_RATE, ..PLAY });
    fleet.limit = None;
    fleet.run(4 * CONTACT);
    let from = fleet.now;
    fleet.run(1_000);
    assert!(fleet.rate_since(from) > 80.0, "{}", fleet.rate_since(from));
}

#[test]
fn response_without_a_limit_right_after_one_with_it_does_not_end_it() {
    let mut limits = Limits::default();
    limits.apply(START, KEY, Statement::Rate(2.0));
    assert_eq!(limits.apply(START + 100, KEY, Statement::Unlimited), None);
    assert!(limits.apply(START + 300, KEY, Statement::Unlimited).is_some());
}

#[test]
fn report_of_a_limit_that_is_older_than_its_end_is_ignored() {
    let mut limits = Limits::default();
    limits.apply(START, KEY, Statement::Rate(2.0));
    let report = limits.report(START, KEY).unwrap();
    limits.apply(START + 1_000, KEY, Statement::Unlimited);
    assert_eq!(limits.hear(START + 2_000, &report.aged(2_000)), None);
    let names: IndexSet<u32> = [report.key].into_iter().collect();
    assert!(names.contains(&KEY) && limits.rate(KEY).is_none());
}
