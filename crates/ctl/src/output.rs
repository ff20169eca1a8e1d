//! Writing to standard output.

use crate::outcome::CommandError;
use std::io::{ErrorKind, Write, stdout};

/// Prints a text and a line break.
///
/// A reader that closed its end (`bluebellctl state | head`) has seen all it wants: no failure.
pub fn print_line(text: &str) -> Result<(), CommandError> {
    match writeln!(stdout(), "{text}") {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => Err(CommandError::failed(error)),
        _ => Ok(()),
    }
}
