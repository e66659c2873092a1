//! Tests of placement, retry decisions and retry budgets, without I/O.
//!
//! Several reproduce a failure seen under load. Their comments name the site, the scenario and the
//! run that showed it.
#![allow(clippy::unwrap_used)]

mod common;

use indexmap::IndexMap;
use sassafrasworks::policy::attempt::{Action, FailureKind, RetryState};
use sassafrasworks::policy::place::{
    Balancer, Choice, Endpoint, Listing, Load, Profile, Requirements, Samples, Speed,
};
use sassafrasworks::policy::window::{RetryRule, RetryWindow};

const PROFILE: Profile = Profile { batch: 64, memory: 600_000, gaps: (200, 800) };

/// Prompt tokens per millisecond of most engines in these tests.
const RATE: f64 = 66.0;

/// Wait, in milliseconds, after which a request no longer waits for an engine that has its shared
/// segments cached.
const LONG_WAIT: u64 = 10_000;

fn listing(i: usize) -> Listing {
    Listing {
        id: format!("engine-{i}"),
        service: "spine".to_owned(),
        addr: format!("10.0.0.{i}:80"),
        domain: "recife".to_owned(),
        slots: 64,
        leaving: false,
        started_at: 1,
        ..Listing::default()
    }
}

fn balancer(n: usize) -> Balancer {
    let mut balancer = Balancer::new("recife");
    balancer.profile = PROFILE;
    balancer.sync(&(0..n).map(listing).collect::<Vec<_>>());
    balancer.set_peer_samples(samples(RATE, 200));
    balancer
}

/// What `n` requests show of engines that compute `rate` prompt tokens per millisecond.
fn samples(rate: f64, n: u32) -> Samples {
    let mut samples = Samples::default();
    for i in 0..n {
        let tokens = 500 * (1 + i % 40);
        let took = (f64::from(tokens) / rate) as u64 + 10;
        samples.record(tokens, took, samples.speed().predict(tokens));
    }
    samples
}

/// A long prompt with a loose target gap. All share the first segment; requests of the same
/// `segment` share the second one too.
fn layout(segment: u64) -> Requirements {
    let segments = vec![(1, 500), (segment, 5_000), (segment << 32, 1_000)];
    Requirements {
        segments,
        prompt: 6_500,
        output: 400,
        target: 2_000,
        gap: 800,
        priority: 2,
        waited: LONG_WAIT,
        avoid: Vec::new(),
        software: None,
    }
}

/// A short prompt with a tight target gap and no shared segment.
fn title(i: u64) -> Requirements {
    Requirements {
        segments: vec![(i, 600)],
        prompt: 600,
        output: 300,
        target: 600,
        gap: 200,
        ..Requirements::default()
    }
}

/// A prompt of medium length with a short output, a loose target gap and no shared segment.
fn check(i: u64) -> Requirements {
    Requirements {
        segments: vec![(i, 1_500)],
        prompt: 1_500,
        output: 20,
        target: 1_200,
        gap: 300,
        priority: 1,
        ..Requirements::default()
    }
}

/// The endpoint chosen at time 0; `None` if none has capacity or is eligible.
fn chosen_endpoint(balancer: &mut Balancer, needs: &Requirements) -> Option<String> {
    match balancer.choose(0, needs) {
        Choice::Chosen(id, _) => Some(id),
        Choice::Full(..) | Choice::NoEndpoint => None,
    }
}

/// Places requests until one finds no capacity, `max` at most. Returns their endpoints in order.
fn fill(balancer: &mut Balancer, needs: impl Fn(u64) -> Requirements, max: u64) -> Vec<String> {
    place(balancer, needs, max, false)
}

/// Like [`fill`], but each request has its first event before the next one arrives.
fn fill_streams(
    balancer: &mut Balancer,
    needs: impl Fn(u64) -> Requirements,
    max: u64,
) -> Vec<String> {
    place(balancer, needs, max, true)
}

