//! Names of the HTTP headers that the relay reads and sets. The platform crate supplies them.

/// Header names as they are sent; comparisons ignore case.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Id of a caller's attempt, echoed by endpoints.
    pub attempt: &'static str,
    /// Remaining time that the caller waits for the response, in milliseconds.
    pub deadline: &'static str,
    /// Access key of a workspace, sent by callers.
    pub key: &'static str,
    /// Name of the workspace, sent to endpoints.
    pub workspace: &'static str,
    /// Id of the endpoint incarnation that may run the request; any other must not.
    pub expect_instance: &'static str,
    /// Proof that the endpoint itself produced the response.
    pub seal: &'static str,
    /// Present on a response when the endpoint has not run the request.
    pub not_run: &'static str,
    /// Load of the endpoint: running and waiting requests, and slots.
    pub load: &'static str,
    /// Present with the value 1 on a response of an endpoint that is leaving.
    pub leaving: &'static str,
    /// Requests a second that the endpoint takes from all instances together.
    pub limit: &'static str,
    /// Priority at the endpoint; 0 is the most urgent.
    pub priority: &'static str,
    /// Segments of the prompt in order, each as ID:TOKENS.
    pub prefix: &'static str,
    /// Number of prompt tokens and maximum number of output tokens.
    pub tokens: &'static str,
    /// Expected number of output tokens.
    pub hint: &'static str,
    /// Id of the last event that the receiver has.
    pub last_event: &'static str,
    /// Id of the attempt that brought the first event of a stream that a caller resumes.
    pub resumes: &'static str,
    /// Other headers that callers must not set; they are dropped.
    pub reserved: &'static [&'static str],
    /// Path of the readiness check.
    pub ready_path: &'static str,
}

impl HeaderNames {
    /// True for a caller's header that must not be forwarded to an endpoint.
    pub fn is_reserved(&self, name: &str) -> bool {
        let own = [self.key, self.workspace, self.expect_instance, self.priority, self.deadline];
        own.iter().chain(self.reserved).any(|n| n.eq_ignore_ascii_case(name))
    }

    /// True for a header without which a request would mean something else. It is forwarded even if
    /// the `Connection` header names it.
    pub fn is_end_to_end(&self, name: &str) -> bool {
        let names = [
            self.attempt,
            self.prefix,
            self.tokens,
            self.last_event,
            self.resumes,
            self.hint,
            "host",
        ];
        names.iter().any(|n| n.eq_ignore_ascii_case(name))
    }
}
