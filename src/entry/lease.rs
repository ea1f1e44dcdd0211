//! The entry's side of its settings lease.
//!
//! A lease runs from the moment the entry sent its request, so that a delayed grant never extends
//! it beyond what the control leader assumes.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::ids::ProcessName;

/// Longest interval of renewals.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time without an answer after which another path is tried.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Renewals in one lease. A fixed interval of 1 s let every lease of 1 s or less lapse.
const RENEWALS_PER_LEASE: u32 = 3;

/// Answer timeouts in one lease, so that further paths are tried before it ends.
const TIMEOUTS_PER_LEASE: u32 = 8;

/// Requests whose send time is remembered.
const OPEN_REQUESTS: usize = 16;

/// Keeps the lease and chooses the path of renewals.
#[derive(Debug)]
pub struct LeaseClient {
    controls: Vec<ProcessName>,
    linked: BTreeSet<ProcessName>,
    peers: BTreeSet<ProcessName>,
    leader: Option<ProcessName>,
    expires: Option<Instant>,
    answer_timeout: Duration,
    next_nonce: u64,
    open: Vec<OpenRequest>,
    /// Where the last request went.
    last_path: Option<ProcessName>,
    send_due: Instant,
    /// The last request has had no answer of any kind.
    awaits_answer: bool,
    /// A redirect was followed at once since the last timeout, so the next one waits. Two processes
    /// that name each other would otherwise be asked without a pause.
    followed: bool,
    /// Counted apart, so that each kind of path is tried in full turns.
    control_turn: usize,
    peer_turn: usize,
}

#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    nonce: u64,
    sent: Instant,
}

/// Input of the client.
#[derive(Clone, Debug)]
pub enum LeaseInput {
    /// A link to a control process is usable.
    ControlUp(ProcessName),
    /// A link to another entry is usable.
    PeerUp(ProcessName),
    /// A link is gone.
    Down(ProcessName),
    /// A control process named the leader.
    Redirected(Option<ProcessName>),
    /// A grant arrived, and the settings that came with it are installed.
    Granted {
        /// Control process that granted.
        leader: ProcessName,
        /// Nonce of the request.
        nonce: u64,
        /// Duration from the moment of the request.
        lease: Duration,
    },
    /// Time has passed.
    Tick,
}

/// Renewal request that has to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RenewalAction {
    /// Control process, or a peer entry that passes the request on.
    pub to: ProcessName,
    /// Nonce of the request.
    pub nonce: u64,
}

impl LeaseClient {
    /// Creates a client; `seed` sets the first nonce and the control process that is tried first.
    pub fn new(controls: Vec<ProcessName>, seed: u64, now: Instant) -> Self {
        Self {
            awaits_answer: false,
            followed: false,
            control_turn: usize::try_from(seed % 1024).unwrap_or_default(),
            peer_turn: 0,
            controls,
            linked: BTreeSet::new(),
            peers: BTreeSet::new(),
            leader: None,
            expires: None,
            answer_timeout: ANSWER_TIMEOUT,
            next_nonce: seed,
            open: Vec::new(),
            last_path: None,
            send_due: now,
        }
    }

    /// Processes one input.
    pub fn handle(&mut self, now: Instant, input: LeaseInput) -> Option<RenewalAction> {
        match input {
            LeaseInput::ControlUp(name) => {
                self.linked.insert(name);
                if !self.is_valid(now) {
                    self.send_due = now;
                }
            }
            LeaseInput::PeerUp(name) => {
                self.peers.insert(name);
            }
            LeaseInput::Down(name) => {
                self.linked.remove(&name);
                self.peers.remove(&name);
                if self.leader.as_ref() == Some(&name) {
                    self.leader = None;
                    self.send_due = now;
                }
            }
            LeaseInput::Redirected(leader) => {
                let known = leader.filter(|name| self.linked.contains(name));
                self.awaits_answer = false;
                // A leader that was asked last may still answer.
                let is_new = known != self.leader && known != self.last_path;
                if known.is_some() && is_new && !self.followed {
                    self.followed = true;
                    self.send_due = now;
                }
                self.leader = known;
            }
            LeaseInput::Granted { leader, nonce, lease } => self.granted(leader, nonce, lease),
            LeaseInput::Tick if now >= self.send_due => self.followed = false,
            LeaseInput::Tick => (),
        }
        if now < self.send_due {
            return None;
        }
        self.renew(now)
    }

    /// Reports whether the settings may be used.
    pub fn is_valid(&self, now: Instant) -> bool {
        self.expires.is_some_and(|expires| now < expires)
    }

    /// End of the current lease.
    pub fn expires(&self) -> Option<Instant> {
        self.expires
    }

    /// Control process that granted or was named last.
    pub fn leader(&self) -> Option<&ProcessName> {
        self.leader.as_ref()
    }

    fn granted(&mut self, leader: ProcessName, nonce: u64, lease: Duration) {
        let Some(request) = self.open.iter().find(|request| request.nonce == nonce).copied() else {
            return;
        };
        self.open.retain(|other| other.sent > request.sent);
        let expires = request.sent + lease;
        if self.expires.is_none_or(|current| current < expires) {
            self.expires = Some(expires);
        }
        if self.linked.contains(&leader) {
            self.leader = Some(leader);
        }
        self.awaits_answer = false;
        self.answer_timeout = ANSWER_TIMEOUT.min(lease / TIMEOUTS_PER_LEASE);
        self.send_due = request.sent + RENEW_INTERVAL.min(lease / RENEWALS_PER_LEASE);
    }

    fn renew(&mut self, now: Instant) -> Option<RenewalAction> {
        if self.awaits_answer {
            // The last path did not answer in time.
            self.leader = None;
        }
        self.send_due = now + self.answer_timeout;
        let to = self.choose_path()?;
        self.last_path = Some(to.clone());
        let nonce = self.next_nonce;
        self.next_nonce = self.next_nonce.wrapping_add(1);
        if self.open.len() == OPEN_REQUESTS {
            self.open.remove(0);
        }
        self.open.push(OpenRequest { nonce, sent: now });
        self.awaits_answer = true;
        Some(RenewalAction { to, nonce })
    }

    /// Prefers the leader, then tries control processes and, every other time, a peer entry.
    fn choose_path(&mut self) -> Option<ProcessName> {
        if let Some(leader) = &self.leader {
            return Some(leader.clone());
        }
        let linked: Vec<&ProcessName> =
            self.controls.iter().filter(|name| self.linked.contains(*name)).collect();
        let prefer_peer =
            linked.is_empty() || (self.open.len() >= 2 && self.next_nonce.is_multiple_of(2));
        if prefer_peer && !self.peers.is_empty() {
            self.peer_turn = self.peer_turn.wrapping_add(1);
            return self.peers.iter().nth(self.peer_turn % self.peers.len()).cloned();
        }
        if linked.is_empty() {
            return None;
        }
        self.control_turn = self.control_turn.wrapping_add(1);
        Some(linked[self.control_turn % linked.len()].clone())
    }
}