fn place(
    balancer: &mut Balancer,
    needs: impl Fn(u64) -> Requirements,
    max: u64,
    streams: bool,
) -> Vec<String> {
    let mut ids = Vec::new();
    for i in 0..max {
        let needs = needs(i);
        let Some(id) = chosen_endpoint(balancer, &needs) else { break };
        let mut placement = balancer.start(0, &id, &needs);
        if streams {
            balancer.finish_prefill(placement.predicted, &mut placement);
        }
        ids.push(id);
    }
    ids
}

#[test]
fn long_prompts_keep_off_engines_of_tight_streams() {
    let mut balancer = balancer(12);
    let layouts = fill(&mut balancer, |i| layout(100 + i % 78), 500);
    let titles = fill_streams(&mut balancer, title, 60);
    let used = layouts.iter().collect::<indexmap::IndexSet<_>>().len();
    assert!(used >= 8 && layouts.len() >= 3 * used, "{} on {used}", layouts.len());
    assert_eq!(titles.len(), 60);
    assert!(titles.iter().all(|t| !layouts.contains(t)));
}

#[test]
fn tight_partition_follows_demand() {
    let mut balancer = balancer(12);
    let few: indexmap::IndexSet<String> =
        fill_streams(&mut balancer, title, 20).into_iter().collect();
    let many: indexmap::IndexSet<String> =
        fill_streams(&mut balancer, title, 150).into_iter().collect();
    assert!(few.len() < many.len(), "{} and {}", few.len(), many.len());
    assert!(many.len() <= 6, "{}", many.len());
}

#[test]
fn short_prompts_overflow_into_the_tight_partition() {
    // lombada-ne scale-1: checks starved behind layouts while the tight partition was half idle.
    let mut balancer = balancer(12);
    let layouts = fill(&mut balancer, |i| layout(100 + i), 1_000);
    let next_layout = layout(9_999);
    assert_eq!(chosen_endpoint(&mut balancer, &next_layout), None);
    let checks = fill(&mut balancer, |i| check(5_000 + i), 4);
    assert_eq!(checks.len(), 4);
    // An overflow request may delay the events of other streams by two steps at most.
    let overflow: Vec<&String> = checks.iter().filter(|c| !layouts.contains(c)).collect();
    for id in overflow {
        assert!(balancer.get(id).unwrap().own.prefill <= 4_096);
    }
}

#[test]
fn less_urgent_requests_leave_room_for_more_urgent_ones() {
    let mut balancer = balancer(4);
    fill(&mut balancer, |i| layout(100 + i), 1_000);
    let urgent = Requirements { priority: 1, ..layout(7_777) };
    assert_eq!(chosen_endpoint(&mut balancer, &layout(7_778)), None);
    assert!(chosen_endpoint(&mut balancer, &urgent).is_some());
}

#[test]
fn requests_go_where_their_shared_part_is_cached() {
    let mut balancer = balancer(12);
    let first = chosen_endpoint(&mut balancer, &layout(7)).unwrap();
    let placement = balancer.start(0, &first, &layout(7));
    assert_eq!(placement.load.prefill, 6_500);
    for _ in 0..3 {
        let next = chosen_endpoint(&mut balancer, &layout(7)).unwrap();
        assert_eq!(next, first);
        assert_eq!(balancer.start(0, &next, &layout(7)).load.prefill, 1_000);
    }
}

#[test]
fn instances_choose_the_same_home_for_a_new_part() {
    for segment in 10..40 {
        let ids: Vec<_> =
            (0..3).map(|_| chosen_endpoint(&mut balancer(12), &layout(segment))).collect();
        assert!(ids.iter().all(|i| *i == ids[0]));
    }
}

#[test]
fn request_waits_briefly_for_the_engine_that_has_its_parts_cached() {
    // lombada-ne-grown scale-1, small twin: 801 of 1,529 layouts went to engines that had to
    // compute their shared segment again, because those that had it cached were full on arrival.
    let mut balancer = balancer(6);
    let first = layout(7);
    let cached_on = chosen_endpoint(&mut balancer, &first).unwrap();
    balancer.start(0, &cached_on, &first);
    let full = Load { running: 60, prefill: 39_000, memory: 200_000, tight: 0 };
    balancer.set_peer_loads(&[(cached_on.clone(), full)].into_iter().collect());
    let after = |waited| Requirements { waited, ..layout(7) };
    assert_eq!(chosen_endpoint(&mut balancer, &after(0)), None);
    assert_eq!(chosen_endpoint(&mut balancer, &after(250)), None);
    assert!(chosen_endpoint(&mut balancer, &after(350)).is_some_and(|id| id != cached_on));
    balancer.set_peer_loads(&IndexMap::new());
    assert_eq!(chosen_endpoint(&mut balancer, &after(0)), Some(cached_on));
}

