//! A non-idempotent request runs at most once, and "not run" is true. The stand-in service's own
//! count of executions is the judge.
#![allow(clippy::unwrap_used)]

mod common;

use std::thread;
use std::time::{Duration, Instant};

use common::{Rig, RigConfig, sleep_ms, until};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sassafrasworks::adapter::list::{Instance, Phase, Role};
use sassafrasworks::load::client::{Response, chat};
use sassafrasworks::standin::{log, proxy};
use uuid::Uuid;

fn key() -> String {
    Uuid::now_v7().to_string()
}

/// Time within which a caller is told that a key can't be claimed.
const REFUSAL_LIMIT: Duration = Duration::from_secs(5);

#[test]
fn concurrent_requests_with_one_key_run_once() {
    let rig = Rig::start(&RigConfig::default());
    for _ in 0..20 {
        let key = key();
        let all: Vec<Response> = thread::scope(|s| {
            let threads: Vec<_> = (0..6)
                .map(|i| {
                    s.spawn({
                        let (rig, key) = (&rig, &key);
                        move || rig.book(i % 3, key)
                    })
                })
                .collect();
            threads.into_iter().map(|t| t.join().unwrap()).collect()
        });
        assert_eq!(rig.executions(&key), 1);
        for got in &all {
            assert_eq!((got.status, &got.text), (200, &all[0].text), "{got:?}");
        }
    }
    rig.assert_no_violations();
}

#[test]
fn killed_claimant_leaves_the_outcome_unknown() {
    let rig = Rig::start(&RigConfig { took: 1_500, ..RigConfig::default() });
    let key = key();
    thread::scope(|s| {
        let first = s.spawn(|| rig.book(0, &key));
        until("the booking runs", || rig.executions(&key) == 1);
        rig.entries[0].sigkill();
        assert_eq!(first.join().unwrap().status, 0);
    });
    for entry in [1, 2] {
        let got = rig.book(entry, &key);
        assert_eq!((got.status, got.ran.as_str()), (502, "unknown"), "{got:?}");
    }
    assert_eq!(rig.executions(&key), 1);
}

#[test]
fn claimant_killed_before_it_read_its_claim_runs_nothing() {
    let rig = Rig::start(&RigConfig::default());
    let key = key();
    let before = rig.log().appended("claims");
    // Its claim takes effect, but it can't read the log.
    rig.proxy("log-e1").set_fault(proxy::Fault::CutAnswers);
    thread::scope(|s| {
        s.spawn(|| rig.book(0, &key));
        until("the claim is on the log", || rig.log().appended("claims") > before);
        rig.entries[0].freeze();
        let got = rig.book(1, &key);
        assert_eq!(got.ran, "unknown", "{got:?}");
        assert_eq!(rig.executions(&key), 0);
        rig.entries[0].sigkill();
    });
    let got = rig.book(2, &key);
    assert_eq!(got.ran, "unknown", "{got:?}");
    assert_eq!(rig.executions(&key), 0);
}

#[test]
fn frozen_claimant_answers_after_it_thaws() {
    let rig = Rig::start(&RigConfig { took: 300, ..RigConfig::default() });
    let key = key();
    thread::scope(|s| {
        let first = s.spawn(|| rig.book(0, &key));
        until("the booking runs", || rig.executions(&key) == 1);
        rig.entries[0].freeze();
        let got = rig.book(1, &key);
        assert_eq!(got.ran, "unknown", "{got:?}");
        sleep_ms(3_000);
        rig.entries[0].thaw();
        assert_eq!(first.join().unwrap().status, 200);
    });
    let got = rig.book(1, &key);
    assert_eq!(got.status, 200, "{got:?}");
    assert_eq!(rig.executions(&key), 1);
    rig.assert_no_violations();
}

