//! Decides from which member an entry streams updates, and which members it follows.
//!
//! An entry has links to several members, so that the loss of one is noticed and bridged at once. Only
//! one link carries the updates: an entry's line may be slow, and several copies of a large document
//! would all arrive late. The others carry short notices, which show whether updates are missing.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::balance::rendezvous_score;
use crate::ids::{LogIndex, ProcessName, ZoneName};

/// Number of members that an entry follows. Any three of five include a member of every majority.
pub const FOLLOWED_MEMBERS: usize = 3;

/// Time without a notice after which a member no longer counts as up to date.
pub const FRESHNESS_LIFETIME: Duration = Duration::from_millis(1100);

/// Time without progress after which missing updates are requested from another member.
const STREAM_PATIENCE: Duration = Duration::from_millis(300);

/// What an entry knows about one linked member.
#[derive(Debug, Default)]
struct LinkedMember {
    /// Time of the last notice that the member is up to date.
    fresh_at: Option<Instant>,
    /// Highest revision that the member reported.
    revision: LogIndex,
}

/// The link that carries the updates.
#[derive(Debug, Clone, Copy)]
struct StreamLink {
    address: SocketAddr,
    /// Time of the last update, or of the request for updates.
    progress_at: Instant,
}

/// Links of one entry to the members.
#[derive(Debug)]
pub struct FollowPlan {
    name: ProcessName,
    zone: ZoneName,
    links: BTreeMap<SocketAddr, LinkedMember>,
    /// Availability zones of members, as far as known.
    zones: BTreeMap<SocketAddr, ZoneName>,
    stream: Option<StreamLink>,
    /// Time since which a linked member has a higher revision than this entry.
    behind_since: Option<Instant>,
}

impl FollowPlan {
    pub fn new(name: ProcessName, zone: ZoneName) -> Self {
        Self {
            name,
            zone,
            links: BTreeMap::new(),
            zones: BTreeMap::new(),
            stream: None,
            behind_since: None,
        }
    }

    /// Records that a member is being dialled.
    pub fn add_link(&mut self, address: SocketAddr) {
        self.links.entry(address).or_default();
    }

    pub fn remove_link(&mut self, address: SocketAddr) {
        self.links.remove(&address);
        self.stream = self.stream.filter(|stream| stream.address != address);
    }

    pub fn has_link(&self, address: SocketAddr) -> bool {
        self.links.contains_key(&address)
    }

    pub fn link_count(&self) -> usize {
        self.links.len()
    }

    /// Records the availability zone that a member reported.
    pub fn record_zone(&mut self, address: SocketAddr, zone: &ZoneName) {
        if self.zones.get(&address) != Some(zone) {
            self.zones.insert(address, zone.clone());
        }
    }

    /// Records that a member is up to date.
    pub fn record_fresh(&mut self, now: Instant, address: SocketAddr) {
        if let Some(link) = self.links.get_mut(&address) {
            link.fresh_at = Some(now);
        }
    }

    /// Records the revision of a member.
    pub fn record_revision(&mut self, address: SocketAddr, revision: LogIndex) {
        if let Some(link) = self.links.get_mut(&address) {
            link.revision = link.revision.max(revision);
        }
    }

    /// Records that a part of an update has arrived.
    pub fn record_progress(&mut self, now: Instant, address: SocketAddr) {
        if let Some(stream) = &mut self.stream
            && stream.address == address
        {
            stream.progress_at = now;
        }
    }

    /// Forgets what the members reported, after a suspension of this machine.
    pub fn forget_freshness(&mut self) {
        for link in self.links.values_mut() {
            link.fresh_at = None;
        }
    }

    fn is_fresh(&self, now: Instant, address: &SocketAddr) -> bool {
        let fresh_at = self.links.get(address).and_then(|link| link.fresh_at);
        fresh_at.is_some_and(|at| now.duration_since(at) < FRESHNESS_LIFETIME)
    }

    /// Number of linked members that are up to date.
    pub fn fresh_count(&self, now: Instant) -> usize {
        self.links.keys().filter(|address| self.is_fresh(now, address)).count()
    }

    fn is_local(&self, address: &SocketAddr) -> bool {
        self.zones.get(address) == Some(&self.zone)
    }

