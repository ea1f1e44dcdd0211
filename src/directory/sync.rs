//! Anti-entropy: two processes compare digests and exchange only what differs.
//!
//! They compare `root_digest` first, then `service_digests`, then a `ServiceSummary` of each
//! service that `differing_services` names, and answer each summary with `missing_from`.

use std::collections::BTreeMap;
use std::time::Instant;

use serde::{Deserialize, Serialize};

use super::{
    AnnouncedState, FORGET_AFTER, LifeState, RelayedAnnouncement, ServerDirectory, ServiceKey,
};
use crate::ids::ServerId;

/// What one process knows of one server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerSummary {
    pub server: ServerId,
    pub incarnation: u64,
    pub digest: u64,
}

/// What one process knows of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSummary {
    pub service: ServiceKey,
    pub servers: Vec<ServerSummary>,
}

impl ServerDirectory {
    /// Returns the digest of all servers; equal digests end the comparison.
    pub fn root_digest(&self) -> u64 {
        self.digest
    }

    /// Returns the digest of each service.
    pub fn service_digests(&self) -> Vec<(ServiceKey, u64)> {
        let digests = self.services.iter().map(|(key, entry)| (key.clone(), entry.digest));
        digests.collect()
    }

    /// Returns the services that the peer lacks, has more of, or has other servers of.
    pub fn differing_services(&self, peer: &[(ServiceKey, u64)]) -> Vec<ServiceKey> {
        let peer: BTreeMap<&ServiceKey, u64> =
            peer.iter().map(|(key, digest)| (key, *digest)).collect();
        let mut differing = Vec::new();
        for (key, entry) in &self.services {
            if peer.get(key) != Some(&entry.digest) {
                differing.push(key.clone());
            }
        }
        for key in peer.keys() {
            if !self.services.contains_key(*key) {
                differing.push((*key).clone());
            }
        }
        differing
    }

    /// Returns what is known of one service.
    pub fn service_summary(&self, service: &ServiceKey) -> ServiceSummary {
        let mut servers = Vec::new();
        for record in self.servers(service) {
            servers.push(ServerSummary {
                server: record.announcement.server.clone(),
                incarnation: record.announcement.incarnation,
                digest: record.content_digest,
            });
        }
        ServiceSummary { service: service.clone(), servers }
    }

    /// Returns the servers of which the peer lacks something that is known here.
    pub fn missing_from(&self, now: Instant, peer: &ServiceSummary) -> Vec<RelayedAnnouncement> {
        let known: BTreeMap<&ServerId, &ServerSummary> =
            peer.servers.iter().map(|summary| (&summary.server, summary)).collect();
        let mut missing = Vec::new();
        for record in self.servers(&peer.service) {
            let announcement = &record.announcement;
            let summary = known.get(&announcement.server);
            // A server that expired here isn't news: to a peer that has forgotten it, or starts
            // empty, it would only look like one more late server.
            let expired = record.life == LifeState::Gone
                && (announcement.state != AnnouncedState::Gone
                    || now.saturating_duration_since(record.heard) >= FORGET_AFTER);
            if summary.is_none() && expired {
                continue;
            }
            let same = summary.is_some_and(|summary| {
                summary.incarnation > announcement.incarnation
                    || summary.digest == record.content_digest
            });
            if !same {
                missing.push(record.relayed(now));
            }
        }
        missing
    }
}