#[test]
fn frozen_before_sending_past_its_deadline_runs_nothing() {
    let more = "[exception short]\nclass = booking\ndeadline = 2s\nfirst_token = 1s\n\
                reason = a test\nauthor = ines\nreviewer = tomas\n";
    let rig = Rig::start(&RigConfig { more: more.to_owned(), ..RigConfig::default() });
    let key = key();
    let before = rig.log().appended("claims");
    rig.proxy("log-e1").set_fault(proxy::Fault::CutAnswers);
    thread::scope(|s| {
        let first = s.spawn(|| rig.book(0, &key));
        until("the claim is on the log", || rig.log().appended("claims") > before);
        rig.entries[0].freeze();
        rig.proxy("log-e1").set_fault(proxy::Fault::None);
        sleep_ms(4_000);
        rig.entries[0].thaw();
        let got = first.join().unwrap();
        assert_ne!(got.status, 200, "{got:?}");
        assert_eq!(rig.executions(&key), 0);
    });
    // The claim shows up after it was given up and is released; a resend runs.
    until("a resend runs", || rig.book(1, &key).status == 200);
    assert_eq!(rig.executions(&key), 1);
    rig.assert_no_violations();
}

#[test]
fn log_outage_is_reported_quickly_and_correctly() {
    let rig = Rig::start(&RigConfig::default());
    let key = key();
    sleep_ms(1_500);
    rig.log().set_fault(log::Fault::Down);
    let start = Instant::now();
    let got = rig.book(0, &key);
    assert!(start.elapsed() < REFUSAL_LIMIT);
    assert_eq!((got.code.as_str(), got.ran.as_str()), ("log_unavailable", "no"), "{got:?}");
    assert_eq!(rig.executions(&key), 0);
    let lookup = rig.entries[1].caller().send("GET", "/svc/orders/stock", b"").unwrap();
    assert_eq!(lookup.status, 200);
    let chat = rig.entries[2].caller().stream("spine-1", "chat goes on len=5", 9).unwrap();
    assert!(chat.whole);
    rig.log().set_fault(log::Fault::None);
    until("the booking runs after the outage", || rig.book(1, &key).status == 200);
    assert_eq!(rig.executions(&key), 1);
    rig.assert_no_violations();
}

#[test]
fn issued_keys_work_without_the_log() {
    let mut rig = Rig::start(&RigConfig::default());
    let issue = |i: usize| {
        let got = rig.entries[i].caller().send("POST", "/v1/keys", b"").unwrap();
        got.json()["key"].as_str().unwrap().to_owned()
    };
    let (key, lost) = (issue(0), issue(2));
    rig.log().set_fault(log::Fault::Down);
    let first = rig.book(0, &key);
    assert_eq!(first.status, 200, "{first:?}");
    let again = rig.book(1, &key);
    assert_eq!((again.status, &again.text), (200, &first.text));
    assert_eq!(rig.executions(&key), 1);
    rig.entries[2].kill();
    let got = rig.book(1, &lost);
    assert_eq!((got.code.as_str(), got.ran.as_str()), ("key_home_gone", "unknown"), "{got:?}");
    assert_eq!(rig.executions(&lost), 0);
}

#[test]
fn keyed_chat_runs_once_through_three_instances() {
    let rig = Rig::start(&RigConfig::default());
    let issued = rig.entries[0].caller().send("POST", "/v1/keys", b"").unwrap();
    let issued = issued.json()["key"].as_str().unwrap().to_owned();
    for (n, key) in [key(), issued].into_iter().enumerate() {
        let body = chat("spine-1", &format!("order {n} len=6"), 99, false).to_string();
        let got: Vec<Response> = (0..3)
            .map(|i| {
                let caller = rig.entries[i].caller().class("order").key(&key);
                caller.send("POST", "/v1/chat/completions", body.as_bytes()).unwrap()
            })
            .collect();
        for one in &got {
            assert_eq!((one.status, &one.text), (200, &got[0].text), "{one:?}");
        }
        let started: u64 = rig.world.engines.values().map(|e| e.totals().started).sum();
        assert_eq!(started, n as u64 + 1);
    }
    rig.assert_no_violations();
}

