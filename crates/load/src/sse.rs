//! Reads server-sent events from a body, one at a time, as they arrive.
//!
//! Invariants: an event that the end of the connection truncates is not returned.

use std::io::{self, BufRead};

/// The longest accepted line, in bytes. A longer one is an error, so that memory stays bounded.
const MAX_LINE_BYTES: u64 = 1 << 20;

/// One server-sent event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerEvent {
    /// The id, from which a client can resume the stream.
    pub id: Option<String>,
    /// The name of the event, if it has one.
    pub name: Option<String>,
    /// The data lines, joined by newlines.
    pub data: String,
}

/// A reader of events from a body.
pub struct EventReader<R> {
    body: R,
    line: String,
}

impl<R: BufRead> EventReader<R> {
    /// Creates a reader that starts at the beginning of the body.
    pub fn new(body: R) -> Self {
        Self {
            body,
            line: String::new(),
        }
    }

    /// Reads the next event; `None` at the end of the body.
    ///
    /// # Errors
    /// Fails if the connection breaks, or if a line is too long or not UTF-8.
    pub fn next_event(&mut self) -> io::Result<Option<ServerEvent>> {
        let mut event = ServerEvent::default();
        let mut has_data = false;
        while self.next_line()? {
            let line = self.line.trim_end_matches(['\r', '\n']);
            if line.is_empty() && has_data {
                return Ok(Some(event));
            }
            let (field, value) = line.split_once(':').unwrap_or((line, ""));
            let value = value.strip_prefix(' ').unwrap_or(value);
            match field {
                "data" => {
                    if has_data {
                        event.data.push('\n');
                    }
                    event.data.push_str(value);
                    has_data = true;
                }
                "id" => event.id = Some(value.to_owned()),
                "event" => event.name = Some(value.to_owned()),
                // The standard requires that comments (an empty field) and unknown fields are skipped.
                _ => {}
            }
        }
        Ok(None)
    }

    /// Reads a complete line; returns `false` if the body ended before the end of the line.
    fn next_line(&mut self) -> io::Result<bool> {
        self.line.clear();
        let mut limited = io::Read::take(&mut self.body, MAX_LINE_BYTES);
        limited.read_line(&mut self.line)?;
        if self.line.ends_with('\n') {
            return Ok(true);
        }
        if self.line.len() as u64 >= MAX_LINE_BYTES {
            return Err(io::Error::other("a line is too long"));
        }
        Ok(false)
    }
}
