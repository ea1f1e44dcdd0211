//! Claim groups of a control process: calls from entries, expiry of claims, and claims of ended
//! sessions.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{SystemTime, UNIX_EPOCH};

use async_std::task;

use super::machines::{SharedState, encode};
use super::routes::MemberNames;
use crate::claim::store::ClaimStore;
use crate::claim::{COMMAND_VERSION, ClaimAction, ClaimCommand, ClaimOutcome, HolderSession};
use crate::consensus::host::{ConfirmError, HostHandle, ProposeError};
use crate::ids::{GroupId, ProcessName};
use crate::link::{ClaimCall, ClaimFailure, ClaimReply, ClaimResult, LinkHub, WireMessage};

/// Serves the claim groups of this process.
#[derive(Clone)]
pub struct ClaimService {
    host: HostHandle,
    hub: LinkHub,
    member_names: MemberNames,
    stores: BTreeMap<GroupId, SharedState<ClaimStore>>,
}

impl ClaimService {
    /// Creates a service for running groups.
    pub fn new(
        host: HostHandle,
        hub: LinkHub,
        member_names: MemberNames,
        stores: BTreeMap<GroupId, SharedState<ClaimStore>>,
    ) -> Self {
        Self { host, hub, member_names, stores }
    }

    /// Returns the claim store of each group.
    pub fn stores(&self) -> &BTreeMap<GroupId, SharedState<ClaimStore>> {
        &self.stores
    }

    /// Executes a call and sends the reply to the process `from`.
    pub fn serve(&self, from: ProcessName, call: u64, group: GroupId, body: ClaimCall) {
        let service = self.clone();
        task::spawn(async move {
            let result = match body {
                ClaimCall::Open(open) => service.propose(group, ClaimAction::Open(*open)).await,
                ClaimCall::Settle(settle) => {
                    service.propose(group, ClaimAction::Settle(*settle)).await
                }
                ClaimCall::Look { key, digest } => {
                    match service.host.confirm_leadership(group).await {
                        Ok(_) => match service.stores.get(&group) {
                            Some(store) => {
                                Ok(ClaimResult::View(store.lock().look_up(&key, &digest)))
                            }
                            None => Err(ClaimFailure::NotLeader(None)),
                        },
                        Err(error) => Err(service.to_claim_failure(error)),
                    }
                }
            };
            let reply = ClaimReply { call, result };
            service.hub.send(&from, WireMessage::ClaimReply(reply));
        });
    }

    /// Proposes the removal of claims whose retention has passed; takes effect in the groups that
    /// this process leads.
    pub fn expire_claims(&self) {
        let now_ms = unix_time_ms();
        for (&group, store) in &self.stores {
            let is_due = store.lock().next_expiry_ms().is_some_and(|expiry_ms| expiry_ms <= now_ms);
            if is_due {
                self.spawn_proposal(group, ClaimAction::Expire);
            }
        }
    }

    /// Expires the running claims of each session that is absent from two consecutive lists of live
    /// sessions.
    ///
    /// One absence is not enough: the list may have been made before the session got its lease.
    pub fn expire_ended_sessions(
        &self,
        live_sessions: &BTreeSet<(ProcessName, u64)>,
        missing_sessions: &mut BTreeSet<HolderSession>,
    ) {
        let mut groups_by_session: BTreeMap<HolderSession, Vec<GroupId>> = BTreeMap::new();
        for (&group, store) in &self.stores {
            for session in store.lock().running_sessions() {
                groups_by_session.entry(session.clone()).or_default().push(group);
            }
        }
        let mut still_missing = BTreeSet::new();
        for (session, groups) in groups_by_session {
            if live_sessions.contains(&(session.holder.clone(), session.session)) {
                continue;
            }
            if missing_sessions.contains(&session) {
                for group in groups {
                    self.spawn_proposal(group, ClaimAction::ExpireHolder(session.clone()));
                }
            }
            still_missing.insert(session);
        }
        *missing_sessions = still_missing;
    }

    fn spawn_proposal(&self, group: GroupId, action: ClaimAction) {
        let service = self.clone();
        task::spawn(async move {
            // Groups led by another process refuse; that process makes the same proposal.
            let _ = service.propose(group, action).await;
        });
    }

    async fn propose(
        &self,
        group: GroupId,
        action: ClaimAction,
    ) -> Result<ClaimResult, ClaimFailure> {
        let command = ClaimCommand { version: COMMAND_VERSION, now_ms: unix_time_ms(), action };
        match self.host.propose(group, encode(&command)).await {
            Ok(response) => ciborium::from_reader::<ClaimOutcome, _>(&*response)
                .map(ClaimResult::Outcome)
                .map_err(|_| ClaimFailure::Lost),
            Err(ProposeError::NotLeader { leader }) => Err(ClaimFailure::NotLeader(
                leader.and_then(|member| self.member_names.process_name(member)),
            )),
            Err(ProposeError::Busy) => Err(ClaimFailure::Busy),
            Err(ProposeError::UnknownGroup(_) | ProposeError::TooLarge) => {
                Err(ClaimFailure::NotLeader(None))
            }
            Err(ProposeError::LeadershipLost | ProposeError::Stopped) => Err(ClaimFailure::Lost),
        }
    }

    fn to_claim_failure(&self, error: ConfirmError) -> ClaimFailure {
        match error {
            ConfirmError::NotLeader { leader } => ClaimFailure::NotLeader(
                leader.and_then(|member| self.member_names.process_name(member)),
            ),
            ConfirmError::Busy => ClaimFailure::Busy,
            ConfirmError::UnknownGroup(_) | ConfirmError::Stopped => ClaimFailure::NotLeader(None),
        }
    }
}

/// Returns the milliseconds since the Unix epoch. The clock may step back; the claim store ignores
/// a time earlier than its own.
fn unix_time_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
