//! Incremental updates of the fleet state, and the replica of that state at an entry.

mod route_rows;
mod server_rows;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::announcement::{IncarnationStart, ServerAnnouncement};
use super::document::{
    CallerLimits, DocumentVersion, RouteDocument, RouteKey, RouteRule, ServiceRule,
};
use super::state::ServerRecord;
use super::tenant::TenantRule;
use crate::ids::{LogIndex, RequestDigest, ServerId, ServiceName, TenantName, ZoneName};

/// The parts of a document other than its routes; they are sent together when the document changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DocumentHead {
    pub version: DocumentVersion,
    pub limits: CallerLimits,
    pub services: BTreeMap<ServiceName, ServiceRule>,
}

/// State of one server in an update.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerView {
    pub announcement: ServerAnnouncement,
    pub silent: bool,
}

impl ServerView {
    pub fn of(record: &ServerRecord) -> Self {
        Self { announcement: record.announcement.clone(), silent: record.silent }
    }
}

/// Changes of the fleet state between two revisions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetUpdate {
    pub from: LogIndex,
    pub to: LogIndex,
    /// Whether the update replaces the whole state.
    pub complete: bool,
    pub head: Option<DocumentHead>,
    pub routes: Vec<(RouteKey, RouteRule)>,
    pub removed_routes: Vec<RouteKey>,
    #[serde(with = "server_rows")]
    pub servers: Vec<(ServerId, ServerView)>,
    pub left: Vec<(ServerId, IncarnationStart)>,
    /// Requests that no entry sends to a server any more.
    #[serde(default)]
    pub quarantined: Vec<RequestDigest>,
    #[serde(default)]
    pub released: Vec<RequestDigest>,
    /// Which of `routes` are public. The rows of [`CompactUpdate`] do not say so, because entries of older
    /// versions read them.
    #[serde(default)]
    pub public_routes: Vec<RouteKey>,
    #[serde(default)]
    pub tenants: Vec<(TenantName, TenantRule)>,
    #[serde(default)]
    pub removed_tenants: Vec<TenantName>,
    /// All evacuated availability zones, if they have changed.
    #[serde(default)]
    pub evacuated: Option<BTreeSet<ZoneName>>,
}

/// Update in the form that is sent in parts: routes travel as rows too.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CompactUpdate(#[serde(with = "CompactFields")] pub FleetUpdate);

#[derive(Serialize, Deserialize)]
#[serde(remote = "FleetUpdate")]
struct CompactFields {
    from: LogIndex,
    to: LogIndex,
    complete: bool,
    head: Option<DocumentHead>,
    #[serde(with = "route_rows")]
    routes: Vec<(RouteKey, RouteRule)>,
    removed_routes: Vec<RouteKey>,
    #[serde(with = "server_rows")]
    servers: Vec<(ServerId, ServerView)>,
    left: Vec<(ServerId, IncarnationStart)>,
    #[serde(default)]
    quarantined: Vec<RequestDigest>,
    #[serde(default)]
    released: Vec<RequestDigest>,
    #[serde(default)]
    public_routes: Vec<RouteKey>,
    #[serde(default)]
    tenants: Vec<(TenantName, TenantRule)>,
    #[serde(default)]
    removed_tenants: Vec<TenantName>,
    #[serde(default)]
    evacuated: Option<BTreeSet<ZoneName>>,
}

/// Replica of the fleet state at an entry.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetReplica {
    revision: LogIndex,
    document: Option<RouteDocument>,
    servers: BTreeMap<ServerId, ServerView>,
    quarantine: BTreeSet<RequestDigest>,
    evacuated: BTreeSet<ZoneName>,
}

impl FleetReplica {
    pub fn revision(&self) -> LogIndex {
        self.revision
    }

    /// Document in force; `None` until the first one arrives.
    pub fn document(&self) -> Option<&RouteDocument> {
        self.document.as_ref()
    }

    pub fn servers(&self) -> &BTreeMap<ServerId, ServerView> {
        &self.servers
    }

    /// Availability zones whose servers get nothing.
    pub fn evacuated(&self) -> &BTreeSet<ZoneName> {
        &self.evacuated
    }

    /// Whether this request must not be sent to a server.
    pub fn is_quarantined(&self, digest: RequestDigest) -> bool {
        self.quarantine.contains(&digest)
    }

    /// Whether any request is in quarantine; without one, no digest needs to be computed.
    pub fn has_quarantine(&self) -> bool {
        !self.quarantine.is_empty()
    }

    /// Applies an update and returns whether the revision advanced.
    ///
    /// Updates arrive over several links from members at different revisions. An update that ends at
    /// or before the current revision is stale, and one that starts after it leaves a gap; both are
    /// ignored.
    pub fn apply(&mut self, update: FleetUpdate) -> bool {
        if update.to <= self.revision || (!update.complete && update.from > self.revision) {
            return false;
        }
        self.revision = update.to;
        if update.complete {
            self.servers.clear();
            self.quarantine.clear();
            if let Some(document) = &mut self.document {
                document.routes.clear();
                document.tenants.clear();
            }
        }
        if let Some(head) = update.head {
            let document = self.document.get_or_insert_default();
            document.version = head.version;
            document.limits = head.limits;
            document.services = head.services;
        }
        if let Some(document) = &mut self.document {
            for key in &update.removed_routes {
                document.routes.remove(key);
            }
            document.routes.extend(update.routes);
            for key in &update.public_routes {
                if let Some(rule) = document.routes.get_mut(key) {
                    rule.is_public = true;
                }
            }
            for tenant in &update.removed_tenants {
                document.tenants.remove(tenant);
            }
            document.tenants.extend(update.tenants);
        }
        for (server, started) in &update.left {
            let known = self.servers.get(server);
            if known.is_some_and(|known| known.announcement.started <= *started) {
                self.servers.remove(server);
            }
        }
        self.servers.extend(update.servers);
        for digest in &update.released {
            self.quarantine.remove(digest);
        }
        self.quarantine.extend(update.quarantined);
        if let Some(evacuated) = update.evacuated {
            self.evacuated = evacuated;
        }
        true
    }
}
