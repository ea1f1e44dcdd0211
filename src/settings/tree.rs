//! Settings in force, with the lookup of the service that a request belongs to.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::document::{RootSettings, TeamSettings};
use super::effective::ServiceSettings;
use crate::ids::{SettingsRevision, TeamName};

/// Longest path prefix of a service in bytes, as the schema allows.
const PREFIX_LIMIT: usize = 256;

/// Root settings and the settings of every team.
#[derive(Clone, Debug)]
pub struct SettingsTree {
    pub revision: SettingsRevision,
    pub root: Arc<RootSettings>,
    pub teams: BTreeMap<TeamName, Arc<TeamSettings>>,
    routes: RouteTable,
}

/// One service of the tree.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRef {
    pub team: Arc<str>,
    pub service: Arc<str>,
    pub settings: Arc<ServiceSettings>,
}

/// Two services that match the same host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("service `{team}/{service}` matches the same host and path prefix as `{owner}`")]
pub struct RouteClash {
    pub team: Box<str>,
    pub service: Box<str>,
    /// Team and service that keep the route, as `team/service`.
    pub owner: Box<str>,
}

/// Services by path prefix, for each host and for requests to any host.
#[derive(Clone, Debug, Default)]
struct RouteTable {
    hosts: BTreeMap<Box<str>, BTreeMap<Box<str>, ServiceRef>>,
    any_host: BTreeMap<Box<str>, ServiceRef>,
}

impl SettingsTree {
    /// Assembles the tree from parsed branches.
    pub fn assemble(
        revision: SettingsRevision,
        root: Arc<RootSettings>,
        teams: BTreeMap<TeamName, Arc<TeamSettings>>,
    ) -> Result<Self, RouteClash> {
        let mut routes = RouteTable::default();
        for team in teams.values() {
            for (service, settings) in &team.services {
                let reference = ServiceRef {
                    team: Arc::clone(&team.name),
                    service: service.as_ref().into(),
                    settings: Arc::clone(settings),
                };
                routes.insert(reference)?;
            }
        }
        Ok(Self { revision, root, teams, routes })
    }

    /// Finds the service of a request; `host` may carry a port and `path` a query.
    ///
    /// Services that name the host come first, so that a service for any host cannot take over
    /// requests to another team's host. Among them the longest matching prefix decides.
    pub fn find(&self, host: &str, path: &str) -> Option<&ServiceRef> {
        let host = host_name(host);
        let lower: Box<str>;
        let name = if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
            lower = host.to_ascii_lowercase().into();
            &lower
        } else {
            host
        };
        let path = path.split('?').next().unwrap_or(path);
        if let Some(found) = self.routes.hosts.get(name).and_then(|routes| longest(routes, path)) {
            return Some(found);
        }
        longest(&self.routes.any_host, path)
    }

    /// Returns the settings of a service.
    pub fn service(&self, team: &str, service: &str) -> Option<&Arc<ServiceSettings>> {
        self.teams.get(team)?.services.get(service)
    }
}

impl RouteTable {
    fn insert(&mut self, reference: ServiceRef) -> Result<(), RouteClash> {
        let matching = &reference.settings.matching;
        let routes = match &matching.host {
            Some(host) => self.hosts.entry(host.clone()).or_default(),
            None => &mut self.any_host,
        };
        if let Some(owner) = routes.get(&matching.path_prefix) {
            return Err(RouteClash {
                team: reference.team.as_ref().into(),
                service: reference.service.as_ref().into(),
                owner: format!("{}/{}", owner.team, owner.service).into(),
            });
        }
        routes.insert(matching.path_prefix.clone(), reference);
        Ok(())
    }
}

/// Cuts the port and a final dot from a host; an IPv6 address keeps its brackets.
fn host_name(host: &str) -> &str {
    let name = match host.rfind(':') {
        Some(colon) if !host[colon..].contains(']') => &host[..colon],
        _ => host,
    };
    name.strip_suffix('.').unwrap_or(name)
}

/// Finds the longest prefix of whole segments; only cuts within the prefix limit are tried.
fn longest<'r>(routes: &'r BTreeMap<Box<str>, ServiceRef>, path: &str) -> Option<&'r ServiceRef> {
    if !path.starts_with('/') {
        return None;
    }
    if path.len() <= PREFIX_LIMIT
        && let Some(found) = routes.get(path)
    {
        return Some(found);
    }
    let bytes = path.as_bytes();
    for cut in (1..bytes.len().min(PREFIX_LIMIT + 1)).rev() {
        if bytes[cut] != b'/' {
            continue;
        }
        if let Some(found) = routes.get(&path[..cut]) {
            return Some(found);
        }
    }
    routes.get("/")
}
