//! The state dump: one JSON object with a section for each part of the process.
//!
//! Invariants: the dump is always valid JSON; a section whose text is not JSON becomes a string.

use serde_json::{Map, Value};
use std::sync::Arc;

/// A state dump under construction.
#[derive(Clone, Debug, Default)]
pub struct StateDump {
    sections: Map<String, Value>,
}

impl StateDump {
    /// Creates a dump without sections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a section from a serializable value. If the value can't be serialized, the section is a
    /// string with the error.
    pub fn section(&mut self, name: &str, state: &impl serde::Serialize) -> &mut Self {
        let value = serde_json::to_value(state)
            .unwrap_or_else(|error| Value::String(format!("can't be shown: {error}")));
        self.sections.insert(name.to_owned(), value);
        self
    }

    /// Adds a section from text. JSON is embedded as it is; other text becomes an array of its lines,
    /// or a string if it is a single line.
    pub fn text(&mut self, name: &str, text: &str) -> &mut Self {
        let value = serde_json::from_str(text).unwrap_or_else(|_| lines(text));
        self.sections.insert(name.to_owned(), value);
        self
    }

    /// Returns the dump as indented JSON.
    pub fn render(&self) -> Arc<str> {
        let value = Value::Object(self.sections.clone());
        format!("{value:#}").into()
    }
}

/// Returns the text's lines as an array of strings, or a string if there is a single line.
fn lines(text: &str) -> Value {
    let mut lines: Vec<Value> = text.lines().map(Value::from).collect();
    if lines.len() == 1 {
        return lines.remove(0);
    }
    Value::Array(lines)
}
