//! Parsed settings documents of the root branch and of team branches.

use std::collections::BTreeMap;
use std::sync::{Arc, LazyLock};
use std::time::Duration;

use serde::Deserialize;
use serde_json::{Map, Value};

use super::effective::{RequestClass, ServiceSettings};
use super::inheritance::merge;
use super::{ROOT_BRANCH, StalePolicy};
use crate::generated::settings::{RootDocument, TeamDocument};
use crate::ids::ServiceName;
use crate::schema::{DocumentSchema, MAX_REPORTED_ERRORS, SchemaError, ValidatedDocument};
use crate::units::parse_duration;

/// Settings lease if the root document sets none.
const DEFAULT_SETTINGS_LEASE: Duration = Duration::from_secs(3);

/// Defaults for values that no branch sets.
pub(super) static BUILT_IN: LazyLock<Value> = LazyLock::new(|| {
    serde_json::from_str(include_str!("built_in.json")).expect("built-in settings are valid JSON")
});

/// Settings of the root branch.
#[derive(Clone, Debug, PartialEq)]
pub struct RootSettings {
    pub version: u64,
    /// Time for which an entry may use its settings without renewing its lease.
    pub settings_lease: Duration,
    pub stale_policy: StalePolicy,
    /// Built-in defaults overridden by the root defaults.
    pub(super) defaults: Value,
}

/// Settings of a team's branch.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamSettings {
    pub name: Arc<str>,
    pub version: u64,
    /// SHA-256 of the team's token as hex digits.
    pub token_sha256: Box<str>,
    pub services: BTreeMap<ServiceName, Arc<ServiceSettings>>,
}

impl RootSettings {
    /// Parses and checks a root document.
    pub fn parse(text: &str, version: u64) -> Result<Self, Vec<SchemaError>> {
        let document = DocumentSchema::root_settings().validate(text, "")?;
        let typed: RootDocument = document.deserialize().map_err(|error| vec![error])?;
        let mut defaults = BUILT_IN.clone();
        merge(&mut defaults, &document.value()["defaults"]);
        let sample = deserialize_service(&document, "defaults", &with_sample_match(&defaults))?;
        if let Some((path, message)) = sample.find_contradiction() {
            return Err(vec![document.error_at(&format!("defaults.{path}"), message)]);
        }
        let settings_lease = typed.settings_lease.as_deref().and_then(parse_duration);
        Ok(Self {
            version,
            settings_lease: settings_lease.unwrap_or(DEFAULT_SETTINGS_LEASE),
            stale_policy: typed.stale_policy.unwrap_or(StalePolicy::Refuse),
            defaults,
        })
    }
}

impl TeamSettings {
    /// Parses and checks a team's document and applies the root defaults; contradictory values are
    /// errors.
    pub fn parse(name: &str, text: &str, root: &RootSettings) -> Result<Self, Vec<SchemaError>> {
        let document = DocumentSchema::team_settings().validate(text, &format!("teams.{name}"))?;
        let typed: TeamDocument = document.deserialize().map_err(|error| vec![error])?;
        let mut errors = Vec::new();
        if typed.team != name || name == ROOT_BRANCH {
            let message = format!("expected the name of the branch ({name}), found {}", typed.team);
            errors.push(document.error_at("team", message));
        }
        let team = Self::apply_defaults(name, &document, root)?;
        for (service, settings) in &team.services {
            if let Some((path, message)) = settings.find_contradiction() {
                errors.push(document.error_at(&format!("services.{service}.{path}"), message));
            }
        }
        errors.extend(team.duplicate_route_errors(&document));
        errors.truncate(MAX_REPORTED_ERRORS);
        if errors.is_empty() { Ok(team) } else { Err(errors) }
    }

    /// Parses an accepted document; resolves contradictions that a change of the root defaults
    /// caused.
    pub(super) fn load(
        name: &str,
        text: &str,
        root: &RootSettings,
    ) -> Result<Self, Vec<SchemaError>> {
        let document = DocumentSchema::team_settings().validate(text, &format!("teams.{name}"))?;
        let mut team = Self::apply_defaults(name, &document, root)?;
        for settings in team.services.values_mut() {
            Arc::make_mut(settings).resolve_contradictions();
        }
        Ok(team)
    }

    fn apply_defaults(
        name: &str,
        document: &ValidatedDocument,
        root: &RootSettings,
    ) -> Result<Self, Vec<SchemaError>> {
        let value = document.value();
        let mut defaults = root.defaults.clone();
        merge(&mut defaults, &value["defaults"]);
        // The inherited list is deserialized once and shared. If each of 500 services held a copy
        // of a long list, a small document would take a lot of memory on every entry.
        let inherited_classes = defaults["classes"].take();
        let inherited_classes: Arc<[RequestClass]> = serde_json::from_value(inherited_classes)
            .map_err(|error| vec![document.error_at("defaults.classes", error.to_string())])?;
        if let Some(object) = defaults.as_object_mut() {
            object.remove("classes");
        }
        let mut services = BTreeMap::new();
        for (service, service_value) in value["services"].as_object().unwrap_or(&Map::new()) {
            let mut merged = defaults.clone();
            merge(&mut merged, service_value);
            let path = format!("services.{service}");
            let mut settings = deserialize_service(document, &path, &merged)?;
            if service_value.get("classes").is_none() {
                settings.classes = Arc::clone(&inherited_classes);
            }
            services.insert(service.as_str().into(), Arc::new(settings));
        }
        Ok(Self { name: name.into(), version: 0, token_sha256: "".into(), services })
    }

    /// Returns an error for each service that matches the same host and path prefix as another
    /// service of the team.
    fn duplicate_route_errors(&self, document: &ValidatedDocument) -> Vec<SchemaError> {
        let mut services_by_route = BTreeMap::new();
        let mut errors = Vec::new();
        for (service, settings) in &self.services {
            let matching = &settings.matching;
            let route = (matching.host.as_deref(), matching.path_prefix.as_ref());
            if errors.len() == MAX_REPORTED_ERRORS {
                break;
            }
            let Some(owner) = services_by_route.get(&route) else {
                services_by_route.insert(route, service);
                continue;
            };
            let message = format!("service `{owner}` matches the same host and path prefix");
            errors
                .push(document.error_at(&format!("services.{service}.match.path_prefix"), message));
        }
        errors
    }
}

fn deserialize_service(
    document: &ValidatedDocument,
    path: &str,
    merged: &Value,
) -> Result<ServiceSettings, Vec<SchemaError>> {
    ServiceSettings::deserialize(merged)
        .map_err(|error| vec![document.error_at(path, error.to_string())])
}

/// Adds a match to the defaults, so that they can be checked like the settings of a service.
fn with_sample_match(defaults: &Value) -> Value {
    let mut sample = defaults.clone();
    sample["match"] = serde_json::json!({ "path_prefix": "/" });
    sample
}
