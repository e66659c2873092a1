//! A fleet of real processes under failure: stream integrity, quarantine, leaving endpoints,
//! shutdown, overload and invalid requests.
#![allow(clippy::unwrap_used)]

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use common::{Instance, Rig, RigConfig, sleep_ms, until, until_within};
use sassafrasworks::adapter::list::Phase;
use sassafrasworks::load::client::{Response, chat_body};
use sassafrasworks::standin::{engine, log, proxy};

/// Time after which an endpoint that leaves must get no new requests, in milliseconds.
const LEAVE_LIMIT_MS: u64 = 5_000;

/// Sends a stock lookup (an idempotent request) through an instance. The status is 0 when the
/// connection fails.
fn lookup(entry: &Instance) -> Response {
    entry.caller().send("GET", "/svc/orders/stock", b"").unwrap_or_default()
}

#[test]
fn answers_with_the_id_of_another_request_are_dropped() {
    let rig = Rig::start(&RigConfig::default());
    rig.engine("engine-1").set_crossed(true);
    for i in 0..12 {
        let prompt = format!("answer of my own {i} len=8");
        let got = rig.entries[i % 3].caller().stream("spine-1", &prompt, 99).unwrap();
        assert!(got.complete, "{got:?}");
        assert_eq!(got.text, engine::response_text(&prompt, 99));
    }
    rig.assert_no_violations();
}

#[test]
fn answers_stay_whole_while_engines_crash() {
    let rig = Rig::start(&RigConfig { engines: 4, ..RigConfig::default() });
    thread::scope(|s| {
        let requests: Vec<_> = (0..24)
            .map(|i| {
                let rig = &rig;
                s.spawn(move || {
                    let prompt = format!("layout {i} len=120");
                    let got = rig.entries[i % 3].caller().stream("spine-1", &prompt, 500).unwrap();
                    (got, engine::response_text(&prompt, 500))
                })
            })
            .collect();
        for name in ["engine-1", "engine-3", "engine-2"] {
            until("the engine runs a request", || rig.engine(name).running() > 0);
            rig.engine(name).crash();
            sleep_ms(300);
        }
        for t in requests {
            let (got, want) = t.join().unwrap();
            assert!(got.complete, "{got:?}");
            assert_eq!(got.text, want);
        }
    });
    rig.assert_no_violations();
}

/// A stream is resumed on another engine after a fault of the connection to its engine.
fn resumes_after(fault: &proxy::Fault) {
    let rig = Rig::start(&RigConfig::default());
    let prompt = "long layout len=200";
    let got = thread::scope(|s| {
        let request = s.spawn(|| rig.entries[0].caller().stream("spine-1", prompt, 500).unwrap());
        until("an engine generates tokens", || {
            rig.world.engines.values().any(|e| e.totals().tokens > 20)
        });
        let busy = rig.world.engines.values().find(|e| e.running() > 0).unwrap();
        rig.proxy(busy.name()).set_fault(*fault);
        request.join().unwrap()
    });
    assert!(got.complete, "{got:?}");
    assert_eq!(got.text, engine::response_text(prompt, 500));
}

cases! { resumes_after:
    cut_between_instance_and_engine_resumes => proxy::Fault::Cut;
    frozen_connection_is_noticed_and_resumed => proxy::Fault::Freeze;
}

#[test]
fn disconnect_of_the_caller_stops_generation() {
    let rig = Rig::start(&RigConfig { entries: 1, engines: 1, ..RigConfig::default() });
    let body = chat_body("spine-1", "very long len=5000", 9_999, true).to_string();
    let mut caller = TcpStream::connect(rig.entries[0].listen).unwrap();
    write!(
        caller,
        "POST /v1/chat/completions HTTP/1.1\r\nauthorization: Bearer {}\r\n\
         content-length: {}\r\n\r\n{body}",
        common::TOKEN,
        body.len()
    )
    .unwrap();
    let mut buf = [0; 200];
    caller.read_exact(&mut buf).unwrap();
    drop(caller);
    until_within("the engine is free", Duration::from_secs(3), &mut || {
        rig.engine("engine-1").running() == 0
    });
    assert!(rig.engine("engine-1").totals().tokens < 1_000);
}

/// Crashes that one content may cause in the whole fleet: the `crash_limit` in force.
const CRASH_LIMIT: u64 = 3;

