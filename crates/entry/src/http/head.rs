//! Reads a request's head: headers, query and credential. Each refusal names its reason.

use crate::http::answer::Refusal;
use bluebell_base::prelude::*;
use tiny_http::Request;

/// The maximum total size of a request's headers, in bytes.
const HEADER_BYTES: usize = 32 * 1024;

/// The maximum length of path and query, in bytes.
const URL_BYTES: usize = 8 * 1024;

/// Returns the value of a header.
///
/// # Errors
/// `Invalid` if the header is given twice with different values. Programs differ in which of the
/// two they read, and a proxy in front of the node may have read the other one.
pub(crate) fn header<'a>(
    request: &'a Request,
    name: &'static str,
) -> Result<Option<&'a str>, Error> {
    let mut values = request
        .headers()
        .iter()
        .filter(|header| header.field.equiv(name))
        .map(|header| header.value.as_str());
    let Some(first) = values.next() else {
        return Ok(None);
    };
    if values.any(|other| other != first) {
        return Err(invalid(format!("header {name} is given twice")));
    }
    Ok(Some(first))
}

/// Returns the error for a malformed request.
pub(crate) fn invalid(message: impl Into<Arc<str>>) -> Error {
    Error::not_run(ErrorKind::Invalid, message)
}

/// Returns the credential from `Authorization: Bearer`.
pub(crate) fn bearer(request: &Request) -> Result<&str, Error> {
    let wanted = || {
        let message = "a credential is needed: Authorization: Bearer <key>";
        Error::not_run(ErrorKind::Unauthenticated, message)
    };
    let value = header(request, "Authorization")?.ok_or_else(wanted)?;
    let (scheme, credential) = value.split_once(' ').ok_or_else(wanted)?;
    if !scheme.eq_ignore_ascii_case("bearer") {
        return Err(wanted());
    }
    Ok(credential.trim())
}

/// Splits a URL into path and query.
pub(crate) fn split_url(url: &str) -> (&str, Option<&str>) {
    match url.split_once('?') {
        Some((path, query)) => (path, Some(query)),
        None => (url, None),
    }
}

/// Returns the value of a query parameter, without decoding it.
pub(crate) fn query_value<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    let pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .filter(|(key, _)| *key == name)
        .map(|(_, value)| value)
        .next()
}

/// Refuses heads that are too large, and heads that don't define where the body ends and the next
/// request begins.
///
/// # Errors
/// The refusal, with the status code to answer with.
pub(crate) fn check(request: &Request) -> Result<(), Refusal> {
    let headers = request.headers().iter();
    let header_bytes: usize = headers
        .map(|header| header.field.as_str().len() + header.value.len())
        .sum();
    if header_bytes > HEADER_BYTES {
        let message = format!("the headers are over {HEADER_BYTES} bytes");
        return Err(Refusal {
            status: 431,
            error: invalid(message),
        });
    }
    if request.url().len() > URL_BYTES {
        return Err(Refusal {
            status: 414,
            error: invalid(format!("the path is over {URL_BYTES} bytes")),
        });
    }
    if !request.url().starts_with('/') {
        return Err(invalid("the request target must begin with /").into());
    }
    Ok(check_framing(request)?)
}

/// Guards against request smuggling: if two programs on the path disagree about the end of a body,
/// the rest of one caller's body is read as the next request. `tiny_http` takes the first of
/// several lengths, ignores a length that isn't a number, and prefers the transfer coding. Every
/// head that is ambiguous is thus refused.
fn check_framing(request: &Request) -> Result<(), Error> {
    let length = header(request, "Content-Length")?;
    let coding = header(request, "Transfer-Encoding")?;
    if let Some(length) = length {
        let digits = !length.is_empty() && length.bytes().all(|b| b.is_ascii_digit());
        if !digits || length.parse::<usize>().is_err() {
            return Err(invalid("Content-Length is not a number of bytes"));
        }
    }
    if length.is_some() && coding.is_some() {
        return Err(invalid(
            "Content-Length and Transfer-Encoding exclude each other",
        ));
    }
    if coding.is_some_and(|coding| !coding.eq_ignore_ascii_case("chunked")) {
        return Err(invalid("the only transfer coding understood is chunked"));
    }
    // After an upgrade the library would treat all further bytes of the connection as the body.
    let mut connections = request
        .headers()
        .iter()
        .filter(|header| header.field.equiv("Connection"));
    if connections.any(|header| contains_upgrade(header.value.as_str())) {
        return Err(invalid("no other protocol can be upgraded to"));
    }
    Ok(())
}

fn contains_upgrade(connection: &str) -> bool {
    connection.to_ascii_lowercase().contains("upgrade")
}
