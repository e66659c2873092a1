//! Broken answers of endpoints reach no caller of an entry as answers, run nothing twice and are logged.
#![allow(clippy::unwrap_used)]

mod common;

use common::answers::{Broken, Sound, broken, of_status, sound};
use common::raw::{Raw, RawServer};
use common::{Rig, RigConfig, free_addr, until};
use sassafrasworks::load::client::{Response, chat_body};

/// An entry with one endpoint for each service, which gives every request this answer.
fn rig_with(raw: Raw) -> (Rig, RawServer) {
    let rig = Rig::start(&RigConfig { entries: 1, engines: 1, plains: 1, ..RigConfig::default() });
    let server = RawServer::start(free_addr(), raw);
    rig.proxy("orders-1").set_target(server.addr);
    rig.proxy("engine-1").set_target(server.addr);
    (rig, server)
}

/// Asserts that the caller is told that the outcome is unknown, and that one line of the log tells the
/// request, the endpoint and what was wrong.
fn assert_unknown(rig: &Rig, got: &Response, endpoint: &str, fault: &str) {
    assert_eq!((got.status, got.ran.as_str()), (502, "unknown"), "{got:?}");
    let parts = ["attempt failed", got.id.as_str(), endpoint, fault];
    until("the failed attempt is logged", || {
        rig.entries[0].output().lines().any(|l| parts.iter().all(|p| l.contains(p)))
    });
}

fn assert_no_answer(case: &Broken) {
    let (rig, server) = rig_with(case.raw);
    let key = uuid::Uuid::now_v7().to_string();
    let got = rig.book(0, &key);
    assert_unknown(&rig, &got, "orders-1", case.fault);
    let sent = server.arrivals();
    let again = rig.book(0, &key);
    assert_eq!((again.status, again.ran.as_str()), (502, "unknown"), "{again:?}");
    assert_eq!(server.arrivals(), sent, "the booking was sent again");
    let body = chat_body("spine-1", "a title", 5, false).to_string();
    let got =
        rig.entries[0].caller().send("POST", "/v1/chat/completions", body.as_bytes()).unwrap();
    assert_unknown(&rig, &got, "engine-1", case.fault);
    rig.assert_no_violations();
}

cases! {
    assert_no_answer:
    status_of_zeros_is_no_answer =>
        broken(b"HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nhi", "status code");
    status_of_600_is_no_answer =>
        broken(b"HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\nhi", "status code");
    name_with_a_control_byte_is_no_answer =>
        broken(b"HTTP/1.1 200 X\r\nX\x01: 1\r\nContent-Length: 2\r\n\r\nhi", "field name");
    length_and_chunks_are_no_answer =>
        broken(b"HTTP/1.1 200 X\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "framing");
    trailer_with_a_length_is_no_answer =>
        broken(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nContent-Length: 2\r\n\r\n", "trailer");
}

fn assert_passes(case: &Sound) {
    let (rig, server) = rig_with(case.raw);
    let got = rig.book(0, &uuid::Uuid::now_v7().to_string());
    assert_eq!((got.status, got.text.as_str()), (case.status, case.body));
    assert_eq!(server.arrivals(), 1);
}

cases! {
    assert_passes:
    answer_with_a_list_of_the_same_lengths_passes =>
        sound(b"HTTP/1.1 200 X\r\nContent-Length: 2, 2\r\n\r\nhi");
    answer_with_chunk_extensions_passes =>
        sound(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n2;a;b=c ; d = \"e \\\" \xe9\"\r\nhi\r\n0;x\r\n\r\n");
    status_599_passes =>
        of_status(599, b"HTTP/1.1 599 X\r\nContent-Length: 2\r\n\r\nhi", "hi");
}
