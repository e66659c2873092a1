//! Bytes without end that are no answer, from what an entry calls, take no more memory and descriptors than
//! the process has, and other requests are served meanwhile.
#![allow(clippy::unwrap_used)]

mod common;

use std::io::Write;
use std::sync::{Mutex, PoisonError};
use std::thread;

use common::raw::{Flood, RawServer};
use common::{Rig, RigConfig, free_addr, sleep_ms, until};
use sassafrasworks::load::client::chat_body;
use sassafrasworks::standin::proxy::Fault;

/// Memory and descriptors of the process, and the fraction of them that it may use.
const MEMORY_MB: usize = 256;
const MAX_FDS: usize = 1_024;
const FRACTION: f64 = 0.6;
/// Callers whose requests may reach what floods.
const CROWD: usize = 40;
/// Requests of other callers meanwhile.
const ORDINARY: usize = 20;
/// Calls that are flooded before the process is measured.
const CALLS: u32 = 6;

/// Size of a token of an engine that sends tokens without end, in bytes, and the most that it sends.
const TOKEN_BYTES: usize = 4 << 10;
const TOKENS: usize = 64 << 10;
/// Slots of an engine.
const SLOTS: usize = 4;
/// Time for which open connections are cut, in milliseconds: longer than a proxy takes to notice.
const CUT_MS: u64 = 100;

/// One flood at a time.
static ALONE: Mutex<()> = Mutex::new(());

fn rig(entries: usize) -> Rig {
    let set = vec![format!("memory={MEMORY_MB}"), format!("descriptors={MAX_FDS}")];
    Rig::start(&RigConfig {
        entries,
        engines: 1,
        plains: 2,
        slots: SLOTS,
        set,
        ..RigConfig::default()
    })
}

/// Lets all new connections through a proxy reach a server that floods.
fn flood(rig: &Rig, proxy: &str, flood: Flood) -> RawServer {
    let server = RawServer::with(free_addr(), move |sock, _| flood.send(sock));
    let proxy = rig.proxy(proxy);
    proxy.set_target(server.addr);
    proxy.set_fault(Fault::Cut);
    sleep_ms(CUT_MS);
    proxy.set_fault(Fault::None);
    server
}

fn assert_served(rig: &Rig) {
    for i in 0..ORDINARY {
        let got = rig.entries[0].caller().send("GET", "/svc/orders/stock", b"").unwrap();
        assert_eq!(got.status, 200, "{i}: {got:?}");
    }
}

fn assert_bounded(rig: &mut Rig) {
    let (peak, descriptors) = rig.entries[0].usage();
    eprintln!("measured: {peak} MB, {descriptors} descriptors");
    assert_eq!(rig.entries[0].exit_code(), None, "the process has exited");
    assert!(peak < (MEMORY_MB as f64 * FRACTION) as usize, "{peak} MB");
    assert!(descriptors < (MAX_FDS as f64 * FRACTION) as usize, "{descriptors} descriptors");
}

/// One of two endpoints of a plain service floods requests and load reports; requests to the engine are
/// served. Those to the service get the other endpoint's answer, or 502 if they can't be sent again.
fn assert_plain_is_bounded(kind: &Flood) {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let mut rig = rig(1);
    let server = flood(&rig, "orders-1", *kind);
    thread::scope(|s| {
        let crowd: Vec<_> = (0..CROWD)
            .map(|_| s.spawn(|| rig.entries[0].caller().send("GET", "/svc/orders/stock", b"")))
            .collect();
        for i in 0..ORDINARY {
            let got = rig.entries[0].caller().stream("spine-1", &format!("title {i} len=3"), 5);
            assert!(got.unwrap().complete, "title {i}");
        }
        for request in crowd {
            let got = request.join().unwrap().unwrap();
            assert!(got.status == 502 || got.json()["by"] == "orders-2", "{got:?}");
        }
    });
    until("calls have been flooded", || server.arrivals() >= CALLS);
    assert_bounded(&mut rig);
}

/// The only engine floods requests and load reports; requests to the plain service are served.
fn assert_engine_is_bounded(kind: &Flood) {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let mut rig = rig(1);
    let server = flood(&rig, "engine-1", *kind);
    let body = chat_body("spine-1", "a title", 5, true).to_string();
    thread::scope(|s| {
        let send = || {
            let sent =
                rig.entries[0].caller().send("POST", "/v1/chat/completions", body.as_bytes());
            sent.map(|r| r.complete)
        };
        let crowd: Vec<_> = (0..CROWD / 4).map(|_| s.spawn(send)).collect();
        assert_served(&rig);
        for request in crowd {
            assert_ne!(request.join().unwrap().ok(), Some(true), "a flood passed as an answer");
        }
    });
    until("calls have been flooded", || server.arrivals() >= CALLS);
    assert_bounded(&mut rig);
}

/// Tokens without end for a request that is answered as a whole, each sound by itself.
#[test]
fn tokens_without_end_are_bounded() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let mut rig = rig(1);
    let server = RawServer::with(free_addr(), |sock, head| {
        let attempt = head.get("x-attempt").unwrap_or_default();
        let text = "x".repeat(TOKEN_BYTES);
        let event = format!(
            "data: {{\"id\":\"{attempt}\",\"choices\":[{{\"delta\":{{\"content\":\"{text}\"}}}}]}}\n\n"
        );
        let head = "HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\n\r\n";
        let mut open = sock.write_all(head.as_bytes()).is_ok();
        for _ in 0..TOKENS {
            open = open && sock.write_all(event.as_bytes()).is_ok();
        }
        false
    });
    rig.proxy("engine-1").set_target(server.addr);
    for _ in 0..CROWD {
        let caller = rig.entries[0].caller();
        let body = chat_body("spine-1", "a title", 5, false).to_string();
        thread::spawn(move || caller.send("POST", "/v1/chat/completions", body.as_bytes()));
    }
    assert_served(&rig);
    until("answers have been given up", || {
        let log = rig.entries[0].output();
        log.matches("attempt failed").count() >= SLOTS
    });
    assert_bounded(&mut rig);
}

/// The log floods all calls.
fn assert_log_is_bounded(kind: &Flood) {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let mut rig = rig(1);
    let server = flood(&rig, "log-e1", *kind);
    until("calls have been flooded", || server.arrivals() >= CALLS);
    assert_served(&rig);
    assert_bounded(&mut rig);
}

/// A peer floods all calls.
fn assert_peer_is_bounded(kind: &Flood) {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let mut rig = rig(2);
    let server = flood(&rig, "admin-e2", *kind);
    until("calls have been flooded", || server.arrivals() >= CALLS);
    assert_served(&rig);
    assert_bounded(&mut rig);
}

mod plain {
    use super::*;
    floods!(assert_plain_is_bounded);
}

mod engine {
    use super::*;

    cases! {
        assert_engine_is_bounded:
        fields_without_end_are_bounded => Flood::FIELDS;
        body_without_end_is_bounded => Flood::BODY;
    }
}

mod log {
    use super::*;

    cases! {
        assert_log_is_bounded:
        fields_without_end_are_bounded => Flood::FIELDS;
        body_without_end_is_bounded => Flood::BODY;
        chunks_without_end_are_bounded => Flood::CHUNKS;
    }
}

mod peer {
    use super::*;

    cases! {
        assert_peer_is_bounded:
        fields_without_end_are_bounded => Flood::FIELDS;
        body_without_end_is_bounded => Flood::BODY;
    }
}
