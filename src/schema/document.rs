//! Validated documents and the errors found in invalid ones.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// One error in a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SchemaError {
    /// Line number, starting at 1.
    pub line: u32,
    /// Column in characters, starting at 1.
    pub column: u32,
    /// Path of the value, such as `services.rounds.servers.slots`; empty for the whole document.
    pub path: Box<str>,
    /// Description of the error and of the allowed values.
    pub message: Box<str>,
}

impl fmt::Display for SchemaError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = if self.path.is_empty() { "document" } else { &self.path };
        write!(out, "{}:{}: {path}: {}", self.line, self.column, self.message)
    }
}

/// Top-level keys of a document, from which its kind is recognized.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DocumentOutline {
    pub keys: BTreeSet<Box<str>>,
    /// Value of the key `team` if it is a valid name.
    pub team: Option<Box<str>>,
}

/// Document that conforms to its schema, with the position of each value in the text.
#[derive(Clone, Debug)]
pub struct ValidatedDocument {
    pub(super) value: Value,
    pub(super) positions: BTreeMap<Box<str>, usize>,
    pub(super) line_index: LineIndex,
    pub(super) prefix: Box<str>,
}

impl ValidatedDocument {
    /// Returns the document as JSON.
    pub fn value(&self) -> &Value {
        &self.value
    }

    /// Converts the document into JSON.
    pub fn into_value(self) -> Value {
        self.value
    }

    /// Deserializes the document into a generated type.
    pub fn deserialize<T: DeserializeOwned>(&self) -> Result<T, SchemaError> {
        T::deserialize(&self.value).map_err(|error| self.error_at("", error.to_string()))
    }

    /// Creates an error at the position of the value with `path` (without the prefix), or of its
    /// closest ancestor that is in the document.
    pub fn error_at(&self, path: &str, message: impl Into<Box<str>>) -> SchemaError {
        let full_path = join_path(&self.prefix, path);
        let mut ancestor: &str = &full_path;
        loop {
            if let Some(&offset) = self.positions.get(ancestor) {
                return self.line_index.error_at(offset, full_path, message.into());
            }
            match ancestor.rfind(['.', '[']) {
                Some(separator) => ancestor = &ancestor[..separator],
                None => {
                    let start = self.positions.get(&self.prefix).copied().unwrap_or(0);
                    return self.line_index.error_at(start, full_path, message.into());
                }
            }
        }
    }
}

/// Joins two paths; either of them may be empty.
pub(super) fn join_path(prefix: &str, path: &str) -> Box<str> {
    if prefix.is_empty() || path.is_empty() {
        return format!("{prefix}{path}").into();
    }
    format!("{prefix}.{path}").into()
}

/// Maps byte offsets of a text to lines and columns.
#[derive(Clone, Debug)]
pub(super) struct LineIndex {
    text: Box<str>,
    line_starts: Vec<usize>,
}

impl LineIndex {
    pub(super) fn new(text: &str) -> Self {
        let mut line_starts = vec![0];
        for (offset, byte) in text.bytes().enumerate() {
            if byte == b'\n' {
                line_starts.push(offset + 1);
            }
        }
        Self { text: text.into(), line_starts }
    }

    pub(super) fn error_at(&self, offset: usize, path: Box<str>, message: Box<str>) -> SchemaError {
        let line = self.line_starts.partition_point(|start| *start <= offset);
        let start = self.line_starts[line - 1];
        let column =
            self.text.get(start..offset).map_or(0, |line_prefix| line_prefix.chars().count()) + 1;
        SchemaError { line: line as u32, column: column as u32, path, message }
    }
}