#[test]
fn tight_partition_grows_with_waiting_titles() {
    // lombada-ne-grown scale-1, small twin: 28 of 269 titles got no engine within five seconds of
    // low load, while layouts were started.
    let engines_of_layouts = |titles: u32| {
        let mut balancer = balancer(24);
        balancer.profile.batch = 12;
        balancer.set_tight_waiting(titles);
        let ids = fill(&mut balancer, layout, 1_000);
        ids.into_iter().collect::<std::collections::BTreeSet<_>>().len()
    };
    let (calm, burst) = (engines_of_layouts(0), engines_of_layouts(120));
    assert!(calm >= 18 && burst <= 6, "{calm}, {burst}");
}

#[test]
fn long_checks_find_room_in_the_tight_partition() {
    // lombada-ne-grown scale-1, small twin: 0.38 of the longest tenth of the checks were served,
    // against 0.87 of all checks.
    let mut balancer = balancer(4);
    let loose = Load { running: 60, prefill: 60_000, memory: 200_000, tight: 0 };
    let tight: Vec<String> = fill(&mut balancer, title, 1);
    let busy = (0..4).map(|i| listing(i).id).filter(|id| *id != tight[0]);
    balancer.set_peer_loads(&busy.map(|id| (id, loose)).collect());
    let long = Requirements {
        prompt: 5_500,
        segments: vec![(1, 500), (9, 5_000)],
        waited: LONG_WAIT,
        ..check(1)
    };
    assert_eq!(chosen_endpoint(&mut balancer, &long).as_ref(), tight.first());
}

#[test]
fn waiting_titles_overflow_into_the_loose_partition() {
    // lombada-ne-large scale-1: 98 of 527 titles were refused within five seconds after a wait for
    // the tight partition, which layouts still filled, while layouts were started elsewhere.
    let mut balancer = balancer(12);
    balancer.profile.batch = 16;
    let layouts = fill_streams(&mut balancer, layout, 500);
    let titles = fill_streams(&mut balancer, title, 500);
    assert!(!layouts.is_empty() && !titles.is_empty());
    assert_eq!(chosen_endpoint(&mut balancer, &title(9_000)), None);
    let late = Requirements { waited: 200, ..title(9_000) };
    assert!(chosen_endpoint(&mut balancer, &late).is_some_and(|id| layouts.contains(&id)));
}

#[test]
fn work_of_peers_counts_like_our_own() {
    let mut balancer = balancer(4);
    let home = chosen_endpoint(&mut balancer, &layout(7)).unwrap();
    let busy = Load { running: 20, prefill: 60_000, memory: 200_000, tight: 0 };
    balancer.set_peer_loads(&[(home.clone(), busy)].into_iter().collect());
    assert_ne!(chosen_endpoint(&mut balancer, &layout(7)), Some(home));
}

#[test]
fn instances_take_turns_at_capacity_that_all_see_at_once() {
    // lombada-ne scale-2: within a millisecond, six instances each sent a long prompt to the only
    // engine that had become free.
    let busy = Load { running: 10, prefill: 10_000, memory: 100_000, tight: 0 };
    let all: Vec<u64> = (1..=9).collect();
    let (mut sent, mut idle) = (0, 0);
    for slot in 0..200 {
        let takes = |me: u64| {
            let mut balancer = balancer(2);
            balancer.profile.gaps = (0, 0);
            balancer.set_peer_loads(&(0..2).map(|i| (listing(i).id, busy)).collect());
            balancer.set_contenders(me, all.clone());
            matches!(balancer.choose(slot * 40, &layout(7)), Choice::Chosen(..))
        };
        let n = all.iter().filter(|me| takes(**me)).count();
        assert!(n <= 2, "at most one for each engine");
        sent += n;
        idle += usize::from(n == 0);
    }
    assert!(sent > 200 && idle == 0, "{sent} sent, {idle} turns unused");
    let mut alone = balancer(2);
    alone.set_contenders(1, vec![1]);
    assert!(chosen_endpoint(&mut alone, &layout(7)).is_some(), "a single instance takes no turns");
}

