//! Structured log on standard output: one JSON object per line, written without blocking.
//!
//! Lines are buffered, and a task writes them when standard output accepts them. When the buffer is
//! full, lines are dropped and counted; the next line that fits reports the count.

use std::cell::RefCell;
use std::fmt::Write as _;
use std::fs::File;
use std::io::Write as _;
use std::mem::ManuallyDrop;
use std::os::fd::{AsRawFd, FromRawFd};
use std::rc::Rc;

use crate::unit::{Date, Moment};

/// Bytes that may be buffered until standard output accepts them: some hundred lines.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// Value of a field of a log line.
pub enum Value<'a> {
    /// Text, which is quoted and escaped.
    Text(&'a str),
    /// Number, written with at most three decimals; `null` if it is not finite.
    Number(f64),
    /// Boolean.
    Flag(bool),
}

impl<'a> From<&'a str> for Value<'a> {
    fn from(text: &'a str) -> Value<'a> {
        Value::Text(text)
    }
}

impl From<f64> for Value<'_> {
    fn from(number: f64) -> Self {
        Value::Number(number)
    }
}

impl From<u64> for Value<'_> {
    fn from(number: u64) -> Self {
        Value::Number(number as f64)
    }
}

impl From<u32> for Value<'_> {
    fn from(number: u32) -> Self {
        Value::Number(f64::from(number))
    }
}

impl From<usize> for Value<'_> {
    fn from(number: usize) -> Self {
        Value::Number(number as f64)
    }
}

impl From<bool> for Value<'_> {
    fn from(flag: bool) -> Self {
        Value::Flag(flag)
    }
}

#[derive(Default)]
struct Buffer {
    pending: Vec<u8>,
    dropped: u64,
    /// Standard output; `None` for a logger that discards its lines.
    out: Option<ManuallyDrop<File>>,
}

/// Logger of a process. Clones share one buffer.
#[derive(Clone, Default)]
pub struct Logger {
    buffer: Rc<RefCell<Buffer>>,
}

impl Logger {
    /// Creates a logger that writes to standard output, and sets standard output to non-blocking
    /// mode, so that a slow reader cannot block the process.
    pub fn to_stdout() -> Logger {
        // SAFETY: the descriptor is open from the start of the process and is never closed here.
        let out = ManuallyDrop::new(unsafe { File::from_raw_fd(libc::STDOUT_FILENO) });
        set_nonblocking(&out);
        let buffer = Buffer { out: Some(out), ..Buffer::default() };
        Logger { buffer: Rc::new(RefCell::new(buffer)) }
    }

    /// Appends a line with the event, the time and the fields to the buffer. Drops it if the buffer
    /// is full.
    pub fn log(&self, event: &str, date: Date, now: Moment, fields: &[(&str, Value)]) {
        let mut buffer = self.buffer.borrow_mut();
        if buffer.pending.len() > MAX_BUFFERED_BYTES {
            buffer.dropped += 1;
            return;
        }
        let mut line = String::with_capacity(200);
        // Writing to a string cannot fail.
        let _ = write!(line, "{{\"at_ms\":{},\"up_ms\":{}", date.0 / 1000, now.0 / 1000);
        push_field(&mut line, "event", &Value::Text(event));
        for (name, value) in fields {
            push_field(&mut line, name, value);
        }
        let dropped = std::mem::take(&mut buffer.dropped);
        if dropped > 0 {
            push_field(&mut line, "lines_dropped_before", &Value::from(dropped));
        }
        line.push_str("}\n");
        buffer.pending.extend_from_slice(line.as_bytes());
    }

    /// Writes as much of the buffer as standard output accepts without blocking.
    pub fn flush(&self) {
        let buffer = &mut *self.buffer.borrow_mut();
        let Some(out) = &mut buffer.out else {
            buffer.pending.clear();
            return;
        };
        let mut sent = 0;
        while sent < buffer.pending.len() {
            match out.write(&buffer.pending[sent..]) {
                Ok(0) => break,
                Ok(count) => sent += count,
                Err(fault) if fault.kind() == std::io::ErrorKind::Interrupted => {}
                // A full pipe accepts the rest later. A closed one never does; the buffer's limit
                // then bounds the memory.
                Err(_) => break,
            }
        }
        buffer.pending.drain(..sent);
    }
}

fn set_nonblocking(out: &File) {
    // SAFETY: both calls read and set the flags of an open descriptor, and touch no memory.
    unsafe {
        let flags = libc::fcntl(out.as_raw_fd(), libc::F_GETFL);
        if flags >= 0 {
            libc::fcntl(out.as_raw_fd(), libc::F_SETFL, flags | libc::O_NONBLOCK);
        }
    }
}

fn push_field(line: &mut String, name: &str, value: &Value) {
    let _ = write!(line, ",\"{name}\":");
    match value {
        Value::Text(text) => push_quoted(line, text),
        Value::Number(number) if number.is_finite() => {
            let _ = write!(line, "{}", (number * 1000.0).round() / 1000.0);
        }
        Value::Number(_) => line.push_str("null"),
        Value::Flag(flag) => line.push_str(if *flag { "true" } else { "false" }),
    }
}

fn push_quoted(line: &mut String, text: &str) {
    line.push('"');
    for c in text.chars() {
        match c {
            '"' | '\\' => {
                line.push('\\');
                line.push(c);
            }
            c if c.is_control() => {
                let _ = write!(line, "\\u{:04x}", u32::from(c));
            }
            c => line.push(c),
        }
    }
    line.push('"');
}
