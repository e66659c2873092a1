//! The demo: a sequence of steps against three entry instances and the stand-ins.

use std::net::SocketAddr;
use std::thread;

use serde_json::Value;

use super::client::{Caller, chat_body};
use super::{CONTROL_LIMIT, CONTROL_TIMEOUT};
use crate::adapter::clock::Clock;
use crate::adapter::http::Client;
use crate::standin::engine;

/// Longest wait until all instances are ready, in milliseconds.
const READY_TIMEOUT: u64 = 10_000;
/// Time after which a leaving endpoint must get no new requests, in milliseconds.
const LEAVE_DELAY: u64 = 5_000;
/// Addresses of the instances for callers.
const ENTRY_ADDRS: [&str; 3] = ["127.0.0.1:17201", "127.0.0.1:17202", "127.0.0.1:17203"];
/// Addresses of the instances for operators.
const ADMIN_ADDRS: [&str; 3] = ["127.0.0.1:17301", "127.0.0.1:17302", "127.0.0.1:17303"];

/// What a step found, as printed in its row, or why it failed.
type StepResult = Result<String, String>;

/// Runner of the demo.
pub struct Demo {
    control: SocketAddr,
    client: Client,
    clock: Clock,
}

impl Demo {
    /// Creates a demo; `control` is the control address of the stand-ins.
    pub fn new(control: SocketAddr) -> Self {
        Self {
            control,
            client: Client::new(CONTROL_TIMEOUT, CONTROL_LIMIT),
            clock: Clock::system(),
        }
    }

    /// Runs the steps up to the first that fails and prints a row for each. The error is the name
    /// of the step that failed.
    pub fn run(&self) -> Result<(), String> {
        let steps: [(&str, &dyn Fn() -> StepResult); 7] = [
            ("instances are ready", &|| self.wait_ready()),
            ("streamed spine layout", &|| self.stream_layout()),
            ("title check", &|| self.check_title()),
            ("stock lookup", &|| self.look_up_stock()),
            ("crew booking, sent twice", &|| self.book_twice()),
            ("engine crash in mid-stream", &|| self.crash_engine()),
            ("endpoint leaves", &|| self.leave_endpoint()),
        ];
        for (name, step) in steps {
            match step() {
                Ok(detail) => println!("{name:<28} ok   {detail}"),
                Err(reason) => {
                    println!("{name:<28} FAIL {reason}");
                    return Err(name.to_owned());
                }
            }
        }
        Ok(())
    }

    fn wait_ready(&self) -> StepResult {
        let start = self.clock.now();
        loop {
            let ready = |addr: &str| self.client.get(&format!("http://{addr}/readyz")).is_ok();
            let n = ENTRY_ADDRS.into_iter().filter(|addr| ready(addr)).count();
            let elapsed = self.clock.now() - start;
            if n == ENTRY_ADDRS.len() {
                return Ok(format!("{n} instances with a configuration after {elapsed} ms"));
            }
            if elapsed > READY_TIMEOUT {
                return Err(format!("only {n} are ready after {elapsed} ms"));
            }
            self.clock.sleep(50);
        }
    }

    /// Streams a response and compares it with the expected text.
    fn stream_layout(&self) -> StepResult {
        let prompt = "collection spine layout for twelve atlases len=60";
        let caller = Caller::new(ENTRY_ADDRS[0], "recife-secret");
        let response = caller.stream("spine-1", prompt, 500).map_err(|e| e.to_string())?;
        check_response(&response.text, &engine::response_text(prompt, 500), response.complete)?;
        Ok(format!("{} tokens, the first after {:.0} ms", response.tokens, response.first_token))
    }

    /// Requests a response without streaming and compares it with the expected text.
    fn check_title(&self) -> StepResult {
        let prompt = "is `Grande Sertao` 4711 or 4712? len=12";
        let body = chat_body("spine-1", prompt, 100, false).to_string();
        let caller = Caller::new(ENTRY_ADDRS[1], "olinda-secret").class("title-check");
        let response = caller.send("POST", "/v1/chat/completions", body.as_bytes());
        let response = response.map_err(|e| e.to_string())?;
        let text =
            response.json()["choices"][0]["message"]["content"].as_str().unwrap_or("").to_owned();
        check_response(&text, &engine::response_text(prompt, 100), response.complete)?;
        Ok(format!("whole answer after {:.0} ms", response.last_token))
    }

    fn look_up_stock(&self) -> StepResult {
        let caller = Caller::new(ENTRY_ADDRS[2], "recife-secret");
        let response =
            caller.send("GET", "/svc/orders/stock?title=4711", b"").map_err(|e| e.to_string())?;
        if response.status != 200 || response.json()["query"] != "title=4711" {
            return Err(format!("status {}: {}", response.status, response.text));
        }
        Ok(format!("answered by {} after {:.0} ms", response.json()["by"], response.last_token))
    }

