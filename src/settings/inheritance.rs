//! Inheritance of settings and the report of where each value comes from.

use std::fmt;

use serde_json::Value;

use super::document::BUILT_IN;
use crate::schema::{DocumentSchema, SchemaError};

/// Place that a value comes from, from the weakest to the strongest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueSource {
    BuiltIn,
    Root,
    Team,
    Service,
}

/// One value of a service's effective settings.
#[derive(Clone, Debug, PartialEq)]
pub struct EffectiveValue {
    /// Path within the service, such as `servers.slots`.
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

/// Applies `stronger` to `base`: objects key by key, lists and single values as a whole.
pub(super) fn merge(base: &mut Value, stronger: &Value) {
    match (base, stronger) {
        (_, Value::Null) => {}
        (Value::Object(base), Value::Object(stronger)) => {
            for (key, value) in stronger {
                merge(base.entry(key.as_str()).or_insert(Value::Null), value);
            }
        }
        (base, stronger) => *base = stronger.clone(),
    }
}

/// Reports every effective value of a service; `None` when the team has no such service.
pub fn effective_values(
    root_text: &str,
    team: &str,
    team_text: &str,
    service: &str,
) -> Result<Option<Vec<EffectiveValue>>, Vec<SchemaError>> {
    let root = DocumentSchema::root_settings().validate(root_text, "")?.into_value();
    let prefix = format!("teams.{team}");
    let team = DocumentSchema::team_settings().validate(team_text, &prefix)?.into_value();
    let Some(stated) = team["services"].get(service) else {
        return Ok(None);
    };
    let layers = [
        (ValueSource::BuiltIn, &*BUILT_IN),
        (ValueSource::Root, &root["defaults"]),
        (ValueSource::Team, &team["defaults"]),
        (ValueSource::Service, stated),
    ];
    let mut merged = Value::Null;
    for (_, layer) in &layers {
        merge(&mut merged, layer);
    }
    let mut report = Vec::new();
    collect(&merged, &layers, "", &mut report);
    Ok(Some(report))
}

fn collect(
    merged: &Value,
    layers: &[(ValueSource, &Value)],
    path: &str,
    report: &mut Vec<EffectiveValue>,
) {
    let Some(object) = merged.as_object() else {
        let stated = layers.iter().rev().find(|(_, layer)| !layer.is_null());
        let source = stated.map_or(ValueSource::BuiltIn, |(source, _)| *source);
        report.push(EffectiveValue { path: path.into(), value: merged.clone(), source });
        return;
    };
    for (key, value) in object {
        let inner = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        let layers: Vec<_> = layers.iter().map(|(source, layer)| (*source, &layer[key])).collect();
        collect(value, &layers, &inner, report);
    }
}
