//! A checked document and the errors found in one.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// One error in a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SchemaError {
    /// Line from 1.
    pub line: u32,
    /// Column in characters from 1.
    pub column: u32,
    /// Path such as `services.rounds.servers.slots`; empty for the whole document.
    pub path: Box<str>,
    /// What is wrong and what is allowed.
    pub message: Box<str>,
}

impl fmt::Display for SchemaError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = if self.path.is_empty() { "document" } else { &self.path };
        write!(out, "{}:{}: {path}: {}", self.line, self.column, self.message)
    }
}

/// Outermost keys of a document, from which its kind is recognized.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DocumentOutline {
    pub keys: BTreeSet<Box<str>>,
    /// Value of the key `team` when it is a valid name.
    pub team: Option<Box<str>>,
}

/// A document that matches its schema, with the position of each value.
#[derive(Clone, Debug)]
pub struct CheckedDocument {
    pub(super) value: Value,
    pub(super) positions: BTreeMap<Box<str>, usize>,
    pub(super) index: LineIndex,
    pub(super) prefix: Box<str>,
}

impl CheckedDocument {
    /// The document as JSON without comments.
    pub fn value(&self) -> &Value {
        &self.value
    }

    /// Takes the document as JSON without comments.
    pub fn into_value(self) -> Value {
        self.value
    }

    /// Reads the document into a generated type.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, SchemaError> {
        T::deserialize(&self.value).map_err(|error| self.error_at("", error.to_string()))
    }

    /// Makes an error at the value with `path` (without the prefix), or at its closest parent.
    pub fn error_at(&self, path: &str, message: impl Into<Box<str>>) -> SchemaError {
        let full = join_path(&self.prefix, path);
        let mut known: &str = &full;
        loop {
            if let Some(&offset) = self.positions.get(known) {
                return self.index.error(offset, full, message.into());
            }
            match known.rfind(['.', '[']) {
                Some(cut) => known = &known[..cut],
                None => {
                    let start = self.positions.get(&self.prefix).copied().unwrap_or(0);
                    return self.index.error(start, full, message.into());
                }
            }
        }
    }
}

/// Joins two paths, either of which may be empty.
pub(super) fn join_path(prefix: &str, path: &str) -> Box<str> {
    if prefix.is_empty() || path.is_empty() {
        return format!("{prefix}{path}").into();
    }
    format!("{prefix}.{path}").into()
}

/// Finds line and column of a byte offset.
#[derive(Clone, Debug)]
pub(super) struct LineIndex {
    text: Box<str>,
    starts: Vec<usize>,
}

impl LineIndex {
    pub(super) fn new(text: &str) -> Self {
        let mut starts = vec![0];
        for (offset, byte) in text.bytes().enumerate() {
            if byte == b'\n' {
                starts.push(offset + 1);
            }
        }
        Self { text: text.into(), starts }
    }

    pub(super) fn error(&self, offset: usize, path: Box<str>, message: Box<str>) -> SchemaError {
        let line = self.starts.partition_point(|start| *start <= offset);
        let start = self.starts[line - 1];
        let column = self.text.get(start..offset).map_or(0, |part| part.chars().count()) + 1;
        SchemaError { line: line as u32, column: column as u32, path, message }
    }
}
