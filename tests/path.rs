//! End-to-end tests of requests through real processes: streams, complete responses, resumption
//! after an engine crash, and bookings that run once.
#![allow(clippy::unwrap_used)]

mod common;

use common::{Rig, RigConfig, until};
use sassafrasworks::load::client::chat_body;
use sassafrasworks::standin::engine;

#[test]
fn streams_whole_answer_through_every_instance() {
    let rig = Rig::start(&RigConfig::default());
    for entry in &rig.entries {
        let prompt = format!("spines for {} len=40", entry.name);
        let got = entry.caller().stream("spine-1", &prompt, 500).unwrap();
        assert!(got.complete, "{got:?}");
        assert_eq!(got.text, engine::response_text(&prompt, 500));
        assert_eq!(got.tokens, 40);
    }
    rig.assert_no_violations();
}

#[test]
fn answers_whole_without_stream() {
    let rig = Rig::start(&RigConfig::default());
    let body = chat_body("spine-1", "a title len=9", 5, false).to_string();
    let got =
        rig.entries[0].caller().send("POST", "/v1/chat/completions", body.as_bytes()).unwrap();
    let value = got.json();
    assert_eq!(
        value["choices"][0]["message"]["content"],
        engine::response_text("a title len=9", 5)
    );
    assert_eq!(value["choices"][0]["finish_reason"], "length");
    assert_eq!(value["usage"]["completion_tokens"], 5);
}

#[test]
fn resumes_stream_after_engine_crash() {
    let rig = Rig::start(&RigConfig::default());
    let prompt = "a long assessment len=300";
    let got = std::thread::scope(|s| {
        let request = s.spawn(|| rig.entries[0].caller().stream("spine-1", prompt, 500).unwrap());
        until("an engine generates", || rig.world.engines.values().any(|e| e.totals().tokens > 50));
        let busy = rig.world.engines.values().find(|e| e.totals().tokens > 50).unwrap();
        busy.crash();
        request.join().unwrap()
    });
    assert!(got.complete, "{got:?}");
    assert_eq!(got.text, engine::response_text(prompt, 500));
    let crashes: u64 = rig.world.engines.values().map(|e| e.totals().crashes).sum();
    assert_eq!(crashes, 1);
    rig.assert_no_violations();
}

#[test]
fn books_once_through_two_instances() {
    let rig = Rig::start(&RigConfig::default());
    let key = uuid::Uuid::now_v7().to_string();
    let (one, two) = std::thread::scope(|s| {
        let one = s.spawn(|| rig.book(0, &key));
        let two = s.spawn(|| rig.book(1, &key));
        (one.join().unwrap(), two.join().unwrap())
    });
    assert_eq!((one.status, two.status), (200, 200), "{one:?} {two:?}");
    assert_eq!(one.text, two.text);
    assert_eq!(rig.executions(&key), 1);
    let again = rig.book(2, &key);
    assert_eq!(again.text, one.text);
    assert_eq!(rig.executions(&key), 1);
    rig.assert_no_violations();
}

/// Concurrent test processes use different addresses, and a process never hands out a port twice,
/// so that rigs can't take each other's ports.
#[test]
fn concurrent_rigs_get_distinct_addresses() {
    let all: Vec<_> = std::thread::scope(|s| {
        let threads: Vec<_> = (0..8)
            .map(|_| s.spawn(|| (0..200).map(|_| common::free_addr()).collect::<Vec<_>>()))
            .collect();
        threads.into_iter().flat_map(|t| t.join().unwrap()).collect()
    });
    let mut unique = all.clone();
    unique.sort();
    unique.dedup();
    assert_eq!(unique.len(), all.len());
    assert!(all.iter().all(|a| a.ip() == common::own_ip()));
    let listener = std::net::TcpListener::bind(all[0]).unwrap();
    assert_eq!(listener.local_addr().unwrap(), all[0]);
}