#[test]
fn urgent_requests_don_t_overfill_a_batch() {
    // zvykacka-hub scale-2, seed 823636956831: 30 chats were preempted on one engine, because its
    // batch was full.
    let mut balancer = balancer(4);
    balancer.profile.batch = 32;
    fill(&mut balancer, title, 500);
    assert!(balancer.endpoints().all(|e| e.own.running < 32));
}

#[test]
fn longest_prompts_find_room_beside_others() {
    // lombada-ne quiet-1: prompts longer than the prefill limit of an engine waited until one was
    // idle.
    let mut balancer = balancer(4);
    let busy = Load { running: 5, prefill: 8_000, memory: 60_000, tight: 0 };
    balancer.set_peer_loads(&(0..4).map(|i| (listing(i).id, busy)).collect());
    let needs = Requirements { prompt: 54_600, segments: vec![(1, 54_600)], ..layout(7) };
    assert!(chosen_endpoint(&mut balancer, &needs).is_some());
}

/// A prompt like those of teranga-sortie: a group of requests shares the first segment, a session
/// the second. The target gap is 1.5 times that of [`chat`].
fn brief(session: u64) -> Requirements {
    let segments = vec![(session % 4, 2_500), (100 + session, 3_800), (session << 32, 2_900)];
    Requirements {
        segments,
        prompt: 9_200,
        output: 50,
        target: 600,
        gap: 300,
        priority: 1,
        ..Requirements::default()
    }
}

fn chat(i: u64) -> Requirements {
    Requirements { priority: 0, ..title(i) }
}

/// A fleet as on teranga-sortie, whose engines compute 40 prompt tokens in a millisecond.
fn slow_fleet() -> Balancer {
    let mut balancer = balancer(18);
    balancer.profile = Profile { batch: 32, memory: 335_000, gaps: (200, 300) };
    balancer.set_peer_samples(samples(40.0, 200));
    balancer
}

#[test]
fn prompts_keep_off_streams_whose_gap_is_only_somewhat_tighter() {
    // teranga-sortie scale-1: 677 of 3,046 chats were late, because prompts of briefs were computed
    // between their events: four steps of 55 ms make one event.
    let mut balancer = slow_fleet();
    let waiting = |i| Requirements { waited: LONG_WAIT, ..brief(i) };
    let briefs = fill(&mut balancer, waiting, 10);
    let chats = fill_streams(&mut balancer, chat, 40);
    assert_eq!((briefs.len(), chats.len()), (10, 40));
    assert!(chats.iter().all(|c| !briefs.contains(c)));
}

#[test]
fn work_ahead_is_bounded_by_time_not_by_tokens() {
    // teranga-sortie quiet-1: on cold engines, 26 of 964 briefs ran into their deadline behind a
    // second of prompts on one engine, while others were idle.
    let most_pending = |rate: f64| {
        let mut balancer = slow_fleet();
        balancer.set_peer_samples(samples(rate, 200));
        let ids = fill(&mut balancer, |i| Requirements { waited: 200, ..brief(i % 4) }, 500);
        assert!(!ids.is_empty());
        balancer.endpoints().map(|e| e.own.prefill).max().unwrap()
    };
    // One prompt is taken whatever its size; with others, half the target of 600 ms is the bound.
    let bound = |rate: f64| f64::from(brief(0).prompt).max(rate * 300.0 * 1.1);
    for rate in [10.0, 40.0, 160.0] {
        assert!(f64::from(most_pending(rate)) <= bound(rate), "{}", most_pending(rate));
    }
    assert!(most_pending(160.0) > most_pending(40.0));
}

