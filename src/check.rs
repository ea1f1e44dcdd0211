//! Checks a file whose kind is recognized by its content.

use std::path::Path;

use crate::config::{ProcessConfig, read_document};
use crate::schema::{DocumentOutline, DocumentSchema, SchemaError};
use crate::settings::{RootSettings, TeamSettings};

/// Root document that stands in for the real one when a team's file is checked alone.
const EMPTY_ROOT: &str = "{ \"defaults\": {} }";

/// Kind of a checked file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DocumentKind {
    ProcessConfig,
    RootSettings,
    TeamSettings,
}

/// Result of a check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckReport {
    /// `None` when the kind is not recognized.
    pub kind: Option<DocumentKind>,
    /// Errors as `FILE:LINE:COLUMN: PATH: MESSAGE`; empty for a valid file.
    pub errors: Vec<String>,
}

/// Checks a file; the error is the failure to read it.
pub fn check_file(file: &Path) -> std::io::Result<CheckReport> {
    let text = read_document(file)?;
    Ok(check_text(&file.display().to_string(), &text))
}

/// Checks a text; `file` is the name in the printed errors.
pub fn check_text(file: &str, text: &str) -> CheckReport {
    let (kind, errors) = match DocumentSchema::outline(text) {
        Ok(outline) => check_outlined(&outline, text),
        Err(errors) => (None, errors),
    };
    let errors = errors.iter().map(|error| format!("{file}:{error}")).collect();
    CheckReport { kind, errors }
}

fn check_outlined(
    outline: &DocumentOutline,
    text: &str,
) -> (Option<DocumentKind>, Vec<SchemaError>) {
    let kind = recognize(outline);
    let errors = match kind {
        Some(DocumentKind::ProcessConfig) => ProcessConfig::parse(text).err(),
        Some(DocumentKind::RootSettings) => RootSettings::parse(text, 0).err(),
        Some(DocumentKind::TeamSettings) => check_team(outline, text).err(),
        None => Some(vec![unrecognized()]),
    };
    (kind, errors.unwrap_or_default())
}

/// Picks the kind whose schema knows the most outermost keys.
fn recognize(outline: &DocumentOutline) -> Option<DocumentKind> {
    let rows = [
        (DocumentKind::ProcessConfig, DocumentSchema::process()),
        (DocumentKind::RootSettings, DocumentSchema::root_settings()),
        (DocumentKind::TeamSettings, DocumentSchema::team_settings()),
    ];
    let mut best = (0, None);
    for (kind, check) in rows {
        let known = check.count_known_keys(outline);
        if known > best.0 {
            best = (known, Some(kind));
        }
    }
    best.1
}

fn check_team(outline: &DocumentOutline, text: &str) -> Result<(), Vec<SchemaError>> {
    let Some(team) = &outline.team else {
        return DocumentSchema::team_settings().validate(text, "").map(drop);
    };
    let root = RootSettings::parse(EMPTY_ROOT, 0)?;
    TeamSettings::parse(team, text, &root).map(drop)
}

fn unrecognized() -> SchemaError {
    let message = "expected a process config (key `role`), root settings (key `defaults`) \
                   or team settings (key `team`)";
    SchemaError { line: 1, column: 1, path: "".into(), message: message.into() }
}
