//! The demo's steps against three instances and the stand-ins.

use std::net::SocketAddr;
use std::thread;

use serde_json::Value;

use super::client::{Caller, chat};
use crate::adapter::clock::Clock;
use crate::adapter::http::Client;
use crate::standin::engine;

/// Longest wait for the instances, in milliseconds.
const READY: u64 = 10_000;
/// Time within which an endpoint that leaves gets no new work, in milliseconds.
const LEAVE: u64 = 5_000;
const ENTRIES: [&str; 3] = ["127.0.0.1:17201", "127.0.0.1:17202", "127.0.0.1:17203"];
const ADMINS: [&str; 3] = ["127.0.0.1:17301", "127.0.0.1:17302", "127.0.0.1:17303"];

type Step = Result<String, String>;

/// The demo.
pub struct Demo {
    control: SocketAddr,
    client: Client,
    clock: Clock,
}

impl Demo {
    /// A demo whose stand-ins are controlled at `control`.
    pub fn new(control: SocketAddr) -> Self {
        Self { control, client: Client::new(2_000), clock: Clock::system() }
    }

    /// Takes all steps; prints a row for each. The error names the step that failed.
    pub fn run(&self) -> Result<(), String> {
        let steps: [(&str, &dyn Fn() -> Step); 7] = [
            ("instances are ready", &|| self.ready()),
            ("streamed spine layout", &|| self.layout()),
            ("title check", &|| self.title()),
            ("stock lookup", &|| self.stock()),
            ("crew booking, sent twice", &|| self.booking()),
            ("engine crash in mid-stream", &|| self.crash()),
            ("endpoint leaves", &|| self.leave()),
        ];
        for (name, step) in steps {
            match step() {
                Ok(what) => println!("{name:<28} ok   {what}"),
                Err(why) => {
                    println!("{name:<28} FAIL {why}");
                    return Err(name.to_owned());
                }
            }
        }
        Ok(())
    }

    fn ready(&self) -> Step {
        let start = self.clock.now();
        loop {
            let ready = |addr: &str| self.client.get(&format!("http://{addr}/readyz")).is_ok();
            let n = ENTRIES.into_iter().filter(|addr| ready(addr)).count();
            let took = self.clock.now() - start;
            if n == ENTRIES.len() {
                return Ok(format!("{n} instances with a configuration after {took} ms"));
            }
            if took > READY {
                return Err(format!("only {n} are ready after {took} ms"));
            }
            self.clock.sleep(50);
        }
    }

    fn layout(&self) -> Step {
        let prompt = "collection spine layout for twelve atlases len=60";
        let ask = Caller::new(ENTRIES[0], "recife-secret");
        let got = ask.stream("spine-1", prompt, 500).map_err(|e| e.to_string())?;
        same(&got.text, &engine::answer(prompt, 500), got.whole)?;
        Ok(format!("{} tokens, the first after {:.0} ms", got.tokens, got.first))
    }

    fn title(&self) -> Step {
        let prompt = "is `Grande Sertao` 4711 or 4712? len=12";
        let body = chat("spine-1", prompt, 100, false).to_string();
        let ask = Caller::new(ENTRIES[1], "olinda-secret").class("title-check");
        let got = ask.send("POST", "/v1/chat/completions", body.as_bytes());
        let got = got.map_err(|e| e.to_string())?;
        let text = got.json()["choices"][0]["message"]["content"].as_str().unwrap_or("").to_owned();
        same(&text, &engine::answer(prompt, 100), got.whole)?;
        Ok(format!("whole answer after {:.0} ms", got.last))
    }

    fn stock(&self) -> Step {
        let ask = Caller::new(ENTRIES[2], "recife-secret");
        let got =
            ask.send("GET", "/svc/orders/stock?title=4711", b"").map_err(|e| e.to_string())?;
        if got.status != 200 || got.json()["query"] != "title=4711" {
            return Err(format!("status {}: {}", got.status, got.text));
        }
        Ok(format!("answered by {} after {:.0} ms", got.json()["by"], got.last))
    }

    fn booking(&self) -> Step {
        let key = uuid::Uuid::now_v7().to_string();
        let send = |addr: &str| {
            let ask = Caller::new(addr, "praha-secret").key(&key).header("x-operation", &key);
            ask.send("POST", "/svc/orders/bookings", b"{\"crew\":7}").map_err(|e| e.to_string())
        };
        let (one, two) = thread::scope(|s| {
            let one = s.spawn(|| send(ENTRIES[0]));
            let two = s.spawn(|| send(ENTRIES[1]));
            (one.join(), two.join())
        });
        let lost = |_| "a caller panicked".to_owned();
        let (one, two) = (one.map_err(lost)??, two.map_err(lost)??);
        if one.status != 200 || one.text != two.text {
            return Err(format!("answers differ: {} and {}", one.text, two.text));
        }
        let counts: Value = self.get("/counts")?;
        match counts[&key].as_u64() {
            Some(1) => Ok("executed once, both callers have the same answer".to_owned()),
            n => Err(format!("executed {n:?} times")),
        }
    }

    fn crash(&self) -> Step {
        let prompt = "long site assessment of the square len=150";
        let got = thread::scope(|s| {
            let asked = s.spawn(|| {
                let ask = Caller::new(ENTRIES[2], "praha-secret").class("chat");
                ask.stream("assist-1", prompt, 500)
            });
            self.clock.sleep(1_000);
            let crashed = self.busy_engine().and_then(|name| {
                self.post(&format!("/engine?name={name}&fault=crash")).map(|()| name)
            });
            let got = asked.join().map_err(|_| "the caller panicked".to_owned())?;
            Ok::<_, String>((crashed?, got.map_err(|e| e.to_string())?))
        })?;
        let (engine, got) = got;
        same(&got.text, &engine::answer(prompt, 500), got.whole)?;
        let trace: Value = self
            .client
            .get_json(&format!("http://{}/explain/{}", ADMINS[0], got.id))
            .map_err(|e| e.to_string())?;
        let attempts = trace["attempts"].as_array().map_or(0, Vec::len);
        if attempts < 2 {
            return Err(format!("{engine} crashed, but there was {attempts} attempt"));
        }
        Ok(format!("{engine} crashed; {} tokens, each once, in {attempts} attempts", got.tokens))
    }

    fn leave(&self) -> Step {
        self.post("/list?name=orders-1&phase=leaving")?;
        self.clock.sleep(LEAVE);
        for i in 0..30 {
            let ask = Caller::new(ENTRIES[i % 3], "recife-secret");
            let got = ask.send("GET", "/svc/orders/stock", b"").map_err(|e| e.to_string())?;
            if got.json()["by"] == "orders-1" {
                return Err("orders-1 still gets work".to_owned());
            }
        }
        Ok("30 calls after 5 s, none to orders-1".to_owned())
    }

    /// Engine on which some instance has a request.
    fn busy_engine(&self) -> Result<String, String> {
        for admin in ADMINS {
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

fn same(got: &str, want: &str, whole: bool) -> Result<(), String> {
    if !whole {
        return Err(format!("the answer is not whole: {got}"));
    }
    if got != want {
        return Err(format!("got `{got}`, expected `{want}`"));
    }
    Ok(())
}
