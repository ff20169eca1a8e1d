//! Reading bodies and writing answers: JSON, errors, broken connections and streams of events.

use bluebell_base::prelude::*;
use bluebell_upstreams::http::wire::{DATA_PREFIX, EVENT_STREAM};
use chunked_transfer::Encoder;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io::{self, Read, Write};
use tiny_http::{Header, Request, Response};

/// The largest body that is read.
const BODY_LIMIT_BYTES: u64 = 64 << 20;

const JSON_HEADER: (&str, &str) = ("Content-Type", "application/json");

/// Reads a whole body, up to a limit.
///
/// # Errors
/// `TooLarge` over the limit, `Invalid` where the body breaks off.
pub fn read_body(request: &mut Request) -> Result<Vec<u8>, Error> {
    let announced = request.body_length().unwrap_or(0);
    let mut body = Vec::with_capacity(announced.min(BODY_LIMIT_BYTES as usize));
    let mut limited = request.as_reader().take(BODY_LIMIT_BYTES + 1);
    let read = limited.read_to_end(&mut body);
    read.map_err(|error| Error::not_run(ErrorKind::Invalid, error.to_string()))?;
    if body.len() as u64 > BODY_LIMIT_BYTES {
        return Err(Error::not_run(
            ErrorKind::TooLarge,
            "the body is over the limit",
        ));
    }
    Ok(body)
}

/// Reads a JSON body.
///
/// # Errors
/// As [`read_body`], and `Invalid` where it is not the JSON wanted.
pub fn read_json<T: DeserializeOwned>(request: &mut Request) -> Result<T, Error> {
    let body = read_body(request)?;
    let value = serde_json::from_slice(&body);
    value.map_err(|error| Error::not_run(ErrorKind::Invalid, error.to_string()))
}

/// Answers with JSON; a caller that is gone misses it.
pub fn json(request: Request, status: u16, value: &impl Serialize, headers: &[(&str, &str)]) {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::from_data(body).with_status_code(status);
    for (name, value) in headers.iter().chain([&JSON_HEADER]) {
        if let Ok(header) = Header::from_bytes(name.as_bytes(), value.as_bytes()) {
            response.add_header(header);
        }
    }
    if let Err(error) = request.respond(response) {
        log::debug!("the caller is gone: {error}");
    }
}

/// Answers with an error.
pub fn error(request: Request, error: &Error, headers: &[(&str, &str)]) {
    json(request, status_of(error.kind), error, headers);
}

/// Breaks the connection without an answer.
///
/// A caller that keeps its connection sees silence until its own time limit; one that asked to
/// close it sees it closed.
pub fn break_off(request: Request) {
    drop(request.into_writer());
}

fn status_of(kind: ErrorKind) -> u16 {
    match kind {
        ErrorKind::Invalid => 400,
        ErrorKind::Unauthenticated => 401,
        ErrorKind::Forbidden => 403,
        ErrorKind::NotFound => 404,
        ErrorKind::Conflict => 409,
        ErrorKind::TooLarge => 413,
        ErrorKind::Overloaded => 429,
        ErrorKind::Cancelled => 499,
        ErrorKind::Internal => 500,
        ErrorKind::Upstream => 502,
        ErrorKind::Unavailable => 503,
        ErrorKind::DeadlineExceeded => 504,
    }
}

/// Writes server-sent events, each on its way before the next one is produced.
pub struct EventWriter {
    encoder: Encoder<Flushing>,
    line: Vec<u8>,
}

/// Flushes after every write.
///
/// `tiny_http` buffers what is written, and the chunk encoder's own flush does not reach that
/// buffer: without this, events reach the caller together, when the buffer is full or the answer
/// over.
struct Flushing(Box<dyn Write + Send>);

impl Write for Flushing {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.write_all(bytes)?;
        self.0.flush()?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.0.flush()
    }
}

impl EventWriter {
    /// Begins the answer.
    ///
    /// # Errors
    /// Where the caller is gone.
    pub fn begin(request: Request) -> io::Result<Self> {
        let mut writer = request.into_writer();
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: {EVENT_STREAM}\r\nCache-Control: no-cache\r\n\
             Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
        );
        writer.write_all(head.as_bytes())?;
        writer.flush()?;
        Ok(Self {
            encoder: Encoder::with_flush_after_write(Flushing(writer)),
            line: Vec::new(),
        })
    }

    /// Sends one event.
    ///
    /// # Errors
    /// Where the caller is gone.
    pub fn event(&mut self, event: &impl Serialize) -> io::Result<()> {
        self.line.clear();
        write!(self.line, "{DATA_PREFIX} ")?;
        serde_json::to_writer(&mut self.line, event)?;
        self.line.extend_from_slice(b"\n\n");
        self.encoder.write_all(&self.line)
    }

    /// Sends a comment, which shows the caller that the stream is alive, and this side whether
    /// the caller is.
    ///
    /// # Errors
    /// Where the caller is gone.
    pub fn comment(&mut self) -> io::Result<()> {
        self.encoder.write_all(b": alive\n\n")
    }

    /// Breaks the answer off, so that the caller can't take it for whole.
    pub fn break_off(self) {
        // The encoder writes the mark of a whole answer when it is dropped; taking the connection
        // from under it first keeps the mark from the caller.
        let mut encoder = self.encoder;
        encoder.get_mut().0 = Box::new(io::sink());
    }
}