#[test]
fn not_run_is_not_said_when_a_dead_instance_may_have_run_it() {
    let mut rig = Rig::start(&RigConfig::default());
    let key = key();
    // The first instance is cut off from the log; the second runs the booking and dies.
    rig.proxy("log-e1").set_fault(proxy::Fault::Cut);
    sleep_ms(200);
    assert_eq!(rig.book(1, &key).status, 200);
    rig.entries[1].kill();
    let got = rig.book(0, &key);
    assert_ne!(got.status, 200);
    assert_eq!(rig.executions(&key), 1);
    assert_eq!(got.ran, "unknown", "{got:?}");
}

#[test]
fn lost_append_answers_are_settled_by_reading() {
    let rig = Rig::start(&RigConfig::default());
    rig.log().set_fault(log::Fault::Lost);
    let keys: Vec<String> = (0..10).map(|_| key()).collect();
    for key in &keys {
        let got: Vec<Response> = thread::scope(|s| {
            let (one, two) = (s.spawn(|| rig.book(0, key)), s.spawn(|| rig.book(1, key)));
            vec![one.join().unwrap(), two.join().unwrap()]
        });
        assert!(got.iter().all(|g| g.status == 200), "{got:?}");
        assert_eq!(rig.executions(key), 1);
    }
    rig.assert_no_violations();
}

#[test]
fn broken_answer_of_the_service_is_unknown_and_never_repeated() {
    let rig = Rig::start(&RigConfig::default());
    let key = key();
    rig.set_proxy_faults("orders-", proxy::Fault::CutAnswers);
    let got = rig.book(0, &key);
    assert_eq!(got.ran, "unknown", "{got:?}");
    rig.set_proxy_faults("orders-", proxy::Fault::None);
    for i in 0..3 {
        assert_eq!(rig.book(i, &key).ran, "unknown");
    }
    assert_eq!(rig.executions(&key), 1);
}

#[test]
fn unreached_endpoint_is_replaced() {
    let rig = Rig::start(&RigConfig { plains: 1, ..RigConfig::default() });
    rig.world.list.as_ref().unwrap().add(Instance {
        name: "orders-9".to_owned(),
        role: Role::Endpoint,
        service: "orders".to_owned(),
        domain: "recife".to_owned(),
        addr: common::free().to_string(),
        admin: String::new(),
        phase: Phase::Live,
    });
    until("the dead endpoint is listed", || {
        rig.entries[0].status().is_some_and(|s| s.to_string().contains("orders-9"))
    });
    for _ in 0..10 {
        let key = key();
        let got = rig.book(0, &key);
        assert_eq!((got.status, rig.executions(&key)), (200, 1), "{got:?}");
    }
    rig.assert_no_violations();
}

#[test]
fn new_instance_has_the_answers_of_the_old_one() {
    let mut rig = Rig::start(&RigConfig::default());
    let key = key();
    let first = rig.book(0, &key);
    assert_eq!(first.status, 200);
    until("the answer is on the log", || {
        let got = rig.book(1, &key);
        got.text == first.text
    });
    for entry in &mut rig.entries {
        entry.kill();
        entry.start();
    }
    until("new instances are ready", || rig.entries.iter().all(common::Instance::ready));
    let again = rig.book(2, &key);
    assert_eq!((again.status, &again.text), (200, &first.text), "{again:?}");
    assert_eq!(rig.executions(&key), 1);
}