#[test]
fn parts_are_recomputed_only_where_no_prompt_is_pending() {
    // teranga-sortie-grown quiet-1: under a burst of briefs 8.9 million tokens of shared segments
    // were computed again, three times the work of the requests themselves.
    let mut balancer = slow_fleet();
    let needs = Requirements { waited: 200, ..brief(0) };
    let cached_on = chosen_endpoint(&mut balancer, &needs).unwrap();
    balancer.start(0, &cached_on, &needs);
    let pending = |prefill| Load { running: 2, prefill, memory: 9_000, tight: 0 };
    let others = |prefill| {
        let all = (0..18).map(|i| listing(i).id);
        all.map(|id| (id.clone(), pending(if id == cached_on { 30_000 } else { prefill })))
            .collect()
    };
    balancer.set_peer_loads(&others(500));
    assert_eq!(chosen_endpoint(&mut balancer, &needs), None);
    balancer.set_peer_loads(&others(0));
    assert!(chosen_endpoint(&mut balancer, &needs).is_some_and(|id| id != cached_on));
}

#[test]
fn late_requests_find_more_room_where_their_parts_are_cached() {
    // teranga-sortie-grown quiet-1: 754 of 6,914 briefs were refused after half their target in the
    // queue, although their callers waited for seconds more.
    let mut balancer = slow_fleet();
    let first = brief(0);
    let cached_on = chosen_endpoint(&mut balancer, &first).unwrap();
    balancer.start(0, &cached_on, &first);
    let busy = Load { running: 4, prefill: 7_000, memory: 40_000, tight: 0 };
    balancer.set_peer_loads(&(0..18).map(|i| (listing(i).id, busy)).collect());
    let after = |waited| Requirements { waited, ..brief(0) };
    assert!(!balancer.is_late(&after(300)) && balancer.is_late(&after(900)));
    assert_eq!(chosen_endpoint(&mut balancer, &after(300)), None);
    assert_eq!(chosen_endpoint(&mut balancer, &after(900)), Some(cached_on));
}

#[test]
fn wait_for_cached_parts_leaves_most_of_the_target() {
    // teranga-sortie quiet-1: on cold engines, the wait of four times the recomputation was 0.8 s,
    // longer than the target, and 13.6% of the requests were refused beside idle engines.
    let mut balancer = slow_fleet();
    let first = brief(0);
    let cached_on = chosen_endpoint(&mut balancer, &first).unwrap();
    balancer.start(0, &cached_on, &first);
    let after = |waited| Requirements { waited, ..brief(0) };
    assert_eq!(chosen_endpoint(&mut balancer, &after(0)), None);
    let other = chosen_endpoint(&mut balancer, &after(160)).unwrap();
    assert_ne!(other, cached_on);
}

/// Time of a step of an engine, in milliseconds: predictions needn't be closer.
const STEP_MS: f64 = 5.0;

fn assert_speed(rate: &f64) {
    let speed = samples(*rate, 400).speed();
    for tokens in [1_000, 10_000, 40_000] {
        let right = f64::from(tokens) / rate + 10.0;
        let error = (speed.predict(tokens) - right).abs();
        assert!(error < (0.1 * right).max(STEP_MS), "{tokens} tokens: {error} ms from {right}");
    }
}

cases! { assert_speed:
    speed_of_slow_engines_is_learned => 10.0;
    speed_of_engines_like_the_assumed_is_learned => 40.0;
    speed_of_fast_engines_is_learned => 300.0;
}

#[test]
fn one_stalled_request_hardly_changes_the_speed() {
    let mut samples = samples(RATE, 200);
    let before = samples.speed().predict(10_000);
    samples.record(10_000, 60_000, before);
    let after = samples.speed().predict(10_000);
    assert!(after < 1.1 * before, "{before} and {after}");
}

#[test]
fn without_samples_the_speed_is_the_assumed() {
    assert_eq!(Samples::default().speed(), Speed::default());
    assert!(Speed::default().predict(10_000) > 100.0);
}

