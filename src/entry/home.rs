//! Keys that the fleet issues: each belongs to the instance that issued it and needs no log.

use super::fail::Failure;
use super::front::{Context, HOP_HEADER};
use super::keyed::{HOME, UUID_LEN};
use super::plain::{HOP_BY_HOP_HEADERS, end_to_end_headers};
use super::{Entry, gossip};
use crate::adapter::endpoint::{self, Call, CallControl};
use crate::adapter::serve::Reply;
use crate::policy::claim::Answer;

/// Longest time that the issuing instance is given, in milliseconds.
const LIMIT: u64 = 60_000;

impl Entry {
    /// Passes a request whose key another instance has issued on to that instance; false when
    /// it is for this one.
    pub(super) fn pass_home(
        &self,
        key: &str,
        context: &Context<'_>,
        reply: &mut Reply<'_>,
    ) -> Result<bool, Failure> {
        let request = &context.request;
        let Some(rest) = key.strip_prefix(HOME) else {
            return Ok(false);
        };
        let boot = rest.get(..UUID_LEN).and_then(|b| uuid::Uuid::parse_str(b).ok());
        let Some(boot) = boot else {
            let text = format!("a key that begins with `{HOME}` must be one that was issued");
            return Err(Failure::not_run(400, "bad_key", text));
        };
        if boot == self.boot {
            return Ok(false);
        }
        let gone = || {
            let text = "the instance that issued this key can't be reached";
            Failure::unknown(409, "key_home_gone", text)
        };
        if request.header(HOP_HEADER).is_some() {
            return Err(gone());
        }
        let row = gossip::row_of(self, boot).ok_or_else(gone)?;
        let mut headers: Vec<(String, String)> = request
            .headers
            .iter()
            .filter(|(n, _)| !HOP_BY_HOP_HEADERS.contains(&n.as_str()))
            .cloned()
            .collect();
        headers.push((HOP_HEADER.to_owned(), self.settings.name.clone()));
        let path = format!("{}?{}", request.path, request.query);
        let call = Call {
            addr: &row.addr,
            method: &request.method,
            path: &path,
            headers: &headers,
            body: &request.body,
        };
        let watch = CallControl::new(LIMIT, LIMIT, Box::new(|| false));
        let passed_on = endpoint::call(&call, &watch).and_then(|a| {
            let (status, headers) = (a.status, a.headers.clone());
            a.read_body().map(|body| Answer { status, headers: end_to_end_headers(headers), body })
        });
        match passed_on {
            Ok(answer) => {
                context.send(&answer, reply);
                Ok(true)
            }
            Err(fault) => {
                tracing::warn!("keyed: the home of a key failed: {fault}.");
                Err(gone())
            }
        }
    }
}
