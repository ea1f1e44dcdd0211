//! Validates a text in JSON with comments against a compiled-in JSON Schema.
//!
//! Supported keywords: `$ref`, `type`, `properties`, `required`, `additionalProperties`,
//! `propertyNames.format`, `items`, `enum`, `format`, `minimum`, `maximum`, `minItems`, `maxItems`,
//! `maxProperties`, and the extensions `x-minimum`, `x-maximum` (bounds of a duration or size) and
//! `x-unique` (a property that differs between the items of a list).

mod document;
mod format;
mod validator;

use std::sync::LazyLock;

use serde::de::DeserializeOwned;
use serde_json::Value;

pub use document::{CheckedDocument, DocumentOutline, SchemaError};
pub use format::{TextFormat, parse_quantile};

/// Largest text that is read, in bytes; bounds the cost of a hostile document.
pub const DOCUMENT_LIMIT: usize = 256 * 1024;

/// Deepest nesting of objects and lists; the schemas need 7 levels.
pub const DEPTH_LIMIT: usize = 16;

/// Errors reported for one document; bounds the cost of a hostile document.
pub const ERROR_LIMIT: usize = 100;

static CONFIG: LazyLock<Value> =
    LazyLock::new(|| load(include_str!("../../schema/config.schema.json")));
static SETTINGS: LazyLock<Value> =
    LazyLock::new(|| load(include_str!("../../schema/settings.schema.json")));
static ANNOUNCEMENT: LazyLock<Value> =
    LazyLock::new(|| load(include_str!("../../schema/announcement.schema.json")));
static CHART: LazyLock<Value> =
    LazyLock::new(|| load(include_str!("../../schema/chart.schema.json")));
static OPERATOR: LazyLock<Value> =
    LazyLock::new(|| load(include_str!("../../schema/operator.schema.json")));

fn load(text: &str) -> Value {
    serde_json::from_str(text).expect("compiled-in schemas are valid JSON")
}

/// A schema ready to check documents.
#[derive(Clone, Copy, Debug)]
pub struct SchemaCheck {
    file: &'static Value,
    root: &'static Value,
}

impl SchemaCheck {
    /// Schema of a process config.
    pub fn process() -> Self {
        Self { file: &CONFIG, root: &CONFIG }
    }

    /// Schema of the root branch.
    pub fn root_settings() -> Self {
        Self::definition(&SETTINGS, "RootDocument")
    }

    /// Schema of a team's branch.
    pub fn team_settings() -> Self {
        Self::definition(&SETTINGS, "TeamDocument")
    }

    /// Schema of a server's announcement.
    pub fn announcement() -> Self {
        Self { file: &ANNOUNCEMENT, root: &ANNOUNCEMENT }
    }

    /// Schema of an operator's settings change.
    pub fn change_request() -> Self {
        Self::definition(&OPERATOR, "ChangeRequest")
    }

    /// Schema of the outcome of a settings change.
    pub fn change_reply() -> Self {
        Self::definition(&OPERATOR, "ChangeReply")
    }

    /// Schema of a process status.
    pub fn status_reply() -> Self {
        Self::definition(&OPERATOR, "StatusReply")
    }

    /// Schema of a state chart.
    pub fn state_chart() -> Self {
        Self { file: &CHART, root: &CHART }
    }

    /// Reads the outermost keys of a text of any kind.
    pub fn outline(text: &str) -> Result<DocumentOutline, Vec<SchemaError>> {
        validator::outline(text)
    }

    /// Counts the outermost keys of a document that this schema knows.
    pub fn known_keys(self, outline: &DocumentOutline) -> usize {
        let known = &self.root["properties"];
        outline.keys.iter().filter(|key| known.get(key.as_ref()).is_some()).count()
    }

    fn definition(file: &'static Value, name: &str) -> Self {
        let root = &file["$defs"][name];
        assert!(root.is_object(), "schema definition {name} exists");
        Self { file, root }
    }

    /// Checks `text`; `prefix` is put before each path and may be empty.
    pub fn validate(self, text: &str, prefix: &str) -> Result<CheckedDocument, Vec<SchemaError>> {
        validator::validate(self.file, self.root, text, prefix)
    }

    /// Checks `text` and reads it into a generated type.
    pub fn parse<T: DeserializeOwned>(self, text: &str) -> Result<T, Vec<SchemaError>> {
        let document = self.validate(text, "")?;
        document.read().map_err(|error| vec![error])
    }
}