#[test]
fn crashing_content_is_quarantined_fleet_wide_and_other_contents_are_not() {
    let rig = Rig::start(&RigConfig { engines: 5, ..RigConfig::default() });
    let crashes = || rig.world.engines.values().map(|e| e.totals().crashes).sum::<u64>();
    thread::scope(|s| {
        let others: Vec<_> = (0..9)
            .map(|i| {
                let rig = &rig;
                s.spawn(move || {
                    let prompt = format!("innocent {i} len=400");
                    let got = rig.entries[i % 3].caller().stream("spine-1", &prompt, 900).unwrap();
                    (got, engine::response_text(&prompt, 900))
                })
            })
            .collect();
        until("the other requests run", || rig.world.engines.values().any(|e| e.running() > 0));
        // The caller resends the content that crashes engines, each time through another instance.
        let mut last = Response::default();
        for i in 0..9 {
            last = rig.entries[i % 3].caller().stream("spine-1", "poison len=9", 99).unwrap();
            assert_ne!(last.status, 200, "{last:?}");
            sleep_ms(300);
        }
        assert_eq!((last.status, last.code.as_str()), (422, "quarantined"), "{last:?}");
        assert!(crashes() <= CRASH_LIMIT, "{} crashes", crashes());
        for t in others {
            let (got, want) = t.join().unwrap();
            assert!(got.complete, "{got:?}");
            assert_eq!(got.text, want);
        }
    });
    // All instances hold the quarantine, and a release on one of them reaches all.
    let held = |e: &Instance| {
        let status = e.status().unwrap();
        status["quarantine"].as_array().unwrap().first().map(|q| q["content"].to_string())
    };
    let content = held(&rig.entries[0]).unwrap().trim_matches('"').to_owned();
    until("the content is quarantined on all instances", || {
        rig.entries.iter().all(|e| held(e).is_some())
    });
    let admin = rig.entries[1].admin.to_string();
    let out = rig.ctl(&["release", &content, "--entry", &admin, "--who", "ines"]);
    assert!(out.status.success(), "{out:?}");
    until("the content is released on all instances", || {
        rig.entries.iter().all(|e| held(e).is_none())
    });
    rig.assert_no_violations();
}

/// Delay of each chunk between an instance and the engines, in milliseconds: it keeps the first
/// load reports away from an instance that has just started.
const SLOW_START: u64 = 200;
/// Time in which an instance polls its engines several times, in milliseconds.
const POLLS_MS: u64 = 500;

/// Restarts the only instance of a fleet as `start` does, and sends it a content that crashes engines:
/// each crash must count, although no report of the engines has arrived yet.
fn assert_first_crashes_count(start: &fn(&mut Rig)) {
    let config = RigConfig { entries: 1, engines: 5, ..RigConfig::default() };
    let mut rig = Rig::start(&config);
    rig.entries[0].kill();
    start(&mut rig);
    until("the instance is ready", || rig.entries[0].ready());
    let mut last = Response::default();
    for _ in 0..3 {
        last = rig.entries[0].caller().stream("spine-1", "poison len=9", 99).unwrap();
    }
    assert_eq!((last.status, last.code.as_str()), (422, "quarantined"), "{last:?}");
    let crashes = rig.world.engines.values().map(|e| e.totals().crashes).sum::<u64>();
    assert_eq!(crashes, CRASH_LIMIT);
    rig.assert_no_violations();
}

fn start_with_slow_engines(rig: &mut Rig) {
    rig.set_proxy_faults("engine-", proxy::Fault::Delay(SLOW_START));
    rig.entries[0].start();
}

/// Starts the instance without the log: it polls the engines before it has a configuration, and again
/// when they are slow.
fn start_before_the_configuration(rig: &mut Rig) {
    rig.log().set_fault(log::Fault::Down);
    rig.entries[0].start();
    until("the instance serves", || rig.entries[0].output().contains("serves on"));
    sleep_ms(POLLS_MS);
    rig.set_proxy_faults("engine-", proxy::Fault::Delay(SLOW_START));
    rig.log().set_fault(log::Fault::None);
}

cases! {
    assert_first_crashes_count:
    crashes_before_the_first_report_of_an_engine_count => start_with_slow_engines as fn(&mut Rig);
    crashes_count_when_engines_were_polled_before_the_configuration_came =>
        start_before_the_configuration as fn(&mut Rig);
}

