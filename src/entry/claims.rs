//! Client for the claim groups that run on control processes.
//!
//! All commands are idempotent: an open carries its attempt number, a settlement its claim number.
//! A call without an answer is therefore retried at another control process.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_std::task;

use crate::claim::{
    ClaimKey, ClaimOutcome, ClaimView, OpenClaim, OpenOutcome, SettleClaim, SettleOutcome,
    claim_group_of,
};
use crate::deadline::with_timeout;
use crate::ids::{GroupId, ProcessName};
use crate::link::{ClaimCall, ClaimFailure, ClaimReply, ClaimResult, LinkHub, WireMessage};

/// Timeout of one call, after which another control process is tried.
///
/// A commit takes one round trip and one disk sync, a few milliseconds; the timeout leaves room for
/// a slow disk.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Delay before a retry when the leader is unknown or busy.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Maximum number of calls that may await an answer at once on one entry.
const MAX_PENDING_CALLS: usize = 65_536;

/// Sends claim commands to the leaders of their groups.
pub struct ClaimClient {
    hub: LinkHub,
    controls: Vec<ProcessName>,
    groups: GroupId,
    state: Mutex<CallState>,
}

#[derive(Default)]
struct CallState {
    next_call: u64,
    pending: BTreeMap<u64, Sender<Result<ClaimResult, ClaimFailure>>>,
    leaders: BTreeMap<GroupId, ProcessName>,
    control_turn: usize,
}

/// Reason for which a call returned no result; its command may still be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClaimCallError {
    /// No control process answered before the deadline.
    #[error("no answer from the claim group in time")]
    Timeout,
    /// Too many calls are pending; nothing was sent.
    #[error("too many open claim requests")]
    Overloaded,
    /// The answer is of another kind than the command.
    #[error("the claim group sent an answer of another kind")]
    UnexpectedAnswer,
}

impl ClaimClient {
    /// Creates a client for `groups` claim groups.
    pub fn new(hub: LinkHub, controls: Vec<ProcessName>, groups: GroupId) -> Arc<Self> {
        Arc::new(Self { hub, controls, groups, state: Mutex::default() })
    }

    /// Opens a claim.
    pub async fn open(
        &self,
        open: &OpenClaim,
        deadline: Instant,
    ) -> Result<OpenOutcome, ClaimCallError> {
        let group = self.group_of(&open.key);
        let call = ClaimCall::Open(Box::new(open.clone()));
        match self.call(group, &call, deadline).await? {
            ClaimResult::Outcome(ClaimOutcome::Open(outcome)) => Ok(outcome),
            _ => Err(ClaimCallError::UnexpectedAnswer),
        }
    }

    /// Settles a claim.
    pub async fn settle(
        &self,
        settle: &SettleClaim,
        deadline: Instant,
    ) -> Result<SettleOutcome, ClaimCallError> {
        let group = self.group_of(&settle.key);
        let call = ClaimCall::Settle(Box::new(settle.clone()));
        match self.call(group, &call, deadline).await? {
            ClaimResult::Outcome(ClaimOutcome::Settle(outcome)) => Ok(outcome),
            _ => Err(ClaimCallError::UnexpectedAnswer),
        }
    }

    /// Looks up the state of a claim on behalf of a duplicate request.
    pub async fn look_up(
        &self,
        key: &ClaimKey,
        digest: [u8; 32],
        deadline: Instant,
    ) -> Result<ClaimView, ClaimCallError> {
        let group = self.group_of(key);
        let call = ClaimCall::Look { key: key.clone(), digest };
        match self.call(group, &call, deadline).await? {
            ClaimResult::View(view) => Ok(view),
            _ => Err(ClaimCallError::UnexpectedAnswer),
        }
    }

    /// Delivers a reply that arrived on a link to the call that awaits it.
    pub fn receive_reply(&self, reply: ClaimReply) {
        let sender = self.lock().pending.remove(&reply.call);
        if let Some(sender) = sender {
            let _ = sender.try_send(reply.result);
        }
    }

    /// Number of calls that await an answer.
    pub fn pending_calls(&self) -> usize {
        self.lock().pending.len()
    }

    fn group_of(&self, key: &ClaimKey) -> GroupId {
        claim_group_of(&key.team, &key.service, &key.key, self.groups)
    }

    async fn call(
        &self,
        group: GroupId,
        call: &ClaimCall,
        deadline: Instant,
    ) -> Result<ClaimResult, ClaimCallError> {
        while Instant::now() < deadline {
            let target = self.choose_target(group);
            match self.call_once(group, call, &target, deadline).await? {
                Some(Ok(result)) => return Ok(result),
                Some(Err(ClaimFailure::NotLeader(leader))) => {
                    let redirected = leader.is_some();
                    self.set_leader(group, leader);
                    if redirected {
                        continue;
                    }
                }
                Some(Err(ClaimFailure::Busy)) => (),
                Some(Err(ClaimFailure::Lost)) | None => self.set_leader(group, None),
            }
            task::sleep(RETRY_DELAY).await;
        }
        Err(ClaimCallError::Timeout)
    }

    async fn call_once(
        &self,
        group: GroupId,
        call: &ClaimCall,
        target: &ProcessName,
        deadline: Instant,
    ) -> Result<Option<Result<ClaimResult, ClaimFailure>>, ClaimCallError> {
        let (sender, receiver) = async_channel::bounded(1);
        let number = self.register_call(sender)?;
        let message = WireMessage::ClaimCall { call: number, group, body: call.clone() };
        let answer = if self.hub.send(target, message) {
            let time_left = deadline.saturating_duration_since(Instant::now());
            with_timeout(time_left.min(ANSWER_TIMEOUT), receiver.recv()).await
        } else {
            Ok(Err(async_channel::RecvError))
        };
        self.lock().pending.remove(&number);
        Ok(answer.ok().and_then(Result::ok))
    }

    fn register_call(
        &self,
        sender: Sender<Result<ClaimResult, ClaimFailure>>,
    ) -> Result<u64, ClaimCallError> {
        let mut state = self.lock();
        if state.pending.len() >= MAX_PENDING_CALLS {
            return Err(ClaimCallError::Overloaded);
        }
        state.next_call += 1;
        let number = state.next_call;
        state.pending.insert(number, sender);
        Ok(number)
    }

    fn choose_target(&self, group: GroupId) -> ProcessName {
        let mut state = self.lock();
        if let Some(leader) = state.leaders.get(&group) {
            return leader.clone();
        }
        state.control_turn = state.control_turn.wrapping_add(1);
        self.controls[state.control_turn % self.controls.len()].clone()
    }

    fn set_leader(&self, group: GroupId, leader: Option<ProcessName>) {
        let mut state = self.lock();
        match leader {
            Some(leader) => state.leaders.insert(group, leader),
            None => state.leaders.remove(&group),
        };
    }

    fn lock(&self) -> MutexGuard<'_, CallState> {
        self.state.lock().expect("claim call lock is not poisoned")
    }
}
