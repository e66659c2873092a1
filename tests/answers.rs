//! Answers that the protocol doesn't allow are none for the clients of endpoints, peers and the platform,
//! and no call is repeated for them. Sound answers pass, odd ones too.
#![allow(clippy::unwrap_used)]

mod common;

use common::answers::{
    Broken, Sound, broken, cut, ends_with_its_connection, of_status, reset, sound, to_head,
};
use common::free_addr;
use common::raw::RawServer;

/// Timeout of a call, in milliseconds.
const TIMEOUT: u64 = 10_000;

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
        let (client, url) = (Client::new(TIMEOUT), format!("http://{}/x", server.addr));
        assert_none(&client.get(&url), case.fault);
        assert_none(&client.post(&url, b"x"), case.fault);
        assert_eq!(server.arrivals(), 2, "a call was repeated");
    }

    fn assert_passes(case: &Sound) {
        if case.method == "HEAD" {
            return;
        }
        let server = RawServer::start(free_addr(), case.raw);
        let (client, url) = (Client::new(TIMEOUT), format!("http://{}/x", server.addr));
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
}

/// Calls of `sassafras-entry` to endpoints.
mod endpoints {
    use super::*;
    use sassafrasworks::adapter::endpoint::{AttemptError, Call, CallControl, call};

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
            let error = ask(&server, method).unwrap_err();
            let expected = match case.fault {
                "" => AttemptError::ConnectionLost,
                _ => AttemptError::InvalidResponse,
            };
            assert_eq!(error, expected);
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
}
