//! Anti-entropy protocol between two directories. Its steps are the root digest, the bucket
//! digests, the service digests of one bucket, the summaries of the services that differ, and the
//! servers that the peer lacks.
//!
//! While nothing differs, a round costs a single message of a few bytes. The number of items sent
//! per second is limited; a later round finds the remaining differences.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::{RelayedAnnouncement, ServerDirectory, ServiceKey, ServiceSummary};

/// Interval at which a process starts rounds, each with the next peer in turn.
pub const SYNC_INTERVAL: Duration = Duration::from_secs(5);

/// Number of hash buckets over which the services are spread; at 4,200 services each has about 66.
pub const SYNC_BUCKETS: usize = 64;

/// Most services and servers that a process sends per second to all its peers together.
pub const SYNC_ITEMS_PER_SECOND: usize = 256;

/// Message of an exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DirectorySync {
    /// Starts a round with the digest of all servers.
    #[serde(rename = "r")]
    Root(u64),
    /// Answers a different root digest with the digests of all buckets.
    #[serde(rename = "b")]
    Buckets(Vec<u64>),
    /// Answers differing buckets with the service digests of one of them.
    #[serde(rename = "s")]
    Services { bucket: u8, digests: Vec<(ServiceKey, u64)> },
    /// Answers differing services with their summaries.
    #[serde(rename = "c")]
    Summaries(Vec<ServiceSummary>),
    /// Answers summaries with the own summaries of the same services, and ends the exchange.
    #[serde(rename = "e")]
    LastSummaries(Vec<ServiceSummary>),
}

/// Reply to a peer's step.
#[derive(Clone, Debug, PartialEq)]
pub enum SyncReply {
    /// The next step of the exchange.
    Sync(DirectorySync),
    /// The servers that the peer lacks.
    Answer(Vec<RelayedAnnouncement>),
}

/// Schedule and item budget of the exchanges of one process with all its peers.
#[derive(Debug)]
pub struct SyncExchange {
    round_due: Instant,
    rounds: usize,
    window_end: Instant,
    items_left: usize,
}

impl SyncExchange {
    /// Creates an exchange whose first round is due one interval after `now`.
    pub fn new(now: Instant) -> Self {
        let round_due = now + SYNC_INTERVAL;
        Self { round_due, rounds: 0, window_end: now, items_left: 0 }
    }

    /// Starts a round if one is due and returns its number, by which the caller chooses the peer.
    pub fn start_round(&mut self, now: Instant) -> Option<usize> {
        if now < self.round_due {
            return None;
        }
        self.round_due = now + SYNC_INTERVAL;
        self.rounds += 1;
        Some(self.rounds)
    }

    /// Handles a peer's step and returns the replies to send.
    pub fn handle(
        &mut self,
        now: Instant,
        directory: &ServerDirectory,
        step: &DirectorySync,
    ) -> Vec<SyncReply> {
        if now >= self.window_end {
            self.window_end = now + Duration::from_secs(1);
            self.items_left = SYNC_ITEMS_PER_SECOND;
        }
        match step {
            DirectorySync::Root(root) => self.answer_root(directory, *root),
            DirectorySync::Buckets(peer) => self.answer_buckets(directory, peer),
            DirectorySync::Services { bucket, digests } => {
                let summaries = self.differing_summaries(directory, *bucket, digests);
                if summaries.is_empty() {
                    return Vec::new();
                }
                vec![SyncReply::Sync(DirectorySync::Summaries(summaries))]
            }
            DirectorySync::Summaries(peer) => {
                // The servers come first, as summaries that use up the item budget repair nothing.
                let mut replies = self.answer(now, directory, peer);
                let mut own = Vec::new();
                for summary in peer {
                    own.extend(self.summarize(directory, &summary.service));
                }
                replies.push(SyncReply::Sync(DirectorySync::LastSummaries(own)));
                replies
            }
            DirectorySync::LastSummaries(peer) => self.answer(now, directory, peer),
        }
    }