#[test]
fn cuts_are_not_taken_for_crashes() {
    let rig = Rig::start(&RigConfig { engines: 4, ..RigConfig::default() });
    for round in 0..4 {
        let prompt = "the same innocent content len=100";
        thread::scope(|s| {
            let request =
                s.spawn(|| rig.entries[round % 3].caller().stream("spine-1", prompt, 500));
            until("the request runs", || rig.world.engines.values().any(|e| e.running() > 0));
            rig.set_proxy_faults("engine-", proxy::Fault::Cut);
            sleep_ms(200);
            rig.set_proxy_faults("engine-", proxy::Fault::None);
            request.join().unwrap().ok();
        });
        // Load reports of the same incarnations revoke the crashes, and the content runs again.
        until("the content is served again", || {
            let got = rig.entries[(round + 1) % 3].caller().stream("spine-1", prompt, 500).unwrap();
            got.complete && got.text == engine::response_text(prompt, 500)
        });
        sleep_ms(1_500);
    }
    rig.assert_no_violations();
}

/// How instances learn that an endpoint leaves, and what has failed meanwhile.
struct Leaving {
    /// The instance list says so within a second; else it lags by 10 minutes.
    by_list: bool,
    /// The endpoint's load report says so.
    by_report: bool,
    /// The log is down.
    log_down: bool,
    /// Instances can't reach their peers.
    peers_cut: bool,
}

/// An endpoint that leaves gets no new requests after [`LEAVE_LIMIT_MS`].
fn leaves(how: &Leaving) {
    let lag = if how.by_list { 1_000 } else { 600_000 };
    let rig = Rig::start(&RigConfig { list_lag: lag, plains: 3, ..RigConfig::default() });
    if how.log_down {
        rig.log().set_fault(log::Fault::Down);
    }
    if how.peers_cut {
        rig.set_proxy_faults("admin-", proxy::Fault::Cut);
    }
    rig.world.list.as_ref().unwrap().set_phase("orders-1", Phase::Leaving);
    rig.plain("orders-1").set_draining(how.by_report);
    sleep_ms(LEAVE_LIMIT_MS);
    let served = |got: &Response| got.json()["by"] == "orders-1";
    for i in 0..30 {
        let got = lookup(&rig.entries[i % 3]);
        assert_eq!(got.status, 200, "{got:?}");
        assert!(
            !served(&got),
            "orders-1 got a request {LEAVE_LIMIT_MS} ms after it began to leave"
        );
    }
    rig.assert_no_violations();
}

cases! { leaves:
    endpoint_leaves_by_the_list =>
        Leaving { by_list: true, by_report: false, log_down: false, peers_cut: false };
    endpoint_leaves_by_its_report_while_the_list_lags =>
        Leaving { by_list: false, by_report: true, log_down: false, peers_cut: false };
    endpoint_leaves_while_the_log_is_down =>
        Leaving { by_list: false, by_report: true, log_down: true, peers_cut: false };
    endpoint_leaves_while_peers_are_cut_off =>
        Leaving { by_list: false, by_report: true, log_down: true, peers_cut: true };
}

#[test]
fn stream_on_a_leaving_engine_completes() {
    let rig = Rig::start(&RigConfig { engines: 2, ..RigConfig::default() });
    let prompt = "layout in progress len=300";
    let got = thread::scope(|s| {
        let request = s.spawn(|| rig.entries[0].caller().stream("spine-1", prompt, 500).unwrap());
        until("the request runs", || rig.world.engines.values().any(|e| e.running() > 0));
        let busy = rig.world.engines.values().find(|e| e.running() > 0).unwrap();
        busy.set_draining(true);
        rig.world.list.as_ref().unwrap().set_phase(busy.name(), Phase::Leaving);
        request.join().unwrap()
    });
    assert!(got.complete);
    assert_eq!(got.text, engine::response_text(prompt, 500));
}