#[test]
fn load_is_removed_when_a_request_ends() {
    let mut balancer = balancer(4);
    let needs = layout(7);
    let id = chosen_endpoint(&mut balancer, &needs).unwrap();
    let mut placement = balancer.start(0, &id, &needs);
    balancer.finish_prefill(100, &mut placement);
    assert_eq!(balancer.get(&id).unwrap().own.prefill, 0);
    balancer.end(&placement);
    assert_eq!(balancer.get(&id).unwrap().own, Load::default());
}

#[test]
fn leaving_and_stale_endpoints_get_nothing() {
    let mut balancer = balancer(2);
    let mut gone = listing(0);
    gone.leaving = true;
    balancer.sync(&[gone, listing(1)]);
    for i in 0..10 {
        assert_eq!(chosen_endpoint(&mut balancer, &title(i)).as_deref(), Some("engine-1"));
    }
    balancer.get_mut("engine-1").unwrap().mark_stale();
    assert_eq!(balancer.choose(0, &title(0)), Choice::NoEndpoint);
    // The same id with another start time is a new endpoint.
    balancer.sync(&[Listing { started_at: 2, ..listing(1) }]);
    assert!(chosen_endpoint(&mut balancer, &title(0)).is_some());
}

#[test]
fn endpoints_that_say_they_are_leaving_are_used_briefly_where_no_other_is_left() {
    let mut balancer = balancer(2);
    let chosen = |b: &mut Balancer, now| match b.choose(now, &title(1)) {
        Choice::Chosen(id, _) => Some(id),
        Choice::Full(..) | Choice::NoEndpoint => None,
    };
    balancer.get_mut("engine-0").unwrap().mark_leaving(5_000);
    assert_eq!(chosen(&mut balancer, 5_000).as_deref(), Some("engine-1"));
    balancer.get_mut("engine-1").unwrap().mark_leaving(5_500);
    assert!(chosen(&mut balancer, 5_900).is_some());
    assert_eq!(chosen(&mut balancer, 6_100).as_deref(), Some("engine-1"));
    assert_eq!(chosen(&mut balancer, 6_600), None);
    let next = Listing { started_at: 2, ..listing(0) };
    balancer.sync(&[next, listing(1)]);
    assert_eq!(chosen(&mut balancer, 6_600).as_deref(), Some("engine-0"));
}

#[test]
fn paused_endpoints_get_nothing_until_the_longest_pause_ends() {
    let mut balancer = balancer(1);
    balancer.get_mut("engine-0").unwrap().pause(1_000, 3_000);
    balancer.get_mut("engine-0").unwrap().pause(1_500, 500);
    assert_eq!(balancer.choose(3_999, &title(1)), Choice::NoEndpoint);
    assert!(matches!(balancer.choose(4_000, &title(1)), Choice::Chosen(..)));
}

#[test]
fn failing_endpoints_are_avoided_unless_most_are_failing() {
    let mut balancer = balancer(3);
    balancer.profile = Profile::default();
    for i in 0..3 {
        assert!(balancer.get_mut(&format!("engine-{i}")).unwrap().record_failure(0, true));
        assert!(chosen_endpoint(&mut balancer, &title(0)).is_some());
    }
    balancer.get_mut("engine-1").unwrap().record_success();
    assert_eq!(chosen_endpoint(&mut balancer, &title(0)).as_deref(), Some("engine-1"));
}

/// Retry budget of the tests.
const RULE: RetryRule = RetryRule { ratio: 0.2, extra: 58.0, window: 10_000 };

#[test]
fn budgets_of_all_instances_stay_within_the_fleets() {
    for n in [1usize, 3, 9, 85] {
        let mut windows: Vec<RetryWindow> = (0..n).map(|_| RetryWindow::default()).collect();
        let mut withdrawn = 0;
        for (i, window) in windows.iter_mut().enumerate() {
            // The first instance gets far more requests than any other.
            let requests = if i == 0 { 200 } else { 5 };
            (0..requests).for_each(|t| window.record_request(t));
            withdrawn += (0..500).filter(|_| window.try_withdraw(9_000, RULE, n)).count();
        }
        let requests = 200 + 5 * (n - 1);
        assert!(withdrawn as f64 <= RULE.ratio * requests as f64 + RULE.extra, "{n}: {withdrawn}");
    }
}