    /// Order in which this entry prefers members: those of its own zone, then by a hash, so that
    /// entries spread over the others.
    fn rank(&self, address: &SocketAddr) -> (bool, f64) {
        (!self.is_local(address), rendezvous_score(&self.name, &address.to_string()))
    }

    /// Whether enough better members are up to date, so that this link can be closed.
    pub fn is_surplus(&self, now: Instant, address: SocketAddr) -> bool {
        let rank = self.rank(&address);
        let others = self.links.keys().filter(|other| **other != address);
        let better = others.filter(|other| self.is_fresh(now, other) && self.rank(other) < rank);
        let is_stream = self.stream.is_some_and(|stream| stream.address == address);
        !is_stream && better.count() >= FOLLOWED_MEMBERS
    }

    /// Returns the members of `known` to dial: all of them while none is up to date, and otherwise as
    /// many as are missing. One more is dialled while none is known to be in the own zone.
    pub fn members_to_dial(
        &self,
        now: Instant,
        known: impl Iterator<Item = SocketAddr>,
    ) -> Vec<SocketAddr> {
        let mut candidates: Vec<_> = known.filter(|address| !self.has_link(*address)).collect();
        if self.fresh_count(now) == 0 {
            return candidates;
        }
        let by_rank = |left: &SocketAddr, right: &SocketAddr| {
            self.rank(left).partial_cmp(&self.rank(right)).unwrap_or(std::cmp::Ordering::Equal)
        };
        candidates.sort_by(by_rank);
        let missing = FOLLOWED_MEMBERS.saturating_sub(self.links.len());
        let has_local = self.links.keys().any(|address| self.is_local(address));
        if missing > 0 || has_local {
            candidates.truncate(missing);
            return candidates;
        }
        candidates.retain(|address| self.is_local(address) || !self.zones.contains_key(address));
        candidates.truncate(1);
        candidates
    }

    /// Returns the member that should stream updates to an entry at `revision`, if that changes.
    pub fn change_stream(&mut self, now: Instant, revision: LogIndex) -> Option<SocketAddr> {
        let newest = self.links.values().map(|link| link.revision).max().unwrap_or(0);
        if newest <= revision {
            self.behind_since = None;
        } else {
            self.behind_since.get_or_insert(now);
        }
        let chosen = self.choose_stream(now, revision, newest)?;
        self.stream = Some(StreamLink { address: chosen, progress_at: now });
        self.behind_since = self.behind_since.map(|_| now);
        Some(chosen)
    }

    fn choose_stream(
        &self,
        now: Instant,
        revision: LogIndex,
        newest: LogIndex,
    ) -> Option<SocketAddr> {
        let fresh = self.links.keys().copied().filter(|address| self.is_fresh(now, address));
        let by_rank = |left: &SocketAddr, right: &SocketAddr| {
            self.rank(left).partial_cmp(&self.rank(right)).unwrap_or(std::cmp::Ordering::Equal)
        };
        let Some(stream) = self.stream else {
            // Without a leader a state may be old, but an entry without any cannot serve.
            let any = self.links.iter().filter(|(_, link)| link.revision > revision);
            return fresh
                .min_by(by_rank)
                .or_else(|| any.map(|(address, _)| *address).min_by(by_rank));
        };
        let others = fresh.filter(|address| *address != stream.address);
        let is_stalled = self.behind_since.is_some_and(|since| {
            now.duration_since(since.max(stream.progress_at)) >= STREAM_PATIENCE
        });
        let mut others = others.filter(|address| self.links[address].revision >= newest);
        if is_stalled {
            return others.min_by(by_rank);
        }
        // Updates within the zone are cheaper; nothing is sent twice while the entry is up to date.
        let is_up_to_date = newest <= revision;
        if !is_up_to_date || self.is_local(&stream.address) {
            return None;
        }
        others.find(|address| self.is_local(address))
    }

    /// Whether updates were missing at the last choice of the stream.
    pub fn is_behind(&self) -> bool {
        self.behind_since.is_some()
    }

    /// The member that streams updates.
    pub fn stream(&self) -> Option<SocketAddr> {
        self.stream.map(|stream| stream.address)
    }
}
