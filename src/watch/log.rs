//! Structured log lines on standard output: JSON, one a line, bounded, never blocking.
//!
//! Lines are gathered and written by a task when standard output takes them. What does not fit is
//! counted, and the count is told with the next line that does.

use std::cell::RefCell;
use std::fmt::Write as _;
use std::fs::File;
use std::io::Write as _;
use std::mem::ManuallyDrop;
use std::os::fd::{AsRawFd, FromRawFd};
use std::rc::Rc;

use crate::unit::{Date, Moment};

/// Bytes that may wait for standard output; some hundred lines.
const WAITING: usize = 64 * 1024;

/// A value of a field.
pub enum Value<'a> {
    /// Text.
    Text(&'a str),
    /// A number.
    Number(f64),
    /// True or false.
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
    waiting: Vec<u8>,
    dropped: u64,
    /// Where they go; nowhere if the process has no standard output.
    out: Option<ManuallyDrop<File>>,
}

/// Writer of the lines of one process; clones share it.
#[derive(Clone, Default)]
pub struct Logger {
    buffer: Rc<RefCell<Buffer>>,
}

impl Logger {
    /// A writer to standard output, which from now on refuses what it cannot take at once, in
    /// place of blocking the process.
    pub fn to_stdout() -> Logger {
        // SAFETY: the descriptor is open from the start of the process, and is never closed here.
        let out = ManuallyDrop::new(unsafe { File::from_raw_fd(libc::STDOUT_FILENO) });
        never_block(&out);
        let buffer = Buffer { out: Some(out), ..Buffer::default() };
        Logger { buffer: Rc::new(RefCell::new(buffer)) }
    }

    /// Adds a line: what happened, when, and the fields that decided it.
    pub fn log(&self, event: &str, date: Date, now: Moment, fields: &[(&str, Value)]) {
        let mut buffer = self.buffer.borrow_mut();
        if buffer.waiting.len() > WAITING {
            buffer.dropped += 1;
            return;
        }
        let mut line = String::with_capacity(200);
        // Writing to a string cannot fail.
        let _ = write!(line, "{{\"at_ms\":{},\"up_ms\":{}", date.0 / 1000, now.0 / 1000);
        push(&mut line, "event", &Value::Text(event));
        for (name, value) in fields {
            push(&mut line, name, value);
        }
        let dropped = std::mem::take(&mut buffer.dropped);
        if dropped > 0 {
            push(&mut line, "lines_dropped_before", &Value::from(dropped));
        }
        line.push_str("}\n");
        buffer.waiting.extend_from_slice(line.as_bytes());
    }

    /// Hands to standard output what it takes now.
    pub fn flush(&self) {
        let buffer = &mut *self.buffer.borrow_mut();
        let Some(out) = &mut buffer.out else {
            buffer.waiting.clear();
            return;
        };
        let mut sent = 0;
        while sent < buffer.waiting.len() {
            match out.write(&buffer.waiting[sent..]) {
                Ok(0) => break,
                Ok(count) => sent += count,
                Err(fault) if fault.kind() == std::io::ErrorKind::Interrupted => {}
                // A full pipe takes the rest later; a closed one never does, and the bound holds.
                Err(_) => break,
            }
        }
        buffer.waiting.drain(..sent);
    }
}

fn never_block(out: &File) {
    // SAFETY: both calls read and set the flags of an open descriptor, and touch no memory.
    unsafe {
        let flags = libc::fcntl(out.as_raw_fd(), libc::F_GETFL);
        if flags >= 0 {
            libc::fcntl(out.as_raw_fd(), libc::F_SETFL, flags | libc::O_NONBLOCK);
        }
    }
}

fn push(line: &mut String, name: &str, value: &Value) {
    let _ = write!(line, ",\"{name}\":");
    match value {
        Value::Text(text) => quote(line, text),
        Value::Number(number) if number.is_finite() => {
            let _ = write!(line, "{}", (number * 1000.0).round() / 1000.0);
        }
        Value::Number(_) => line.push_str("null"),
        Value::Flag(flag) => line.push_str(if *flag { "true" } else { "false" }),
    }
}

fn quote(line: &mut String, text: &str) {
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