#[test]
fn expired_future_and_reused_keys_are_rejected() {
    let rig = Rig::start(&RigConfig { entries: 1, ..RigConfig::default() });
    let old = Uuid::new_v7(uuid::Timestamp::from_unix(uuid::NoContext, 1_600_000_000, 0));
    let got = rig.book(0, &old.to_string());
    assert_eq!((got.code.as_str(), got.ran.as_str()), ("key_expired", "unknown"));
    let ahead = Uuid::new_v7(uuid::Timestamp::from_unix(uuid::NoContext, 9_000_000_000, 0));
    assert_eq!(rig.book(0, &ahead.to_string()).code, "key_ahead");
    // An issued key ends with the window too; its memory on the instance does not outlive it.
    let boot = rig.entries[0].status().unwrap()["boot"].as_str().unwrap().to_owned();
    let issued = format!("home-{boot}-{old}");
    assert_eq!(rig.book(0, &issued).code, "key_expired");
    assert_eq!(rig.executions(&issued), 0);
    let key = key();
    assert_eq!(rig.book(0, &key).status, 200);
    let caller = rig.entries[0].caller().key(&key);
    let got = caller.send("POST", "/svc/orders/bookings", b"{\"crew\":8}").unwrap();
    assert_eq!(got.code, "key_reused");
}

/// Seed of the long run; `SASSAFRAS_SEED` takes its place.
const SEED: u64 = 20_261_204;
/// Rounds of the long run; `SASSAFRAS_ROUNDS` takes its place.
const ROUNDS: u64 = 30;

/// Random faults and resends: no key runs twice, "not run" is true, whole answers agree.
#[test]
fn long_run_with_random_faults() {
    let mut rig = Rig::start(&RigConfig { took: 10, ..RigConfig::default() });
    let mut rng = ChaCha8Rng::seed_from_u64(common::env("SASSAFRAS_SEED", SEED));
    for round in 0..common::env("SASSAFRAS_ROUNDS", ROUNDS) {
        let fault = rng.random_range(0..8);
        let victim = rng.random_range(0..3usize);
        let name = format!("log-e{}", victim + 1);
        match fault {
            0 => rig.log().set_fault(log::Fault::Lost),
            1 => rig.log().set_fault(log::Fault::Down),
            2 => rig.proxy(&name).set_fault(proxy::Fault::Cut),
            3 => rig.proxy(&name).set_fault(proxy::Fault::CutAnswers),
            4 => rig.set_proxy_faults("orders-", proxy::Fault::CutAnswers),
            5 => rig.entries[victim].freeze(),
            6 => rig.set_proxy_faults("admin-", proxy::Fault::Cut),
            _ => {}
        }
        let keys: Vec<String> = (0..4).map(|_| key()).collect();
        let sends: Vec<(usize, usize)> =
            (0..8).map(|i| (i % 4, rng.random_range(0..3usize))).collect();
        let got: Vec<(usize, Response)> = thread::scope(|s| {
            let threads: Vec<_> = sends
                .iter()
                .map(|(k, entry)| {
                    let (rig, key, entry) = (&rig, &keys[*k], *entry);
                    s.spawn(move || (*k, rig.book(entry, key)))
                })
                .collect();
            sleep_ms(400);
            rig.entries[victim].thaw();
            threads.into_iter().map(|t| t.join().unwrap()).collect()
        });
        for (k, key) in keys.iter().enumerate() {
            let count = rig.executions(key);
            assert!(count <= 1, "round {round}, fault {fault}: {key} ran {count} times");
            let responses: Vec<&Response> =
                got.iter().filter(|(i, _)| *i == k).map(|(_, g)| g).collect();
            let whole: Vec<&&Response> = responses.iter().filter(|g| g.status == 200).collect();
            assert!(whole.is_empty() || count == 1, "round {round}: {responses:?}");
            assert!(whole.iter().all(|g| g.text == whole[0].text), "round {round}: {responses:?}");
            if responses.iter().all(|g| g.ran == "no") {
                assert_eq!(count, 0, "round {round}, fault {fault}: {responses:?}");
            }
        }
        rig.log().set_fault(log::Fault::None);
        rig.set_proxy_faults("", proxy::Fault::None);
        if fault == 7 && round % 2 == 0 {
            rig.entries[victim].kill();
            rig.entries[victim].start();
            until("the new instance is ready", || rig.entries[victim].ready());
        }
    }
    rig.assert_no_violations();
}
