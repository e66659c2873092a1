//! Answers that the protocol doesn't allow are none for the clients of endpoints, peers and the platform,
//! and no call is repeated for them. Sound answers pass, odd ones too.
#![allow(clippy::unwrap_used)]

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;

use common::answers::{
    Broken, Sound, broken, cut, ends_with_its_connection, of_status, reset, sound, to_head,
};
use common::raw::{Raw, RawServer};
use common::{free_addr, sleep_ms};

/// Timeout of a call, in milliseconds.
const TIMEOUT: u64 = 10_000;
/// Largest body of an answer, in bytes.
const BODY_LIMIT: u64 = 1 << 20;
/// Body of an upload, in bytes: more than the buffers of both sockets take.
const UPLOAD: usize = 16 << 20;
/// Uploads in a row.
const ROUNDS: usize = 20;
/// Time after which a second answer comes, in milliseconds.
const LATE_MS: u64 = 50;

/// A server that answers an upload once its head has arrived, and resets the connection. Nothing of the
/// body is read.
fn early_server() -> SocketAddr {
    let raw = Raw::reset(b"HTTP/1.1 200 X\r\n\r\npart");
    let addr = free_addr();
    let listener = TcpListener::bind(addr).unwrap();
    thread::spawn(move || {
        for mut sock in listener.incoming().flatten() {
            let _ = sock.read(&mut [0; 1_024]);
            raw.send(&mut sock, "");
        }
    });
    addr
}

/// A server that answers each request with its number, and a moment later once more.
fn repeating_server() -> RawServer {
    let served = Arc::new(AtomicU32::new(0));
    RawServer::with(free_addr(), move |sock, _| {
        let n = served.fetch_add(1, Ordering::SeqCst);
        let answer = format!("HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\n{n}");
        sock.write_all(answer.as_bytes()).unwrap();
        sleep_ms(LATE_MS);
        sock.write_all(answer.as_bytes()).is_ok()
    })
}

/// The client of peers, the platform's store and load reports.
mod calls {
    use super::*;
    use sassafrasworks::adapter::http::{CallError, Client};

    /// Asserts that a call has no answer and may have taken effect.
    fn assert_none(got: &Result<Vec<u8>, CallError>, fault: &str) {
        let Err(error) = got else { panic!("answered: {got:?}") };
        assert!(!error.had_no_effect(), "{error:?}");
        assert!(error.to_string().contains(fault), "{error}");
    }

    fn assert_no_answer(case: &Broken) {
        let server = RawServer::start(free_addr(), case.raw);
        let (client, url) = (Client::new(TIMEOUT, BODY_LIMIT), format!("http://{}/x", server.addr));
        assert_none(&client.get(&url), case.fault);
        assert_none(&client.post(&url, b"x"), case.fault);
        assert_eq!(server.arrivals(), 2, "a call was repeated");
    }

    fn assert_passes(case: &Sound) {
        if case.method == "HEAD" {
            return;
        }
        let server = RawServer::start(free_addr(), case.raw);
        let (client, url) = (Client::new(TIMEOUT, BODY_LIMIT), format!("http://{}/x", server.addr));
        for got in [client.post(&url, b"x"), client.get(&url)] {
            match got {
                Ok(body) => assert_eq!((200..300, body), (200..300, case.body.into())),
                Err(CallError::Status { status, text }) => {
                    assert_eq!((status, text.as_str()), (case.status, case.body));
                }
                Err(e) => panic!("{e}"),
            }
        }
        assert_eq!(server.arrivals(), 2);
    }

    malformed_answers!(assert_no_answer);
    short_answers!(assert_no_answer);
    sound_answers!(assert_passes);

    #[test]
    fn answer_that_is_reset_while_its_upload_is_written_is_not_whole() {
        let url = format!("http://{}/x", early_server());
        for _ in 0..ROUNDS {
            assert_none(&Client::new(TIMEOUT, BODY_LIMIT).post(&url, &vec![b'x'; UPLOAD]), "");
        }
    }

    #[test]
    fn second_answer_is_not_taken_for_the_next_call() {
        let server = repeating_server();
        let (client, url) = (Client::new(TIMEOUT, BODY_LIMIT), format!("http://{}/x", server.addr));
        for n in 0..5 {
            assert_eq!(client.get(&url).unwrap(), n.to_string().as_bytes());
            sleep_ms(2 * LATE_MS);
        }
    }
}

/// Calls of `sassafras-entry` to endpoints.
mod endpoints {
    use super::*;
    use sassafrasworks::adapter::endpoint::{AttemptError, Call, CallControl, Response, call};

    /// Sends a request and reads the whole answer: its status and body.
    fn ask(server: &RawServer, method: &str) -> Result<(u16, Vec<u8>), AttemptError> {
        let control = CallControl::new(TIMEOUT, TIMEOUT, Box::new(|| false));
        let addr = server.addr.to_string();
        let body: &[u8] = if method == "POST" { b"x" } else { b"" };
        let request = Call { addr: &addr, method, path: "/x", headers: &[], body };
        let got = call(&request, &control).and_then(|r| Ok((r.status, r.read_body()?)));
        assert!(control.sent());
        got
    }

    fn assert_no_answer(case: &Broken) {
        let server = RawServer::start(free_addr(), case.raw);
        for method in ["POST", "GET"] {
            match ask(&server, method).unwrap_err() {
                AttemptError::Malformed(error) => {
                    assert!(!case.fault.is_empty() && error.to_string().contains(case.fault));
                }
                error => assert_eq!((error, case.fault), (AttemptError::ConnectionLost, "")),
            }
        }
        assert_eq!(server.arrivals(), 2, "a call was repeated");
    }

    fn assert_passes(case: &Sound) {
        let server = RawServer::start(free_addr(), case.raw);
        assert_eq!(ask(&server, case.method).unwrap(), (case.status, case.body.into()));
        assert_eq!(server.arrivals(), 1);
    }

    malformed_answers!(assert_no_answer);
    short_answers!(assert_no_answer);
    sound_answers!(assert_passes);

    #[test]
    fn answer_that_is_reset_while_its_upload_is_written_is_not_whole() {
        let addr = early_server().to_string();
        for _ in 0..ROUNDS {
            let control = CallControl::new(TIMEOUT, TIMEOUT, Box::new(|| false));
            let body = vec![b'x'; UPLOAD];
            let request =
                Call { addr: &addr, method: "POST", path: "/x", headers: &[], body: &body };
            let got = call(&request, &control).and_then(Response::read_body);
            assert_eq!(got.unwrap_err(), AttemptError::ConnectionLost);
            assert!(control.sent());
        }
    }
}