#[test]
fn budget_comes_back_after_the_window() {
    let mut window = RetryWindow::default();
    while window.try_withdraw(0, RULE, 9) {}
    assert!(!window.try_withdraw(RULE.window - 1, RULE, 9));
    assert!(window.try_withdraw(RULE.window, RULE, 9));
}

/// State after one attempt that has not run, with one second left.
const FRESH: RetryState =
    RetryState { retryable: false, streaming: false, sends: 1, runs: 0, max_runs: 2, left: 1_000 };

fn assert_decision(case: &(RetryState, FailureKind, bool, Action)) {
    let (state, failure, budget, action) = *case;
    assert_eq!(state.decide(failure, || budget), action);
}

cases! { assert_decision:
    unsent_takes_no_budget => (FRESH, FailureKind::NotSent, false, Action::Again);
    not_run_takes_budget => (FRESH, FailureKind::NotRun, true, Action::Again);
    not_run_without_budget_is_refused => (FRESH, FailureKind::NotRun, false, Action::Refuse);
    lost_is_never_sent_twice => (RetryState { runs: 1, ..FRESH }, FailureKind::Lost, true, Action::Fail);
    lost_idempotent_is_retried => (RetryState { runs: 1, retryable: true, ..FRESH }, FailureKind::Lost, true, Action::Again);
    attempts_are_bounded => (RetryState { runs: 2, retryable: true, ..FRESH }, FailureKind::Lost, true, Action::Fail);
    own_failure_is_passed_on => (RetryState { runs: 1, ..FRESH }, FailureKind::Failed, true, Action::Pass);
    not_run_after_a_run_has_unknown_outcome => (RetryState { runs: 1, retryable: true, ..FRESH }, FailureKind::NotRun, false, Action::Fail);
    partly_sent_stream_breaks => (RetryState { runs: 1, streaming: true, ..FRESH }, FailureKind::Lost, true, Action::Break);
    no_time_left_no_retry => (RetryState { left: 5, ..FRESH }, FailureKind::NotRun, true, Action::Refuse);
}

/// What an endpoint has said of itself, and whether it takes work after that.
type Notice = (fn(&mut Endpoint), fn(&Endpoint) -> bool);

/// An endpoint leaves the list and comes back to it, as after an outage of the platform.
fn assert_notice_is_kept((give, takes_work): &Notice) {
    let mut balancer = balancer(2);
    give(balancer.get_mut("engine-0").unwrap());
    assert!(!takes_work(balancer.get("engine-0").unwrap()));
    balancer.sync(&[listing(1)]);
    balancer.sync(&[listing(0), listing(1)]);
    assert!(!takes_work(balancer.get("engine-0").unwrap()), "the same incarnation");
    balancer.sync(&[listing(1)]);
    let next = Listing { started_at: 2, ..listing(0) };
    balancer.sync(&[next, listing(1)]);
    assert!(takes_work(balancer.get("engine-0").unwrap()), "the next incarnation");
}

cases! {
    assert_notice_is_kept:
    endpoint_that_is_listed_again_is_still_leaving =>
        (|e| _ = e.mark_leaving(0), Endpoint::accepts_work);
    endpoint_that_is_listed_again_is_still_paused =>
        (|e| _ = e.pause(0, 5_000), |e| !e.is_paused(1_000));
    endpoint_that_is_listed_again_is_still_stale =>
        (Endpoint::mark_stale, Endpoint::accepts_work);
}

#[test]
fn endpoint_that_was_full_is_tried_again_without_a_further_response() {
    // lombada-ne, bursts and endpoints that hang: an instance without requests in flight gets no
    // response, so that a last report of full endpoints shut the service out to the end of the day.
    let mut balancer = Balancer::new("recife");
    balancer.sync(&[Listing { slots: 6, ..listing(0) }]);
    balancer.get_mut("engine-0").unwrap().report(0, 6, 12);
    let needs = Requirements::default();
    assert!(matches!(balancer.choose(0, &needs), Choice::Full(..)));
    assert!(matches!(balancer.choose(1_000, &needs), Choice::Chosen(..)));
}
