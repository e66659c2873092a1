//! Keys issued by the fleet. Only the instance that issued a key runs its request, so no claim on
//! the log is needed.

use super::fail::Failure;
use super::front::{Context, HOP_HEADER};
use super::keyed::{ISSUED_PREFIX, UUID_LEN};
use super::plain::{HOP_BY_HOP_HEADERS, end_to_end_headers};
use super::{Entry, gossip};
use crate::adapter::endpoint::{self, Call, CallControl};
use crate::adapter::serve::ResponseWriter;
use crate::policy::claim::BufferedResponse;

/// Timeout of a request forwarded to the issuing instance, in milliseconds.
const FORWARD_TIMEOUT: u64 = 60_000;

impl Entry {
    /// Forwards a request to the instance that issued its key and sends the response to the caller.
    /// False if this instance is to run it: it issued the key, or no instance did.
    pub(super) fn forward_to_issuer(
        &self,
        key: &str,
        context: &Context<'_>,
        writer: &mut ResponseWriter<'_>,
    ) -> Result<bool, Failure> {
        let request = &context.request;
        let Some(rest) = key.strip_prefix(ISSUED_PREFIX) else {
            return Ok(false);
        };
        let boot = rest.get(..UUID_LEN).and_then(|b| uuid::Uuid::parse_str(b).ok());
        let Some(boot) = boot else {
            let text =
                format!("a key that begins with `{ISSUED_PREFIX}` must be one that was issued");
            return Err(Failure::not_run(400, "bad_key", text));
        };
        if boot == self.boot {
            return Ok(false);
        }
        let unreachable = || {
            let text = "the instance that issued this key can't be reached";
            Failure::unknown(409, "key_home_gone", text)
        };
        if request.header(HOP_HEADER).is_some() {
            return Err(unreachable());
        }
        let issuer = gossip::instance_by_boot(self, boot).ok_or_else(unreachable)?;
        let mut headers: Vec<(String, String)> = request
            .headers
            .iter()
            .filter(|(n, _)| !HOP_BY_HOP_HEADERS.contains(&n.as_str()))
            .cloned()
            .collect();
        headers.push((HOP_HEADER.to_owned(), self.settings.name.clone()));
        let path = format!("{}?{}", request.path, request.query);
        let call = Call {
            addr: &issuer.addr,
            method: &request.method,
            path: &path,
            headers: &headers,
            body: &request.body,
        };
        let control = CallControl::new(FORWARD_TIMEOUT, FORWARD_TIMEOUT, Box::new(|| false));
        let forwarded = endpoint::call(&call, &control).and_then(|a| {
            let (status, headers) = (a.status, a.headers.clone());
            a.read_body().map(|body| BufferedResponse {
                status,
                headers: end_to_end_headers(headers),
                body,
            })
        });
        match forwarded {
            Ok(response) => {
                context.send(&response, writer);
                Ok(true)
            }
            Err(error) => {
                tracing::warn!("keyed: forwarding to the issuer of a key failed: {error}.");
                Err(unreachable())
            }
        }
    }
}
