//! Requests of an entry to the claim groups on control processes.
//!
//! Every command can be sent again: an open carries its attempt, a settlement its claim number. So
//! an answer that does not come is handled by asking another control process.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_std::task;

use crate::claim::{
    ClaimKey, ClaimOutcome, ClaimView, OpenClaim, OpenOutcome, SettleClaim, SettleOutcome, shard_of,
};
use crate::deadline::with_timeout;
use crate::ids::{GroupId, ProcessName};
use crate::link::{ClaimCall, ClaimFailure, ClaimReply, ClaimResult, LinkHub, WireMessage};

/// Time without an answer after which another control process is asked.
///
/// A commit takes one round trip and one sync, a few milliseconds; this leaves room for a slow disk.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Wait before a further try when no leader is known.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Claim requests that may be open at once on one entry.
const OPEN_CALLS: usize = 65_536;

/// Sends claim requests to the leaders of their groups.
pub struct ClaimClient {
    hub: LinkHub,
    controls: Vec<ProcessName>,
    groups: GroupId,
    state: Mutex<CallState>,
}

#[derive(Default)]
struct CallState {
    next_call: u64,
    open: BTreeMap<u64, Sender<Result<ClaimResult, ClaimFailure>>>,
    leaders: BTreeMap<GroupId, ProcessName>,
    attempt: usize,
}

/// Why a claim request yielded no answer in time; its command may still be carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClaimCallError {
    /// No control process answered.
    #[error("no answer from the claim group in time")]
    Timeout,
    /// Nothing was sent: too many requests are open.
    #[error("too many open claim requests")]
    Overloaded,
    /// The answer does not fit the request.
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
        let group = self.group(&open.key);
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
        let group = self.group(&settle.key);
        let call = ClaimCall::Settle(Box::new(settle.clone()));
        match self.call(group, &call, deadline).await? {
            ClaimResult::Outcome(ClaimOutcome::Settle(outcome)) => Ok(outcome),
            _ => Err(ClaimCallError::UnexpectedAnswer),
        }
    }

    /// Looks up a claim for a duplicate request.
    pub async fn look_up(
        &self,
        key: &ClaimKey,
        digest: [u8; 32],
        deadline: Instant,
    ) -> Result<ClaimView, ClaimCallError> {
        let group = self.group(key);
        let call = ClaimCall::Look { key: key.clone(), digest };
        match self.call(group, &call, deadline).await? {
            ClaimResult::View(view) => Ok(view),
            _ => Err(ClaimCallError::UnexpectedAnswer),
        }
    }

    /// Takes over a reply that came on a link.
    pub fn receive(&self, reply: ClaimReply) {
        let sender = self.lock().open.remove(&reply.call);
        if let Some(sender) = sender {
            let _ = sender.try_send(reply.result);
        }
    }

    /// Number of requests that wait for an answer.
    pub fn open_calls(&self) -> usize {
        self.lock().open.len()
    }

    fn group(&self, key: &ClaimKey) -> GroupId {
        shard_of(&key.team, &key.service, &key.key, self.groups)
    }

    async fn call(
        &self,
        group: GroupId,
        call: &ClaimCall,
        deadline: Instant,
    ) -> Result<ClaimResult, ClaimCallError> {
        while Instant::now() < deadline {
            let target = self.target(group);
            match self.call_once(group, call, &target, deadline).await? {
                Some(Ok(result)) => return Ok(result),
                Some(Err(ClaimFailure::NotLeader(leader))) => {
                    let redirected = leader.is_some();
                    self.learn_leader(group, leader);
                    if redirected {
                        continue;
                    }
                }
                Some(Err(ClaimFailure::Busy)) => (),
                Some(Err(ClaimFailure::Lost)) | None => self.learn_leader(group, None),
            }
            task::sleep(RETRY_PAUSE).await;
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
        let number = self.register(sender)?;
        let message = WireMessage::ClaimCall { call: number, group, body: call.clone() };
        let answer = if self.hub.send(target, message) {
            let left = deadline.saturating_duration_since(Instant::now());
            with_timeout(left.min(ANSWER_TIMEOUT), receiver.recv()).await
        } else {
            Ok(Err(async_channel::RecvError))
        };
        self.lock().open.remove(&number);
        Ok(answer.ok().and_then(Result::ok))
    }

    fn register(
        &self,
        sender: Sender<Result<ClaimResult, ClaimFailure>>,
    ) -> Result<u64, ClaimCallError> {
        let mut state = self.lock();
        if state.open.len() >= OPEN_CALLS {
            return Err(ClaimCallError::Overloaded);
        }
        state.next_call += 1;
        let number = state.next_call;
        state.open.insert(number, sender);
        Ok(number)
    }

    fn target(&self, group: GroupId) -> ProcessName {
        let mut state = self.lock();
        if let Some(leader) = state.leaders.get(&group) {
            return leader.clone();
        }
        state.attempt = state.attempt.wrapping_add(1);
        self.controls[state.attempt % self.controls.len()].clone()
    }

    fn learn_leader(&self, group: GroupId, leader: Option<ProcessName>) {
        let mut state = self.lock();
        match leader {
            Some(leader) => state.leaders.insert(group, leader),
            None => state.leaders.remove(&group),
        };
    }

    fn lock(&self) -> MutexGuard<'_, CallState> {
        self.state.lock().expect("no holder of the call lock panics")
    }
}
