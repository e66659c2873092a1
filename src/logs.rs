//! Log output that never blocks: lines go through a bounded queue to a thread that writes them.

use std::io::{self, IsTerminal, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Mutex, OnceLock, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

/// Lines that wait to be written.
const QUEUE: usize = 4_096;
/// Lines let through in a second; more are counted and left out.
const RATE: u64 = 400;
/// Longest wait for the queue at the end of the process.
const FLUSH: Duration = Duration::from_millis(200);

static LEFT_OUT: AtomicU64 = AtomicU64::new(0);
static SENDER: OnceLock<SyncSender<Line>> = OnceLock::new();

/// Where lines go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

enum Line {
    Text(Vec<u8>),
    Flush(SyncSender<()>),
}

/// Lines left out since the start, for want of room or over the rate.
pub fn left_out() -> u64 {
    LEFT_OUT.load(Ordering::Relaxed)
}

/// Starts the log output; `RUST_LOG` overrides the level.
pub fn start(target: Target) {
    let (sender, receiver) = sync_channel(QUEUE);
    thread::spawn(move || match target {
        Target::Stdout => write_all(&receiver, io::stdout()),
        Target::Stderr => write_all(&receiver, io::stderr()),
    });
    if SENDER.set(sender.clone()).is_err() {
        eprintln!("logs: started twice");
        return;
    }
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let done = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(Writer { sender, gate: Mutex::new(Gate::new(Instant::now())) })
        .with_ansi(target == Target::Stderr && io::stderr().is_terminal())
        .with_target(false)
        .try_init();
    if let Err(e) = done {
        eprintln!("logs can't be started: {e}");
    }
}

/// Waits a short time until what was logged has been written.
pub fn flush() {
    let Some(sender) = SENDER.get() else { return };
    let (done, wait) = sync_channel(1);
    if sender.try_send(Line::Flush(done)).is_ok() && wait.recv_timeout(FLUSH).is_err() {
        LEFT_OUT.fetch_add(1, Ordering::Relaxed);
    }
}

fn write_all(receiver: &Receiver<Line>, mut to: impl Write) {
    let mut told = 0;
    while let Ok(line) = receiver.recv() {
        let left_out = left_out();
        let mut text = match line {
            Line::Text(text) => text,
            Line::Flush(done) => {
                done.try_send(()).ok();
                continue;
            }
        };
        if left_out > told {
            text.extend_from_slice(format!("logs: {left_out} lines left out so far\n").as_bytes());
            told = left_out;
        }
        // Nobody can be told when the output itself is broken.
        to.write_all(&text).ok();
    }
}

/// Lets a bounded number of lines through in each second.
#[derive(Debug)]
pub struct Gate {
    start: Instant,
    second: u64,
    passed: u64,
}

impl Gate {
    /// A gate whose first second begins at `start`.
    pub fn new(start: Instant) -> Self {
        Self { start, second: 0, passed: 0 }
    }

    /// True when a line at `now` may pass.
    pub fn pass(&mut self, now: Instant) -> bool {
        let second = now.duration_since(self.start).as_secs();
        if second != self.second {
            self.second = second;
            self.passed = 0;
        }
        self.passed += 1;
        self.passed <= RATE
    }
}

struct Writer {
    sender: SyncSender<Line>,
    gate: Mutex<Gate>,
}

/// One line on its way into the queue.
struct Slip<'a>(&'a Writer);

impl<'a> MakeWriter<'a> for Writer {
    type Writer = Slip<'a>;

    fn make_writer(&'a self) -> Slip<'a> {
        Slip(self)
    }
}

impl Write for Slip<'_> {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut gate = self.0.gate.lock().unwrap_or_else(PoisonError::into_inner);
        let passed = gate.pass(Instant::now());
        drop(gate);
        if !passed {
            LEFT_OUT.fetch_add(1, Ordering::Relaxed);
            return Ok(line.len());
        }
        match self.0.sender.try_send(Line::Text(line.to_vec())) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                LEFT_OUT.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
