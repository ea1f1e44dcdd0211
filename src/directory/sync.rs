//! Digests and summaries for anti-entropy, with which two processes exchange only what differs.
//!
//! The processes compare `root_digest`, then `service_digests`, then a `ServiceSummary` of each
//! service in `differing_services`. They answer each summary with the servers from `missing_from`.

use std::collections::BTreeMap;
use std::time::Instant;

use serde::{Deserialize, Serialize};

use super::{
    AnnouncedState, FORGET_AFTER, LifeState, RelayedAnnouncement, ServerDirectory, ServiceKey,
};
use crate::ids::ServerId;

/// Version of one server's announcement in a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerSummary {
    pub server: ServerId,
    pub incarnation: u64,
    pub digest: u64,
}

/// Versions of all announcements of one service in a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSummary {
    pub service: ServiceKey,
    pub servers: Vec<ServerSummary>,
}

impl ServerDirectory {
    /// Returns the digest of all servers. If it equals the peer's, there is nothing to exchange.
    pub fn root_digest(&self) -> u64 {
        self.digest
    }

    /// Returns the digest of each service, in the order of their keys.
    pub fn service_digests(&self) -> Vec<(ServiceKey, u64)> {
        let digests = self.services.iter().map(|(key, entry)| (key.clone(), entry.digest));
        digests.collect()
    }

    /// Returns the services whose digests differ, including those that only one side has.
    pub fn differing_services(&self, peer: &[(ServiceKey, u64)]) -> Vec<ServiceKey> {
        let peer_digests: BTreeMap<&ServiceKey, u64> =
            peer.iter().map(|(key, digest)| (key, *digest)).collect();
        let mut differing = Vec::new();
        for (key, entry) in &self.services {
            if peer_digests.get(key) != Some(&entry.digest) {
                differing.push(key.clone());
            }
        }
        for key in peer_digests.keys() {
            if !self.services.contains_key(*key) {
                differing.push((*key).clone());
            }
        }
        differing
    }

    /// Returns the summary of one service, which is empty if the service is unknown.
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

    /// Returns the servers that the peer's summary lacks or has in another version, except those of
    /// which the peer has a newer incarnation.
    pub fn missing_from(&self, now: Instant, peer: &ServiceSummary) -> Vec<RelayedAnnouncement> {
        let peer_summaries: BTreeMap<&ServerId, &ServerSummary> =
            peer.servers.iter().map(|summary| (&summary.server, summary)).collect();
        let mut missing = Vec::new();
        for record in self.servers(&peer.service) {
            let announcement = &record.announcement;
            let summary = peer_summaries.get(&announcement.server);
            // An expired server is not sent to a peer that does not know it: the peer has deleted
            // it or has just started, and would only get one more late server.
            let expired = record.life == LifeState::Gone
                && (announcement.state != AnnouncedState::Gone
                    || now.saturating_duration_since(record.heartbeat_at) >= FORGET_AFTER);
            if summary.is_none() && expired {
                continue;
            }
            let is_up_to_date = summary.is_some_and(|summary| {
                summary.incarnation > announcement.incarnation
                    || summary.digest == record.content_digest
            });
            if !is_up_to_date {
                missing.push(record.relayed_announcement(now));
            }
        }
        missing
    }
}
