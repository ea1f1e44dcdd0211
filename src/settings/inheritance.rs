//! Inheritance of settings, and a report of the source of each effective value.

use std::fmt;

use serde_json::Value;

use super::document::BUILT_IN;
use crate::schema::{DocumentSchema, SchemaError};

/// Source of a value, in order of increasing precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueSource {
    BuiltIn,
    Root,
    Team,
    Service,
}

/// Value in the effective settings of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EffectiveValue {
    /// Path within the service's settings, such as `servers.slots`.
    pub path: Box<str>,
    pub value: Value,
    pub source: ValueSource,
}

impl fmt::Display for ValueSource {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::BuiltIn => "built-in",
            Self::Root => "root",
            Self::Team => "team",
            Self::Service => "service",
        })
    }
}

impl fmt::Display for EffectiveValue {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{} = {} ({})", self.path, self.value, self.source)
    }
}

/// Merges `overrides` into `base`: objects key by key, lists and scalars as a whole.
pub(super) fn merge(base: &mut Value, overrides: &Value) {
    match (base, overrides) {
        (_, Value::Null) => {}
        (Value::Object(base), Value::Object(overrides)) => {
            for (key, value) in overrides {
                merge(base.entry(key.as_str()).or_insert(Value::Null), value);
            }
        }
        (base, overrides) => *base = overrides.clone(),
    }
}

/// Returns all effective values of a service with their sources; `None` if the team has no such
/// service.
pub fn effective_values(
    root_text: &str,
    team: &str,
    team_text: &str,
    service: &str,
) -> Result<Option<Vec<EffectiveValue>>, Vec<SchemaError>> {
    let root = DocumentSchema::root_settings().validate(root_text, "")?.into_value();
    let prefix = format!("teams.{team}");
    let team = DocumentSchema::team_settings().validate(team_text, &prefix)?.into_value();
    let Some(service_value) = team["services"].get(service) else {
        return Ok(None);
    };
    let layers = [
        (ValueSource::BuiltIn, &*BUILT_IN),
        (ValueSource::Root, &root["defaults"]),
        (ValueSource::Team, &team["defaults"]),
        (ValueSource::Service, service_value),
    ];
    let mut merged = Value::Null;
    for (_, layer) in &layers {
        merge(&mut merged, layer);
    }
    let mut report = Vec::new();
    collect_values(&merged, &layers, "", &mut report);
    Ok(Some(report))
}

fn collect_values(
    merged: &Value,
    layers: &[(ValueSource, &Value)],
    path: &str,
    report: &mut Vec<EffectiveValue>,
) {
    let Some(object) = merged.as_object() else {
        let strongest = layers.iter().rev().find(|(_, layer)| !layer.is_null());
        let source = strongest.map_or(ValueSource::BuiltIn, |(source, _)| *source);
        report.push(EffectiveValue { path: path.into(), value: merged.clone(), source });
        return;
    };
    for (key, value) in object {
        let child_path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        let child_layers: Vec<_> =
            layers.iter().map(|(source, layer)| (*source, &layer[key])).collect();
        collect_values(value, &child_layers, &child_path, report);
    }
}