    /// Sends one booking to two instances at the same time with the same idempotency key. It must
    /// run once, and both callers must get the same response.
    fn book_twice(&self) -> StepResult {
        let key = uuid::Uuid::now_v7().to_string();
        let send = |addr: &str| {
            let caller = Caller::new(addr, "praha-secret").key(&key).header("x-operation", &key);
            caller.send("POST", "/svc/orders/bookings", b"{\"crew\":7}").map_err(|e| e.to_string())
        };
        let (first, second) = thread::scope(|s| {
            let first = s.spawn(|| send(ENTRY_ADDRS[0]));
            let second = s.spawn(|| send(ENTRY_ADDRS[1]));
            (first.join(), second.join())
        });
        let panicked = |_| "a caller panicked".to_owned();
        let (first, second) = (first.map_err(panicked)??, second.map_err(panicked)??);
        if first.status != 200 || first.text != second.text {
            return Err(format!("answers differ: {} and {}", first.text, second.text));
        }
        let counts: Value = self.get("/counts")?;
        match counts[&key].as_u64() {
            Some(1) => Ok("executed once, both callers have the same answer".to_owned()),
            n => Err(format!("executed {n:?} times")),
        }
    }

    /// Crashes an engine that is generating a stream. The stream must still be complete, with a
    /// further attempt in its trace.
    fn crash_engine(&self) -> StepResult {
        let prompt = "long site assessment of the square len=150";
        let result = thread::scope(|s| {
            let handle = s.spawn(|| {
                let caller = Caller::new(ENTRY_ADDRS[2], "praha-secret").class("chat");
                caller.stream("assist-1", prompt, 500)
            });
            self.clock.sleep(1_000);
            let crashed = self.busy_engine().and_then(|name| {
                self.post(&format!("/engine?name={name}&fault=crash")).map(|()| name)
            });
            let response = handle.join().map_err(|_| "the caller panicked".to_owned())?;
            Ok::<_, String>((crashed?, response.map_err(|e| e.to_string())?))
        })?;
        let (engine, response) = result;
        check_response(&response.text, &engine::response_text(prompt, 500), response.complete)?;
        let trace: Value = self
            .client
            .get_json(&format!("http://{}/explain/{}", ADMIN_ADDRS[0], response.id))
            .map_err(|e| e.to_string())?;
        let attempts = trace["attempts"].as_array().map_or(0, Vec::len);
        if attempts < 2 {
            return Err(format!("{engine} crashed, but there was {attempts} attempt"));
        }
        Ok(format!(
            "{engine} crashed; {} tokens, each once, in {attempts} attempts",
            response.tokens
        ))
    }

    /// Marks an endpoint as leaving and checks that it gets no requests after [`LEAVE_DELAY`].
    fn leave_endpoint(&self) -> StepResult {
        self.post("/list?name=orders-1&phase=leaving")?;
        self.clock.sleep(LEAVE_DELAY);
        for i in 0..30 {
            let caller = Caller::new(ENTRY_ADDRS[i % 3], "recife-secret");
            let response =
                caller.send("GET", "/svc/orders/stock", b"").map_err(|e| e.to_string())?;
            if response.json()["by"] == "orders-1" {
                return Err("orders-1 still gets work".to_owned());
            }
        }
        Ok("30 calls after 5 s, none to orders-1".to_owned())
    }

    /// Name of an engine on which some instance has a request running.
    fn busy_engine(&self) -> Result<String, String> {
        for admin in ADMIN_ADDRS {
            let status: Value = self
                .client
                .get_json(&format!("http://{admin}/status"))
                .map_err(|e| e.to_string())?;
            let services = status["services"].as_array().cloned().unwrap_or_default();
            let endpoints = services.iter().filter_map(|s| s["endpoints"].as_array()).flatten();
            let mut busy = endpoints.filter(|e| e["own"].as_u64().unwrap_or(0) > 0);
            if let Some(e) = busy.next() {
                return Ok(e["name"].as_str().unwrap_or("").to_owned());
            }
        }
        Err("no engine is busy".to_owned())
    }

    fn get(&self, path: &str) -> Result<Value, String> {
        let url = format!("http://{}{path}", self.control);
        self.client.get_json(&url).map_err(|e| e.to_string())
    }

    fn post(&self, path: &str) -> Result<(), String> {
        let url = format!("http://{}{path}", self.control);
        self.client.post(&url, &[]).map(drop).map_err(|e| e.to_string())
    }
}

/// Checks that a response is complete and has the expected text.
fn check_response(got: &str, want: &str, complete: bool) -> Result<(), String> {
    if !complete {
        return Err(format!("the answer is not whole: {got}"));
    }
    if got != want {
        return Err(format!("got `{got}`, expected `{want}`"));
    }
    Ok(())
}
