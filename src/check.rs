//! Validates configuration and settings files; the kind of a file is inferred from its content.

use std::path::Path;

use crate::config::{ProcessConfig, read_document};
use crate::schema::{DocumentOutline, DocumentSchema, SchemaError};
use crate::settings::{RootSettings, TeamSettings};

/// Root document used to validate a team's document without the real root document.
const EMPTY_ROOT_DOCUMENT: &str = "{ \"defaults\": {} }";

/// Kind of a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DocumentKind {
    ProcessConfig,
    RootSettings,
    TeamSettings,
}

/// Result of validating a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckReport {
    /// `None` if the kind cannot be inferred.
    pub kind: Option<DocumentKind>,
    /// Errors in the form `FILE:LINE:COLUMN: PATH: MESSAGE`; empty for a valid document.
    pub errors: Vec<String>,
}

/// Validates a file; fails only if the file cannot be read.
pub fn check_file(file: &Path) -> std::io::Result<CheckReport> {
    let text = read_document(file)?;
    Ok(check_text(&file.display().to_string(), &text))
}

/// Validates the text of a document; `file_name` is the prefix of each reported error.
pub fn check_text(file_name: &str, text: &str) -> CheckReport {
    let (kind, errors) = match DocumentSchema::outline(text) {
        Ok(outline) => check_document(&outline, text),
        Err(errors) => (None, errors),
    };
    let errors = errors.iter().map(|error| format!("{file_name}:{error}")).collect();
    CheckReport { kind, errors }
}

fn check_document(
    outline: &DocumentOutline,
    text: &str,
) -> (Option<DocumentKind>, Vec<SchemaError>) {
    let kind = infer_kind(outline);
    let errors = match kind {
        Some(DocumentKind::ProcessConfig) => ProcessConfig::parse(text).err(),
        Some(DocumentKind::RootSettings) => RootSettings::parse(text, 0).err(),
        Some(DocumentKind::TeamSettings) => check_team_document(outline, text).err(),
        None => Some(vec![unknown_kind_error()]),
    };
    (kind, errors.unwrap_or_default())
}

/// Infers the kind whose schema defines the most top-level keys of the document.
fn infer_kind(outline: &DocumentOutline) -> Option<DocumentKind> {
    let candidates = [
        (DocumentKind::ProcessConfig, DocumentSchema::process()),
        (DocumentKind::RootSettings, DocumentSchema::root_settings()),
        (DocumentKind::TeamSettings, DocumentSchema::team_settings()),
    ];
    let mut best_match = (0, None);
    for (kind, check) in candidates {
        let known_keys = check.count_known_keys(outline);
        if known_keys > best_match.0 {
            best_match = (known_keys, Some(kind));
        }
    }
    best_match.1
}

fn check_team_document(outline: &DocumentOutline, text: &str) -> Result<(), Vec<SchemaError>> {
    let Some(team) = &outline.team else {
        return DocumentSchema::team_settings().validate(text, "").map(drop);
    };
    let root = RootSettings::parse(EMPTY_ROOT_DOCUMENT, 0)?;
    TeamSettings::parse(team, text, &root).map(drop)
}

fn unknown_kind_error() -> SchemaError {
    let message = "expected a process config (key `role`), root settings (key `defaults`) \
                   or team settings (key `team`)";
    SchemaError { line: 1, column: 1, path: "".into(), message: message.into() }
}