#[test]
fn graceful_shutdown_cuts_nothing_off() {
    let mut rig = Rig::start(&RigConfig { took: 1_000, ..RigConfig::default() });
    let key = uuid::Uuid::now_v7().to_string();
    thread::scope(|s| {
        let streams: Vec<_> = (0..6)
            .map(|i| {
                let entry = &rig.entries[0];
                s.spawn(move || {
                    let prompt = format!("stream {i} len=300");
                    (
                        entry.caller().stream("spine-1", &prompt, 500),
                        engine::response_text(&prompt, 500),
                    )
                })
            })
            .collect();
        let booking = s.spawn(|| rig.book(0, &key));
        until("all requests run", || {
            rig.executions(&key) == 1
                && rig.world.engines.values().map(|e| e.running()).sum::<usize>() == 6
        });
        rig.entries[0].sigterm();
        until("the instance reports that it is not ready", || !rig.entries[0].ready());
        for t in streams {
            let (got, want) = t.join().unwrap();
            let got = got.unwrap();
            assert!(got.complete, "{got:?}");
            assert_eq!(got.text, want);
        }
        assert_eq!(booking.join().unwrap().status, 200);
    });
    until("the instance has exited", || rig.entries[0].exit_code().is_some());
    assert_eq!(rig.entries[0].exit_code(), Some(0));
    assert!(TcpStream::connect(rig.entries[0].listen).is_err());
    // The other instances have the response of the booking.
    let again = rig.book(1, &key);
    assert_eq!((again.status, rig.executions(&key)), (200, 1), "{again:?}");
}

#[test]
fn burst_of_patient_work_does_not_delay_lookups_and_bookings() {
    let rig = Rig::start(&RigConfig { engines: 1, slots: 2, ..RigConfig::default() });
    thread::scope(|s| {
        let patient: Vec<_> = (0..30)
            .map(|i| {
                let entry = &rig.entries[i % 3];
                s.spawn(move || {
                    let prompt = format!("assessment {i} len=40");
                    let caller = entry.caller().class("assessment");
                    (caller.stream("spine-1", &prompt, 900).unwrap(), prompt)
                })
            })
            .collect();
        until("the engine is full", || rig.engine("engine-1").running() == 2);
        for i in 0..20 {
            let key = uuid::Uuid::now_v7().to_string();
            assert_eq!(lookup(&rig.entries[i % 3]).status, 200);
            assert_eq!(rig.book(i % 3, &key).status, 200);
            // A chat of a more urgent class on the same engine is not delayed either.
            let caller = rig.entries[i % 3].caller().class("stock-lookup");
            let got = caller.stream("spine-1", &format!("urgent {i} len=3"), 9).unwrap();
            assert!(got.complete && got.first_token < 1_900.0, "{got:?}");
        }
        for t in patient {
            let (got, prompt) = t.join().unwrap();
            assert!(got.complete, "{got:?}");
            assert_eq!(got.text, engine::response_text(&prompt, 900));
        }
    });
    rig.assert_no_violations();
}

#[test]
fn slow_platform_does_not_slow_idempotent_work() {
    let rig = Rig::start(&RigConfig::default());
    rig.log().set_fault(log::Fault::Slow(3_000));
    rig.world.list.as_ref().unwrap().set_down(true);
    for entry in &rig.entries {
        let got = entry.caller().stream("spine-1", "quick len=5", 9).unwrap();
        assert!(got.complete && got.first_token < 1_900.0, "{got:?}");
        assert_eq!(lookup(entry).status, 200);
    }
}

#[test]
fn any_instance_explains_a_request() {
    let rig = Rig::start(&RigConfig::default());
    let got = rig.entries[0].caller().stream("spine-1", "explain me len=5", 9).unwrap();
    for entry in &rig.entries {
        let out = rig.ctl(&["explain", &got.id, "--entry", &entry.admin.to_string()]);
        let text = String::from_utf8(out.stdout).unwrap();
        assert!(text.contains("class chat, workspace recife, service spine"), "{text}");
        assert!(text.contains("weighed engine-"), "{text}");
    }
    let out = rig.ctl(&["status", "--entry", &rig.entries[0].admin.to_string()]);
    assert!(String::from_utf8(out.stdout).unwrap().contains("0 invariant violations"));
    let page = rig.entries[0].metrics();
    assert!(page.contains("sassafras_requests_total{class=\"chat\",result=\"whole\"} 1"), "{page}");
    assert!(page.contains("sassafras_invariant_violations 0"), "{page}");
}

#[test]
fn loss_of_peers_and_log_is_audited() {
    let mut rig = Rig::start(&RigConfig::default());
    rig.entries[2].kill();
    rig.log().set_fault(log::Fault::Down);
    sleep_ms(4_000);
    rig.log().set_fault(log::Fault::None);
    until("the events are on the log", || {
        let out = rig.ctl(&["audit", "--log", &rig.log_addr.to_string()]);
        let text = String::from_utf8(out.stdout).unwrap();
        ["peerslost", "loglost", "logback"].iter().all(|word| text.contains(word))
    });
}

