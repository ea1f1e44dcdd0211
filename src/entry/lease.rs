//! Client side of the settings lease of an entry.
//!
//! A lease starts when the entry sends its renewal, so a delayed grant never extends it beyond what
//! the control leader assumes.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::ids::ProcessName;

/// Maximum interval between renewals.
const MAX_RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum time to wait for an answer before the renewal is sent to another recipient.
const MAX_ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Renewals per lease duration. With a fixed interval of 1 s, leases of 1 s or less would lapse.
const RENEWALS_PER_LEASE: u32 = 3;

/// Answer timeouts per lease duration, so that other recipients are tried before it expires.
const TIMEOUTS_PER_LEASE: u32 = 8;

/// Maximum number of renewals whose send time is kept.
const MAX_PENDING_RENEWALS: usize = 16;

/// Tracks the lease and chooses the recipient of each renewal.
#[derive(Debug)]
pub struct LeaseClient {
    controls: Vec<ProcessName>,
    linked_controls: BTreeSet<ProcessName>,
    linked_peers: BTreeSet<ProcessName>,
    leader: Option<ProcessName>,
    expires_at: Option<Instant>,
    answer_timeout: Duration,
    next_nonce: u64,
    pending: Vec<PendingRenewal>,
    /// Recipient of the last renewal.
    last_recipient: Option<ProcessName>,
    next_send: Instant,
    /// The last renewal has had neither a grant nor a redirect.
    awaits_answer: bool,
    /// A redirect was followed immediately since the last timer-driven renewal, so the next
    /// redirect waits. Otherwise two processes that name each other as leader would be asked
    /// without a pause.
    has_followed_redirect: bool,
    /// Round-robin positions, kept separately so that all recipients of each kind get a turn.
    control_turn: usize,
    peer_turn: usize,
}

#[derive(Clone, Copy, Debug)]
struct PendingRenewal {
    nonce: u64,
    sent: Instant,
}

/// Input of [`LeaseClient`].
#[derive(Clone, Debug)]
pub enum LeaseInput {
    /// A link to a control process came up.
    ControlUp(ProcessName),
    /// A link to a peer entry came up.
    PeerUp(ProcessName),
    /// A link went down.
    Down(ProcessName),
    /// A control process that is not the leader named the leader, if it knows one.
    Redirected(Option<ProcessName>),
    /// A grant arrived, and the settings contained in it are installed.
    Granted {
        /// Control process that granted the lease.
        leader: ProcessName,
        /// Nonce of the renewal.
        nonce: u64,
        /// Lease duration, counted from the sending of the renewal.
        lease: Duration,
    },
    /// The machine was suspended for this long, which `Instant` does not count.
    Suspended(Duration),
    /// Time has passed.
    Tick,
}

/// Renewal that is to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RenewalAction {
    /// Control process, or a peer entry that relays the renewal.
    pub to: ProcessName,
    /// Nonce of the renewal.
    pub nonce: u64,
}

impl LeaseClient {
    /// Creates a client; `seed` determines the first nonce and the first control process to be
    /// tried.
    pub fn new(controls: Vec<ProcessName>, seed: u64, now: Instant) -> Self {
        Self {
            awaits_answer: false,
            has_followed_redirect: false,
            control_turn: usize::try_from(seed % 1024).unwrap_or_default(),
            peer_turn: 0,
            controls,
            linked_controls: BTreeSet::new(),
            linked_peers: BTreeSet::new(),
            leader: None,
            expires_at: None,
            answer_timeout: MAX_ANSWER_TIMEOUT,
            next_nonce: seed,
            pending: Vec::new(),
            last_recipient: None,
            next_send: now,
        }
    }

