//! Anti-entropy in steps: root digest, bucket digests, service digests of one bucket, summaries of
//! the services that differ, and the servers that the peer lacks.
//!
//! While nothing differs, a round is one message of a few bytes to one peer. The items sent in one
//! second are bounded; what is left over is found again in a later round.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::{RelayedAnnouncement, ServerDirectory, ServiceKey, ServiceSummary};

/// Interval of the rounds that a process starts, each with another peer.
pub const SYNC_INTERVAL: Duration = Duration::from_secs(5);

/// Buckets over which services are spread by hash; 66 services each at 4,200.
pub const SYNC_BUCKETS: usize = 64;

/// Services and servers that may be sent in one second, in all exchanges of a process together.
pub const SYNC_ITEMS: usize = 256;

/// Step of an exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DirectorySync {
    /// Starts a round with the digest of all servers.
    #[serde(rename = "r")]
    Root(u64),
    /// Answers a differing root.
    #[serde(rename = "b")]
    Buckets(Vec<u64>),
    /// Answers differing buckets with the services of one of them.
    #[serde(rename = "s")]
    Services { bucket: u8, digests: Vec<(ServiceKey, u64)> },
    /// Answers differing services.
    #[serde(rename = "c")]
    Summaries(Vec<ServiceSummary>),
    /// Answers summaries; it ends the exchange.
    #[serde(rename = "e")]
    LastSummaries(Vec<ServiceSummary>),
}

/// What an exchange sends back to the peer.
#[derive(Clone, Debug, PartialEq)]
pub enum SyncReply {
    /// Next step.
    Sync(DirectorySync),
    /// Servers that the peer lacks.
    Answer(Vec<RelayedAnnouncement>),
}

/// Exchanges of one process with all its peers.
#[derive(Debug)]
pub struct SyncExchange {
    round_due: Instant,
    rounds: usize,
    window_end: Instant,
    items_left: usize,
}

impl SyncExchange {
    /// Creates the state of a process whose first round is due one interval from now.
    pub fn new(now: Instant) -> Self {
        let round_due = now + SYNC_INTERVAL;
        Self { round_due, rounds: 0, window_end: now, items_left: 0 }
    }

    /// Returns the number of a round that is due, by which the caller chooses the peer in turn.
    pub fn start_round(&mut self, now: Instant) -> Option<usize> {
        if now < self.round_due {
            return None;
        }
        self.round_due = now + SYNC_INTERVAL;
        self.rounds += 1;
        Some(self.rounds)
    }

    /// Takes a peer's step and returns what to send back.
    pub fn handle(
        &mut self,
        now: Instant,
        directory: &ServerDirectory,
        step: &DirectorySync,
    ) -> Vec<SyncReply> {
        if now >= self.window_end {
            self.window_end = now + Duration::from_secs(1);
            self.items_left = SYNC_ITEMS;
        }
        match step {
            DirectorySync::Root(root) => self.compare_roots(directory, *root),
            DirectorySync::Buckets(peer) => self.choose_bucket(directory, peer),
            DirectorySync::Services { bucket, digests } => {
                let summaries = self.differing_summaries(directory, *bucket, digests);
                if summaries.is_empty() {
                    return Vec::new();
                }
                vec![SyncReply::Sync(DirectorySync::Summaries(summaries))]
            }
            DirectorySync::Summaries(peer) => {
                // The answer comes first: summaries that used up the allowance would repair nothing.
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

    fn take(&mut self, items: usize) -> bool {
        let fits = items <= self.items_left;
        if fits {
            self.items_left -= items;
        }
        fits
    }

    fn compare_roots(&mut self, directory: &ServerDirectory, peer: u64) -> Vec<SyncReply> {
        // Each bucket digest counts as an eighth of an item, by its size.
        if peer == directory.root_digest() || !self.take(SYNC_BUCKETS / 8) {
            return Vec::new();
        }
        vec![SyncReply::Sync(DirectorySync::Buckets(bucket_digests(directory)))]
    }

    fn choose_bucket(&mut self, directory: &ServerDirectory, peer: &[u64]) -> Vec<SyncReply> {
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
        // Another one each round, so that a bucket that can't be settled doesn't hide the others.
        let bucket = differing[self.rounds % differing.len()];
        let mut digests = directory.service_digests();
        digests.retain(|(service, _)| bucket_of(service) == bucket);
        if !self.take(digests.len()) {
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
        let known: BTreeMap<&ServiceKey, u64> =
            peer.iter().map(|(service, digest)| (service, *digest)).collect();
        let mut summaries = Vec::new();
        let mut own = directory.service_digests();
        own.retain(|(service, _)| bucket_of(service) == usize::from(bucket));
        for (service, digest) in &own {
            if known.get(service) != Some(digest) {
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

    /// Returns what is known of a service, unless the allowance of this second is spent.
    fn summarize(
        &mut self,
        directory: &ServerDirectory,
        service: &ServiceKey,
    ) -> Option<ServiceSummary> {
        // A service with more servers than the allowance must be repaired as well.
        let items = (1 + directory.servers(service).count()).min(SYNC_ITEMS / 2);
        self.take(items).then(|| directory.service_summary(service))
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
            // Sending part of a service is of use: the rest still differs in a later round.
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

/// Bucket of a service: FNV-1a over its names, then the 64-bit finalizer of MurmurHash3.
///
/// FNV alone put most of 400 services that differ only in their last digits into a few buckets,
/// which then held more services than one second's allowance.
fn bucket_of(service: &ServiceKey) -> usize {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in service.team.bytes().chain([0]).chain(service.service.bytes()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    (hash ^ (hash >> 33)) as usize % SYNC_BUCKETS
}
