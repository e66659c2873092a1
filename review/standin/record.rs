//! The record of a case: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

/// Opens `record.txt` in the folder of the case.
pub fn open(folder: &str) -> std::io::Result<()> {
    let file = File::create(format!("{folder}/record.txt"))?;
    RECORD.get_or_init(|| (Instant::now(), Mutex::new(file)));
    Ok(())
}

/// Milliseconds since the start of the case.
pub fn now() -> u64 {
    RECORD.get().map_or(0, |(start, _)| start.elapsed().as_millis() as u64)
}

/// Writes one line.
pub fn line(text: &str) {
    let Some((_, file)) = RECORD.get() else { return };
    let text = format!("{:>7} {text}\n", now());
    if let Ok(mut file) = file.lock() {
        let _ = file.write_all(text.as_bytes());
    }
}
