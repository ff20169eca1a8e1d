//! The lines of one request from several nodes' logs, in order, with what they show.
//!
//! Invariants: lines that can't be read are counted and told, never dropped in silence.

use crate::args::Explain;
use crate::outcome::CommandError;
use crate::output::print_line;
use bluebell_base::prelude::*;
use serde::Deserialize;
use std::fmt::Write;
use std::fs::File;
use std::io::{BufRead, BufReader};

/// The fields that stand before the rest of a line.
const HEAD_FIELDS: [&str; 4] = ["time_ms", "node", "event", "request"];

/// The fields of every line of the log. The others depend on the event.
#[derive(Deserialize)]
struct Line {
    time_ms: u64,
    node: Arc<str>,
    event: Arc<str>,
    request: Option<Arc<str>>,
    #[serde(flatten)]
    rest: serde_json::Map<String, serde_json::Value>,
}

/// The lines of the files about the request.
#[derive(Default)]
struct Found {
    lines: Vec<Line>,
    unreadable: usize,
}

/// Explains a request.
pub fn run(args: &Explain) -> Result<(), CommandError> {
    let mut found = Found::default();
    for path in &args.files {
        read(path, &args.request, &mut found)?;
    }
    if found.lines.is_empty() {
        let why = format!("no line of request {} in these files", args.request);
        return Err(CommandError::failed(why));
    }
    found.lines.sort_by_key(|line| line.time_ms);
    print_line(found.text().trim_end())
}

fn read(path: &str, request: &str, found: &mut Found) -> Result<(), CommandError> {
    let fault = |error: std::io::Error| CommandError::failed(format!("{path}: {error}"));
    let file = File::open(path).map_err(fault)?;
    for text in BufReader::new(file).lines() {
        let text = text.map_err(fault)?;
        // What runs the node may put words of its own before each line.
        let Some(start) = text.find('{').filter(|_| text.contains(request)) else {
            continue;
        };
        match serde_json::from_str::<Line>(&text[start..]) {
            Ok(line) if line.request.as_deref() == Some(request) => found.lines.push(line),
            Ok(_) => {}
            Err(_) => found.unreadable += 1,
        }
    }
    Ok(())
}

impl Found {
    fn text(&self) -> String {
        let mut text = String::new();
        let first_ms = self.lines[0].time_ms;
        for line in &self.lines {
            let after_ms = line.time_ms - first_ms;
            let (node, event) = (&line.node, &line.event);
            let _ = write!(text, "+{after_ms} ms  {node}  {event}");
            for (name, value) in &line.rest {
                if !HEAD_FIELDS.contains(&name.as_str()) {
                    let _ = write!(text, " {name}={value}");
                }
            }
            text.push('\n');
        }
        if self.unreadable > 0 {
            let _ = writeln!(text, "{} lines can't be read", self.unreadable);
        }
        let _ = writeln!(text, "\n{}", self.verdict());
        text
    }

    /// Returns the result of the request, by the last line that ends it.
    fn verdict(&self) -> String {
        let ends = ["answered", "refused", "failed", "cancelled"];
        let last = self.lines.iter().rev().find(|l| ends.contains(&&*l.event));
        let Some(last) = last else {
            return "No end: the node died, or its lines were dropped (look for lines_dropped)."
                .into();
        };
        let tries = self.count("placed");
        let why = last
            .rest
            .get("why")
            .and_then(|why| why.as_str())
            .unwrap_or("");
        match &*last.event {
            "answered" if self.has_gone_on() => {
                format!(
                    "Answered whole, after a silence in which its engine stayed; {tries} tries."
                )
            }
            "answered" if self.count("resumed") > 0 => {
                format!("Answered whole, going on at another engine midway; {tries} tries.")
            }
            "answered" => format!("Answered by a replica; {tries} tries."),
            "refused" if tries == 0 => format!("Turned away before any try, so not run: {why}."),
            "refused" => format!("Turned away after {tries} tries, none of which ran: {why}."),
            "failed" if last.rest.get("status") == Some(&200.into()) => {
                format!("The stream broke off midway and could not go on: {why}.")
            }
            "failed" => format!("Failed after {tries} tries, and may have run: {why}."),
            _ => format!("The caller left first; {tries} tries until then."),
        }
    }

    /// Returns true if each silence of the request ended with its engine going on.
    fn has_gone_on(&self) -> bool {
        let silences = self.count("try_silent") + self.count("peer_silent");
        silences > 0 && silences == self.count("went_on")
    }

    fn count(&self, event: &str) -> usize {
        self.lines.iter().filter(|l| &*l.event == event).count()
    }
}