    fn take_items(&mut self, items: usize) -> bool {
        let fits = items <= self.items_left;
        if fits {
            self.items_left -= items;
        }
        fits
    }

    fn answer_root(&mut self, directory: &ServerDirectory, peer_root: u64) -> Vec<SyncReply> {
        // Each bucket digest is charged as an eighth of an item, in proportion to its size.
        if peer_root == directory.root_digest() || !self.take_items(SYNC_BUCKETS / 8) {
            return Vec::new();
        }
        vec![SyncReply::Sync(DirectorySync::Buckets(bucket_digests(directory)))]
    }

    fn answer_buckets(&mut self, directory: &ServerDirectory, peer: &[u64]) -> Vec<SyncReply> {
        let own = bucket_digests(directory);
        let mut differing = Vec::new();
        for (bucket, (own, peer)) in own.iter().zip(peer).enumerate() {
            if own != peer {
                differing.push(bucket);
            }
        }
        if differing.is_empty() {
            return Vec::new();
        }
        // Each round chooses another bucket, so that one that stays different can't block others.
        let bucket = differing[self.rounds % differing.len()];
        let mut digests = directory.service_digests();
        digests.retain(|(service, _)| bucket_of(service) == bucket);
        if !self.take_items(digests.len()) {
            return Vec::new();
        }
        let bucket = bucket as u8;
        vec![SyncReply::Sync(DirectorySync::Services { bucket, digests })]
    }

    fn differing_summaries(
        &mut self,
        directory: &ServerDirectory,
        bucket: u8,
        peer: &[(ServiceKey, u64)],
    ) -> Vec<ServiceSummary> {
        let peer_digests: BTreeMap<&ServiceKey, u64> =
            peer.iter().map(|(service, digest)| (service, *digest)).collect();
        let mut summaries = Vec::new();
        let mut own = directory.service_digests();
        own.retain(|(service, _)| bucket_of(service) == usize::from(bucket));
        for (service, digest) in &own {
            if peer_digests.get(service) != Some(digest) {
                summaries.extend(self.summarize(directory, service));
            }
        }
        for (service, _) in peer {
            if directory.servers(service).next().is_none() {
                summaries.extend(self.summarize(directory, service));
            }
        }
        summaries
    }

    /// Returns the summary of a service, unless the item budget of this second is used up.
    fn summarize(
        &mut self,
        directory: &ServerDirectory,
        service: &ServiceKey,
    ) -> Option<ServiceSummary> {
        // The cap lets a service with more servers than the budget be repaired, too.
        let items = (1 + directory.servers(service).count()).min(SYNC_ITEMS_PER_SECOND / 2);
        self.take_items(items).then(|| directory.service_summary(service))
    }

    fn answer(
        &mut self,
        now: Instant,
        directory: &ServerDirectory,
        peer: &[ServiceSummary],
    ) -> Vec<SyncReply> {
        let mut answer = Vec::new();
        for summary in peer {
            let mut missing = directory.missing_from(now, summary);
            // A part of the servers is of use: a later round finds the rest still different.
            missing.truncate(self.items_left);
            self.items_left -= missing.len();
            answer.extend(missing);
        }
        if answer.is_empty() { Vec::new() } else { vec![SyncReply::Answer(answer)] }
    }
}

fn bucket_digests(directory: &ServerDirectory) -> Vec<u64> {
    let mut digests = vec![0_u64; SYNC_BUCKETS];
    for (service, digest) in directory.service_digests() {
        let bucket = &mut digests[bucket_of(&service)];
        *bucket = bucket.wrapping_add(digest);
    }
    digests
}

/// Returns the bucket of a service: FNV-1a over its names, finalized as by 64-bit MurmurHash3.
///
/// FNV-1a alone put most of 400 services whose names differ only in the last digits into a few
/// buckets, which then held more services than the item budget of one second.
fn bucket_of(service: &ServiceKey) -> usize {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in service.team.bytes().chain([0]).chain(service.service.bytes()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    (hash ^ (hash >> 33)) as usize % SYNC_BUCKETS
}
