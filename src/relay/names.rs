//! Names of the headers that the relay reads and sets. An adapter supplies them.

/// Header names, in the spelling to send; they are compared without regard to case.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Id of one attempt of a caller, echoed by endpoints.
    pub attempt: &'static str,
    /// Time that the caller still waits, in milliseconds.
    pub deadline: &'static str,
    /// Key of a workspace.
    pub key: &'static str,
    /// Name of the workspace, for endpoints.
    pub workspace: &'static str,
    /// Incarnation that alone may run the request.
    pub expect_instance: &'static str,
    /// Proof of the endpoint that made an answer.
    pub seal: &'static str,
    /// Present when an endpoint has not run the request.
    pub not_run: &'static str,
    /// Load of the endpoint: running, waiting, slots.
    pub load: &'static str,
    /// Priority inside an endpoint, 0 first.
    pub priority: &'static str,
    /// Parts of the prompt as ID:TOKENS, in order.
    pub prefix: &'static str,
    /// Tokens of the prompt and the most to generate.
    pub tokens: &'static str,
    /// Estimate of the tokens to generate.
    pub hint: &'static str,
    /// Last event that the receiver has.
    pub last_event: &'static str,
    /// Headers that callers may not set; they are dropped.
    pub reserved: &'static [&'static str],
    /// Path of the readiness check.
    pub ready_path: &'static str,
}

impl HeaderNames {
    /// True when a header of a caller must not reach an endpoint.
    pub fn is_reserved(&self, name: &str) -> bool {
        let own = [self.key, self.workspace, self.expect_instance, self.priority, self.deadline];
        own.iter().chain(self.reserved).any(|n| n.eq_ignore_ascii_case(name))
    }

    /// True for a header without which a request would mean something else.
    pub fn is_end_to_end(&self, name: &str) -> bool {
        let names = [self.attempt, self.prefix, self.tokens, self.last_event, self.hint, "host"];
        names.iter().any(|n| n.eq_ignore_ascii_case(name))
    }
}
