//! Writes to a caller whose request has been read: interim responses, one whole answer, or a stream
//! of events.
//!
//! Invariants: an event has been written to the connection when `event` returns; a write that fails
//! or times out means that the caller has disconnected.

use crate::http::answer;
use chunked_transfer::Encoder;
use std::io::{self, Write};
use tiny_http::{HTTPVersion, Method, Request, Response, StatusCode};

/// An interim response. The library's own one contains the headers `Date` and `Server`, and some
/// clients (`ureq` among them) refuse it for that.
const INTERIM: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

type RawWriter = Box<dyn Write + Send>;

/// The raw writer of one exchange.
pub(crate) struct Outlet {
    writer: RawWriter,
    version: HTTPVersion,
    head_only: bool,
}

impl Outlet {
    /// Takes the writer out of a request whose body has been read to its end.
    pub(crate) fn open(request: Request) -> Self {
        Self {
            version: request.http_version().clone(),
            head_only: *request.method() == Method::Head,
            writer: request.into_writer(),
        }
    }

    /// Returns true if the caller supports interim responses and chunks (HTTP/1.1).
    pub(crate) fn supports_chunks(&self) -> bool {
        self.version >= HTTPVersion(1, 1)
    }

    /// Sends an interim response, which every HTTP/1.1 client skips.
    pub(crate) fn interim(&mut self) -> io::Result<()> {
        self.writer.write_all(INTERIM)?;
        self.writer.flush()
    }

    /// Sends the whole answer.
    pub(crate) fn respond(mut self, response: answer::Whole) -> io::Result<()> {
        let version = self.version.clone();
        // No request headers are passed, so that a `TE` header can't choose the framing.
        response.raw_print(&mut self.writer, version, &[], self.head_only, None)?;
        self.writer.flush()
    }

    /// Sends the head of a stream of server-sent events.
    pub(crate) fn begin_events(mut self, request: &str) -> io::Result<EventStream> {
        let response = Response::new(StatusCode(200), Vec::new(), io::empty(), None, None);
        let response = answer::with_header(response, "Content-Type", "text/event-stream");
        let response = answer::with_header(response, "Cache-Control", "no-cache");
        let response = answer::with_header(response, "X-Request-Id", request);
        response.raw_print(&mut self.writer, self.version, &[], true, None)?;
        self.writer.flush()?;
        Ok(EventStream {
            encoder: Encoder::with_flush_after_write(FlushOnWrite(self.writer)),
        })
    }
}

/// A writer that flushes the inner writer on each write.
///
/// The encoder's own flush doesn't reach the inner writer, which is buffered. Without this, the
/// caller would receive all events of an answer together at its end.
struct FlushOnWrite(RawWriter);

impl Write for FlushOnWrite {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.write_all(buf)?;
        self.0.flush()?;
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.0.flush()
    }
}

/// A stream of server-sent events in chunked encoding. Dropping it ends the stream.
pub(crate) struct EventStream {
    encoder: Encoder<FlushOnWrite>,
}

impl EventStream {
    /// Sends an event, with the cursor of the position after it if there is one.
    pub(crate) fn event(&mut self, cursor: Option<&str>, data: &str) -> io::Result<()> {
        let text = match cursor {
            Some(cursor) => format!("id: {cursor}\ndata: {data}\n\n"),
            None => format!("data: {data}\n\n"),
        };
        self.encoder.write_all(text.as_bytes())
    }

    /// Sends a comment, which callers skip.
    pub(crate) fn keep_alive(&mut self) -> io::Result<()> {
        self.encoder.write_all(b": keep-alive\n\n")
    }
}