/// An invalid request and the expected response.
struct Case {
    /// Request line and headers.
    head: &'static str,
    body: String,
    status: u16,
    code: &'static str,
}

/// Request line and headers of a valid chat.
const CHAT: &str = "POST /v1/chat/completions HTTP/1.1\r\nauthorization: Bearer recife-secret\r\n";

/// The request is refused as not run, and the instance goes on serving.
fn refused(case: &Case) {
    let rig = Rig::start(&RigConfig { entries: 1, engines: 1, plains: 1, ..RigConfig::default() });
    let mut caller = TcpStream::connect(rig.entries[0].listen).unwrap();
    let length = case.body.len();
    write!(caller, "{}content-length: {length}\r\nconnection: close\r\n\r\n", case.head).ok();
    caller.write_all(case.body.as_bytes()).ok();
    let mut response = String::new();
    caller.read_to_string(&mut response).unwrap();
    assert!(response.starts_with(&format!("HTTP/1.1 {} ", case.status)), "{response}");
    assert!(response.contains(&format!("\"code\":\"{}\"", case.code)), "{response}");
    assert!(response.contains("\"ran\":\"no\""), "{response}");
    assert!(rig.entries[0].caller().stream("spine-1", "still well len=2", 9).unwrap().complete);
}

/// Body of a valid chat for a model.
fn small_chat(model: &str) -> String {
    chat_body(model, "x", 5, false).to_string()
}

cases! { refused:
    body_that_is_not_json =>
        Case { head: CHAT, body: "{".into(), status: 400, code: "bad_request" };
    messages_that_are_missing => Case {
        head: CHAT,
        body: "{\"model\":\"spine-1\"}".into(), status: 400, code: "bad_request",
    };
    model_that_is_unknown =>
        Case { head: CHAT, body: small_chat("spine-9"), status: 404, code: "unknown_model" };
    token_that_is_unknown => Case {
        head: "POST /v1/chat/completions HTTP/1.1\r\nauthorization: Bearer nobody\r\n",
        body: small_chat("spine-1"), status: 401, code: "unknown_token",
    };
    class_that_is_unknown => Case {
        head: "POST /v1/chat/completions HTTP/1.1\r\nauthorization: Bearer recife-secret\r\n\
               x-sassafras-class: royal\r\n",
        body: small_chat("spine-1"), status: 400, code: "unknown_class",
    };
    service_that_is_unknown => Case {
        head: "GET /svc/nowhere/x HTTP/1.1\r\nauthorization: Bearer recife-secret\r\n",
        body: String::new(), status: 404, code: "unknown_service",
    };
    path_that_is_unknown => Case {
        head: "GET /v2 HTTP/1.1\r\nauthorization: Bearer recife-secret\r\n",
        body: String::new(), status: 404, code: "unknown_path",
    };
    body_that_is_too_large =>
        Case { head: CHAT, body: "x".repeat(2 << 20), status: 413, code: "body_too_large" };
    request_that_is_no_http =>
        Case { head: "HELLO\r\n\r\n", body: String::new(), status: 400, code: "bad_http" };
}

#[test]
fn huge_headers_and_slow_callers_are_refused_in_time() {
    let rig = Rig::start(&RigConfig { entries: 1, engines: 1, plains: 1, ..RigConfig::default() });
    let mut huge = TcpStream::connect(rig.entries[0].listen).unwrap();
    write!(huge, "GET / HTTP/1.1\r\n").unwrap();
    for i in 0..2_000 {
        if write!(huge, "x-header-{i}: {}\r\n", "y".repeat(100)).is_err() {
            break;
        }
    }
    let mut response = String::new();
    huge.read_to_string(&mut response).ok();
    assert!(response.is_empty() || response.starts_with("HTTP/1.1 431"), "{response}");
    let mut slow = TcpStream::connect(rig.entries[0].listen).unwrap();
    write!(slow, "GET /healthz HTTP/1.1\r\nx-slow").unwrap();
    let start = Instant::now();
    let mut response = String::new();
    slow.read_to_string(&mut response).unwrap();
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
    assert!(start.elapsed() < Duration::from_secs(25));
}
