//! Non-blocking log output: lines go through a bounded queue to a writer thread. Lines over the
//! rate limit or for which the queue has no room are dropped and counted.

use std::io::{self, IsTerminal, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Mutex, OnceLock, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

/// Capacity of the queue to the writer thread, in lines.
const QUEUE_LINES: usize = 4_096;
/// Most lines accepted in one second; further ones are dropped and counted.
const LINES_PER_SECOND: u64 = 400;
/// Longest time that [`flush`] waits for the queue to be written when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

static DROPPED: AtomicU64 = AtomicU64::new(0);
static SENDER: OnceLock<SyncSender<Line>> = OnceLock::new();

/// Stream that log lines are written to.
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

/// Number of lines dropped since the start because the queue was full, the rate limit was
/// exceeded or the writer thread had ended. A flush that timed out counts as one line.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Starts the log output; `RUST_LOG` overrides the level.
pub fn start(target: Target) {
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    thread::spawn(move || match target {
        Target::Stdout => write_lines(&receiver, io::stdout()),
        Target::Stderr => write_lines(&receiver, io::stderr()),
    });
    if SENDER.set(sender.clone()).is_err() {
        eprintln!("logs: already started");
        return;
    }
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let done = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(Writer { sender, limiter: Mutex::new(RateLimiter::new(Instant::now())) })
        .with_ansi(target == Target::Stderr && io::stderr().is_terminal())
        .with_target(false)
        .try_init();
    if let Err(e) = done {
        eprintln!("logs can't be started: {e}");
    }
}

/// Waits until the queued lines have been written, for 200 ms at most.
pub fn flush() {
    let Some(sender) = SENDER.get() else { return };
    let (done, wait) = sync_channel(1);
    if sender.try_send(Line::Flush(done)).is_ok() && wait.recv_timeout(FLUSH_TIMEOUT).is_err() {
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }
}

fn write_lines(receiver: &Receiver<Line>, mut output: impl Write) {
    let mut reported = 0;
    while let Ok(line) = receiver.recv() {
        let dropped = dropped();
        let mut text = match line {
            Line::Text(text) => text,
            Line::Flush(done) => {
                done.try_send(()).ok();
                continue;
            }
        };
        if dropped > reported {
            text.extend_from_slice(format!("logs: {dropped} lines dropped so far\n").as_bytes());
            reported = dropped;
        }
        // A write error has nowhere to be reported: the log output itself is broken.
        output.write_all(&text).ok();
    }
}

/// Allows a fixed number of lines in each second.
#[derive(Debug)]
pub struct RateLimiter {
    start: Instant,
    second: u64,
    passed: u64,
}

impl RateLimiter {
    /// A limiter whose first second begins at `start`.
    pub fn new(start: Instant) -> Self {
        Self { start, second: 0, passed: 0 }
    }

    /// Counts a line at `now` and returns whether it is within the limit.
    pub fn allow(&mut self, now: Instant) -> bool {
        let second = now.duration_since(self.start).as_secs();
        if second != self.second {
            self.second = second;
            self.passed = 0;
        }
        self.passed += 1;
        self.passed <= LINES_PER_SECOND
    }
}

struct Writer {
    sender: SyncSender<Line>,
    limiter: Mutex<RateLimiter>,
}

/// Sends one formatted line to the queue, or drops it.
struct LineSender<'a>(&'a Writer);

impl<'a> MakeWriter<'a> for Writer {
    type Writer = LineSender<'a>;

    fn make_writer(&'a self) -> LineSender<'a> {
        LineSender(self)
    }
}

impl Write for LineSender<'_> {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut limiter = self.0.limiter.lock().unwrap_or_else(PoisonError::into_inner);
        let allowed = limiter.allow(Instant::now());
        drop(limiter);
        if !allowed {
            DROPPED.fetch_add(1, Ordering::Relaxed);
            return Ok(line.len());
        }
        match self.0.sender.try_send(Line::Text(line.to_vec())) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
