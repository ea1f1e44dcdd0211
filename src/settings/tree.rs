//! Settings tree with the lookup of the service that a request belongs to.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::document::{RootSettings, TeamSettings};
use super::effective::ServiceSettings;
use crate::ids::{SettingsRevision, TeamName};

/// Maximum length in bytes of a service's path prefix, as in the schema.
const PATH_PREFIX_BYTE_LIMIT: usize = 256;

/// Settings of the root branch and of all teams.
#[derive(Clone, Debug)]
pub struct SettingsTree {
    pub revision: SettingsRevision,
    pub root: Arc<RootSettings>,
    pub teams: BTreeMap<TeamName, Arc<TeamSettings>>,
    routes: RouteTable,
}

/// Reference to a service of the tree.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRef {
    pub team: Arc<str>,
    pub service: Arc<str>,
    pub settings: Arc<ServiceSettings>,
}

/// Error for a service that matches the same host and path prefix as another service.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("service `{team}/{service}` matches the same host and path prefix as `{owner}`")]
pub struct DuplicateRoute {
    pub team: Box<str>,
    pub service: Box<str>,
    /// Service that already owns the route, as `team/service`.
    pub owner: Box<str>,
}

/// Services by path prefix: for each named host, and for any host.
#[derive(Clone, Debug, Default)]
struct RouteTable {
    routes_by_host: BTreeMap<Box<str>, BTreeMap<Box<str>, ServiceRef>>,
    any_host_routes: BTreeMap<Box<str>, ServiceRef>,
}

impl SettingsTree {
    /// Assembles a tree from parsed branches.
    pub fn assemble(
        revision: SettingsRevision,
        root: Arc<RootSettings>,
        teams: BTreeMap<TeamName, Arc<TeamSettings>>,
    ) -> Result<Self, DuplicateRoute> {
        let mut routes = RouteTable::default();
        for team in teams.values() {
            for (service, settings) in &team.services {
                let service_ref = ServiceRef {
                    team: Arc::clone(&team.name),
                    service: service.as_ref().into(),
                    settings: Arc::clone(settings),
                };
                routes.insert(service_ref)?;
            }
        }
        Ok(Self { revision, root, teams, routes })
    }

    /// Finds the service of a request; `host` may include a port, and `path` a query.
    ///
    /// A service that names the host takes precedence, so that a service for any host cannot
    /// receive requests to another team's host. Within each group, the longest matching prefix
    /// wins.
    pub fn find_service(&self, host: &str, path: &str) -> Option<&ServiceRef> {
        let host = strip_port_and_dot(host);
        let lower_case: Box<str>;
        let host = if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
            lower_case = host.to_ascii_lowercase().into();
            &lower_case
        } else {
            host
        };
        let path = path.split('?').next().unwrap_or(path);
        if let Some(found) = self
            .routes
            .routes_by_host
            .get(host)
            .and_then(|routes| find_longest_prefix(routes, path))
        {
            return Some(found);
        }
        find_longest_prefix(&self.routes.any_host_routes, path)
    }

    /// Returns the settings of a service.
    pub fn service(&self, team: &str, service: &str) -> Option<&Arc<ServiceSettings>> {
        self.teams.get(team)?.services.get(service)
    }
}

impl RouteTable {
    fn insert(&mut self, service_ref: ServiceRef) -> Result<(), DuplicateRoute> {
        let matching = &service_ref.settings.matching;
        let routes = match &matching.host {
            Some(host) => self.routes_by_host.entry(host.clone()).or_default(),
            None => &mut self.any_host_routes,
        };
        if let Some(owner) = routes.get(&matching.path_prefix) {
            return Err(DuplicateRoute {
                team: service_ref.team.as_ref().into(),
                service: service_ref.service.as_ref().into(),
                owner: format!("{}/{}", owner.team, owner.service).into(),
            });
        }
        routes.insert(matching.path_prefix.clone(), service_ref);
        Ok(())
    }
}

/// Removes the port and a trailing dot from a host; an IPv6 address keeps its brackets.
fn strip_port_and_dot(host: &str) -> &str {
    let name = match host.rfind(':') {
        Some(colon) if !host[colon..].contains(']') => &host[..colon],
        _ => host,
    };
    name.strip_suffix('.').unwrap_or(name)
}

/// Finds the service with the longest prefix of whole segments; tries only prefixes within the
/// length limit.
fn find_longest_prefix<'r>(
    routes: &'r BTreeMap<Box<str>, ServiceRef>,
    path: &str,
) -> Option<&'r ServiceRef> {
    if !path.starts_with('/') {
        return None;
    }
    if path.len() <= PATH_PREFIX_BYTE_LIMIT
        && let Some(found) = routes.get(path)
    {
        return Some(found);
    }
    let bytes = path.as_bytes();
    for end in (1..bytes.len().min(PATH_PREFIX_BYTE_LIMIT + 1)).rev() {
        if bytes[end] != b'/' {
            continue;
        }
        if let Some(found) = routes.get(&path[..end]) {
            return Some(found);
        }
    }
    routes.get("/")
}
