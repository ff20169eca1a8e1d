//! Reads server-sent events from a body, one at a time, as they come.
//!
//! Invariants: an event that the connection's end cuts short is not returned.

use std::io::{self, BufRead};

/// The longest line taken, in bytes; a longer one is an error, so memory stays bounded.
const MAX_LINE_BYTES: u64 = 1 << 20;

/// One server-sent event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerEvent {
    /// Its id, to read on from.
    pub id: Option<String>,
    /// Its name, where it has one.
    pub name: Option<String>,
    /// Its data.
    pub data: String,
}

/// Reads events from a body.
pub struct EventReader<R> {
    body: R,
    line: String,
}

impl<R: BufRead> EventReader<R> {
    /// Reads from the body's beginning.
    pub fn new(body: R) -> Self {
        Self {
            body,
            line: String::new(),
        }
    }

    /// The next event; none where the body ended.
    ///
    /// # Errors
    /// The connection broke, or a line is too long or not UTF-8.
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
                // Comments (an empty field) and unknown fields are skipped, as the standard says.
                _ => {}
            }
        }
        Ok(None)
    }

    /// Reads a whole line; `false` where the body ended before one.
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
