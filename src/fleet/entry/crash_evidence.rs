//! Decides from the replica whether a lost connection was the crash of a server.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::fleet::announcement::{IncarnationStart, ServerState};
use crate::fleet::crash::{CrashReport, EVIDENCE_LIFETIME};
use crate::fleet::update::ServerView;
use crate::ids::{RequestDigest, ServerId};

/// Time for which a lost connection can still be confirmed as a crash by the replica: a crashed server
/// that is restarted by its host announces itself within this time.
pub const EVIDENCE_PATIENCE: Duration = Duration::from_secs(2);

/// Maximum number of lost connections that await confirmation; the oldest goes first.
pub const MAX_PENDING_EVIDENCE: usize = 256;

/// Send whose connection was lost before the response was complete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BrokenSend {
    /// Request id for logs.
    pub request: Box<str>,
    pub digest: RequestDigest,
    pub server: ServerId,
    /// Incarnation to which the request was sent.
    pub started: IncarnationStart,
    pub address: SocketAddr,
    pub sent_at: Instant,
    pub broken_at: Instant,
}

impl BrokenSend {
    /// Report of the crash, as of `now`.
    pub fn report(&self, now: Instant) -> CrashReport {
        CrashReport {
            digest: self.digest,
            server: self.server.clone(),
            started: self.started,
            ran_for: self.broken_at.saturating_duration_since(self.sent_at),
            age: now.saturating_duration_since(self.broken_at),
        }
    }
}

/// How a crash was confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashProof {
    /// The server's address refuses connections.
    Refused,
    /// The server announced a newer incarnation.
    NewIncarnation,
    /// A newer server announced the address.
    AddressTaken,
}

impl CrashProof {
    /// Value for logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Refused => "connection_refused",
            Self::NewIncarnation => "new_incarnation",
            Self::AddressTaken => "address_taken",
        }
    }
}

/// What the replica says about a lost connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaVerdict {
    Crashed(CrashProof),
    /// The incarnation is still announced as ready.
    Undecided,
    /// The server drains or has left, so the loss may be a planned stop.
    PlannedStop,
}

/// Compares an incarnation of a server with the servers in the replica.
pub fn judge(
    servers: &BTreeMap<ServerId, ServerView>,
    server: &ServerId,
    started: IncarnationStart,
    address: SocketAddr,
) -> ReplicaVerdict {
    if let Some(view) = servers.get(server) {
        let announcement = &view.announcement;
        return match announcement.state {
            _ if announcement.started > started => {
                ReplicaVerdict::Crashed(CrashProof::NewIncarnation)
            }
            ServerState::Ready => ReplicaVerdict::Undecided,
            ServerState::Draining => ReplicaVerdict::PlannedStop,
        };
    }
    // A server whose address was taken over is removed together with the announcement of the new one.
    let is_taken = servers
        .values()
        .any(|other| other.announcement.address == address && other.announcement.started > started);
    if is_taken {
        return ReplicaVerdict::Crashed(CrashProof::AddressTaken);
    }
    ReplicaVerdict::PlannedStop
}

/// Minimum time between the crash of an incarnation and a send that its successor can have received. A
/// send that begins sooner may have used a connection whose end was not yet known.
pub const MIN_RESTART_TIME: Duration = Duration::from_millis(100);

/// Incarnations of which this entry knows that they crashed: the newest one of each server. A server can
/// run requests again before its next incarnation is announced, and its next crash is another one.
#[derive(Debug, Default)]
pub struct CrashedIncarnations {
    newest: BTreeMap<ServerId, (IncarnationStart, Instant)>,
}

impl CrashedIncarnations {
    /// Records that an incarnation crashed at `crashed_at`.
    pub fn record(&mut self, server: &ServerId, started: IncarnationStart, crashed_at: Instant) {
        let is_newer = self.newest.get(server).is_none_or(|(known, _)| *known < started);
        if is_newer {
            self.newest.insert(server.clone(), (started, crashed_at));
        }
    }

    /// Incarnation that the send reached; `None` if it is not announced yet.
    pub fn find_reached(
        &self,
        send: &BrokenSend,
        servers: &BTreeMap<ServerId, ServerView>,
    ) -> Option<IncarnationStart> {
        let Some((crashed, crashed_at)) = self.newest.get(&send.server) else {
            return Some(send.started);
        };
        if send.started > *crashed || send.sent_at < *crashed_at + MIN_RESTART_TIME {
            return Some(send.started);
        }
        let Some(view) = servers.get(&send.server) else { return Some(send.started) };
        let announced = view.announcement.started;
        (announced > *crashed).then_some(announced)
    }

    pub fn expire(&mut self, now: Instant) {
        self.newest.retain(|_, (_, crashed_at)| {
            now.saturating_duration_since(*crashed_at) < EVIDENCE_LIFETIME
        });
    }

    pub fn len(&self) -> usize {
        self.newest.len()
    }

    pub fn is_empty(&self) -> bool {
        self.newest.is_empty()
    }
}

/// Lost connections to servers that did not refuse the next connection.
#[derive(Debug, Default)]
pub struct PendingEvidence {
    sends: VecDeque<BrokenSend>,
}

impl PendingEvidence {
    pub fn add(&mut self, now: Instant, send: BrokenSend) {
        self.expire(now);
        if self.sends.len() >= MAX_PENDING_EVIDENCE {
            self.sends.pop_front();
        }
        self.sends.push_back(send);
    }

    /// Removes and returns the sends that `servers` confirms as crashes; those that it explains as a
    /// planned stop are dropped.
    pub fn take_confirmed(
        &mut self,
        now: Instant,
        servers: &BTreeMap<ServerId, ServerView>,
    ) -> Vec<(BrokenSend, CrashProof)> {
        self.expire(now);
        let mut confirmed = Vec::new();
        for send in std::mem::take(&mut self.sends) {
            match judge(servers, &send.server, send.started, send.address) {
                ReplicaVerdict::Crashed(proof) => confirmed.push((send, proof)),
                ReplicaVerdict::Undecided => self.sends.push_back(send),
                ReplicaVerdict::PlannedStop => {}
            }
        }
        confirmed
    }

    pub fn len(&self) -> usize {
        self.sends.len()
    }

    pub fn is_empty(&self) -> bool {
        self.sends.is_empty()
    }

    fn expire(&mut self, now: Instant) {
        self.sends.retain(|send| now.saturating_duration_since(send.broken_at) < EVIDENCE_PATIENCE);
    }
}
