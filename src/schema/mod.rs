//! Validates documents in JSON with comments against JSON Schemas that are compiled into the
//! binary.
//!
//! Supported keywords: `$ref`, `type`, `properties`, `required`, `additionalProperties`,
//! `propertyNames.format`, `items`, `enum`, `format`, `minimum`, `maximum`, `minItems`, `maxItems`,
//! `maxProperties`, and the extensions `x-minimum`, `x-maximum` (bounds of a duration or size) and
//! `x-unique` (name of a property whose value must be unique among the items of a list).

mod document;
mod format;
mod validator;

use std::sync::LazyLock;

use serde::de::DeserializeOwned;
use serde_json::Value;

pub use document::{DocumentOutline, SchemaError, ValidatedDocument};
pub use format::{TextFormat, parse_quantile};

/// Maximum size of a document in bytes; bounds the cost of a malicious document.
pub const MAX_DOCUMENT_BYTES: usize = 256 * 1024;

/// Maximum nesting depth of objects and lists; the schemas need 7 levels.
pub const MAX_NESTING_DEPTH: usize = 16;

/// Maximum number of errors reported for a document; bounds the cost of a malicious document.
pub const MAX_REPORTED_ERRORS: usize = 100;

static CONFIG_SCHEMA: LazyLock<Value> =
    LazyLock::new(|| parse_schema(include_str!("../../schema/config.schema.json")));
static SETTINGS_SCHEMA: LazyLock<Value> =
    LazyLock::new(|| parse_schema(include_str!("../../schema/settings.schema.json")));
static ANNOUNCEMENT_SCHEMA: LazyLock<Value> =
    LazyLock::new(|| parse_schema(include_str!("../../schema/announcement.schema.json")));
static CHART_SCHEMA: LazyLock<Value> =
    LazyLock::new(|| parse_schema(include_str!("../../schema/chart.schema.json")));
static OPERATOR_SCHEMA: LazyLock<Value> =
    LazyLock::new(|| parse_schema(include_str!("../../schema/operator.schema.json")));

fn parse_schema(text: &str) -> Value {
    serde_json::from_str(text).expect("compiled-in schemas are valid JSON")
}

/// Schema of one kind of document.
#[derive(Clone, Copy, Debug)]
pub struct DocumentSchema {
    /// Schema file, to which references are relative.
    file: &'static Value,
    /// Schema of the whole document within the file.
    root: &'static Value,
}

impl DocumentSchema {
    /// Schema of a process config.
    pub fn process() -> Self {
        Self { file: &CONFIG_SCHEMA, root: &CONFIG_SCHEMA }
    }

    /// Schema of the settings of the root branch.
    pub fn root_settings() -> Self {
        Self::definition(&SETTINGS_SCHEMA, "RootDocument")
    }

    /// Schema of the settings of a team's branch.
    pub fn team_settings() -> Self {
        Self::definition(&SETTINGS_SCHEMA, "TeamDocument")
    }

    /// Schema of a server's announcement.
    pub fn announcement() -> Self {
        Self { file: &ANNOUNCEMENT_SCHEMA, root: &ANNOUNCEMENT_SCHEMA }
    }

    /// Schema of an operator's request to change settings.
    pub fn change_request() -> Self {
        Self::definition(&OPERATOR_SCHEMA, "ChangeRequest")
    }

    /// Schema of the response to a settings change.
    pub fn change_reply() -> Self {
        Self::definition(&OPERATOR_SCHEMA, "ChangeReply")
    }

    /// Schema of the status response of a process.
    pub fn status_reply() -> Self {
        Self::definition(&OPERATOR_SCHEMA, "StatusReply")
    }

    /// Schema of a state chart.
    pub fn state_chart() -> Self {
        Self { file: &CHART_SCHEMA, root: &CHART_SCHEMA }
    }

    /// Reads the top-level keys of a document of any kind, without validating it.
    pub fn outline(text: &str) -> Result<DocumentOutline, Vec<SchemaError>> {
        validator::outline(text)
    }

    /// Counts the top-level keys of a document that this schema defines.
    pub fn count_known_keys(self, outline: &DocumentOutline) -> usize {
        let properties = &self.root["properties"];
        outline.keys.iter().filter(|key| properties.get(key.as_ref()).is_some()).count()
    }

    fn definition(file: &'static Value, name: &str) -> Self {
        let root = &file["$defs"][name];
        assert!(root.is_object(), "schema definition {name} exists");
        Self { file, root }
    }

    /// Validates `text`; `prefix` is prepended to each path and may be empty.
    pub fn validate(self, text: &str, prefix: &str) -> Result<ValidatedDocument, Vec<SchemaError>> {
        validator::validate(self.file, self.root, text, prefix)
    }

    /// Validates `text` and deserializes it into a generated type.
    pub fn parse<T: DeserializeOwned>(self, text: &str) -> Result<T, Vec<SchemaError>> {
        let document = self.validate(text, "")?;
        document.deserialize().map_err(|error| vec![error])
    }
}