    /// Handles one input; returns the renewal to send, if one is due.
    pub fn handle(&mut self, now: Instant, input: LeaseInput) -> Option<RenewalAction> {
        match input {
            LeaseInput::ControlUp(name) => {
                self.linked_controls.insert(name);
                if !self.is_valid(now) {
                    self.next_send = now;
                }
            }
            LeaseInput::PeerUp(name) => {
                self.linked_peers.insert(name);
            }
            LeaseInput::Down(name) => {
                self.linked_controls.remove(&name);
                self.linked_peers.remove(&name);
                if self.leader.as_ref() == Some(&name) {
                    self.leader = None;
                    self.next_send = now;
                }
            }
            LeaseInput::Redirected(leader) => {
                let known = leader.filter(|name| self.linked_controls.contains(name));
                self.awaits_answer = false;
                // The process that was asked last may still answer.
                let is_new = known != self.leader && known != self.last_recipient;
                if known.is_some() && is_new && !self.has_followed_redirect {
                    self.has_followed_redirect = true;
                    self.next_send = now;
                }
                self.leader = known;
            }
            LeaseInput::Granted { leader, nonce, lease } => self.apply_grant(leader, nonce, lease),
            LeaseInput::Suspended(duration) => self.count_suspension(now, duration),
            LeaseInput::Tick if now >= self.next_send => self.has_followed_redirect = false,
            LeaseInput::Tick => (),
        }
        if now < self.next_send {
            return None;
        }
        self.next_renewal(now)
    }

    /// Shortens the lease by a suspension, and that of each renewal without an answer, whose grant
    /// counts from its sending.
    fn count_suspension(&mut self, now: Instant, duration: Duration) {
        let earlier = |time: Instant| time.checked_sub(duration);
        self.expires_at = self.expires_at.and_then(earlier);
        self.pending.retain_mut(|renewal| {
            let sent = earlier(renewal.sent);
            renewal.sent = sent.unwrap_or(renewal.sent);
            sent.is_some()
        });
        self.next_send = now;
    }

    /// Whether the lease is valid.
    pub fn is_valid(&self, now: Instant) -> bool {
        self.expires_at.is_some_and(|expires_at| now < expires_at)
    }

    /// Expiry of the current lease.
    pub fn expires_at(&self) -> Option<Instant> {
        self.expires_at
    }

    /// Control process that last granted a lease or was last named as leader, if it is linked.
    pub fn leader(&self) -> Option<&ProcessName> {
        self.leader.as_ref()
    }

    fn apply_grant(&mut self, leader: ProcessName, nonce: u64, lease: Duration) {
        let Some(request) = self.pending.iter().find(|request| request.nonce == nonce).copied()
        else {
            return;
        };
        self.pending.retain(|other| other.sent > request.sent);
        let expires_at = request.sent + lease;
        if self.expires_at.is_none_or(|current| current < expires_at) {
            self.expires_at = Some(expires_at);
        }
        if self.linked_controls.contains(&leader) {
            self.leader = Some(leader);
        }
        self.awaits_answer = false;
        self.answer_timeout = MAX_ANSWER_TIMEOUT.min(lease / TIMEOUTS_PER_LEASE);
        self.next_send = request.sent + MAX_RENEW_INTERVAL.min(lease / RENEWALS_PER_LEASE);
    }

    fn next_renewal(&mut self, now: Instant) -> Option<RenewalAction> {
        if self.awaits_answer {
            // The last recipient did not answer in time.
            self.leader = None;
        }
        self.next_send = now + self.answer_timeout;
        let to = self.choose_recipient()?;
        self.last_recipient = Some(to.clone());
        let nonce = self.next_nonce;
        self.next_nonce = self.next_nonce.wrapping_add(1);
        if self.pending.len() == MAX_PENDING_RENEWALS {
            self.pending.remove(0);
        }
        self.pending.push(PendingRenewal { nonce, sent: now });
        self.awaits_answer = true;
        Some(RenewalAction { to, nonce })
    }

    /// Returns the leader if known. Otherwise tries the linked control processes in turn and, with
    /// two or more pending renewals, a peer entry every other time; only peers if no control
    /// process is linked.
    fn choose_recipient(&mut self) -> Option<ProcessName> {
        if let Some(leader) = &self.leader {
            return Some(leader.clone());
        }
        let linked_controls: Vec<&ProcessName> =
            self.controls.iter().filter(|name| self.linked_controls.contains(*name)).collect();
        let prefer_peer = linked_controls.is_empty()
            || (self.pending.len() >= 2 && self.next_nonce.is_multiple_of(2));
        if prefer_peer && !self.linked_peers.is_empty() {
            self.peer_turn = self.peer_turn.wrapping_add(1);
            return self.linked_peers.iter().nth(self.peer_turn % self.linked_peers.len()).cloned();
        }
        if linked_controls.is_empty() {
            return None;
        }
        self.control_turn = self.control_turn.wrapping_add(1);
        Some(linked_controls[self.control_turn % linked_controls.len()].clone())
    }
}
