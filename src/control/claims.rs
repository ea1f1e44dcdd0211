//! Claim groups on a control process: calls of entries, expiry and ended sessions.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{SystemTime, UNIX_EPOCH};

use async_std::task;

use super::machines::{SharedState, encode};
use super::routes::MemberRoutes;
use crate::claim::store::ClaimStore;
use crate::claim::{COMMAND_VERSION, ClaimAction, ClaimCommand, ClaimOutcome, HolderSession};
use crate::consensus::host::{ConfirmError, HostHandle, ProposeError};
use crate::ids::{GroupId, ProcessName};
use crate::link::{ClaimCall, ClaimFailure, ClaimReply, ClaimResult, LinkHub, WireMessage};

/// Claim groups of this process.
#[derive(Clone)]
pub struct ClaimService {
    host: HostHandle,
    hub: LinkHub,
    routes: MemberRoutes,
    stores: BTreeMap<GroupId, SharedState<ClaimStore>>,
}

impl ClaimService {
    /// Creates the service over running groups.
    pub fn new(
        host: HostHandle,
        hub: LinkHub,
        routes: MemberRoutes,
        stores: BTreeMap<GroupId, SharedState<ClaimStore>>,
    ) -> Self {
        Self { host, hub, routes, stores }
    }

    /// Stores by group.
    pub fn stores(&self) -> &BTreeMap<GroupId, SharedState<ClaimStore>> {
        &self.stores
    }

    /// Carries out a call and sends the reply to `from`.
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
                        Err(error) => Err(service.confirm_failure(error)),
                    }
                }
            };
            let reply = ClaimReply { call, result };
            service.hub.send(&from, WireMessage::ClaimReply(reply));
        });
    }

    /// Drops claims past their retention in the groups led here.
    pub fn expire(&self) {
        let now = now_ms();
        for (&group, store) in &self.stores {
            let due = store.lock().next_expiry_ms().is_some_and(|due| due <= now);
            if due {
                self.propose_later(group, ClaimAction::Expire);
            }
        }
    }

    /// Ends the claims of sessions that were missing from two lists of live sessions in a row.
    ///
    /// One list may have been written before the session got its lease.
    pub fn end_sessions(
        &self,
        live: &BTreeSet<(ProcessName, u64)>,
        missing: &mut BTreeSet<HolderSession>,
    ) {
        let mut running: BTreeMap<HolderSession, Vec<GroupId>> = BTreeMap::new();
        for (&group, store) in &self.stores {
            for session in store.lock().running_sessions() {
                running.entry(session.clone()).or_default().push(group);
            }
        }
        let mut next = BTreeSet::new();
        for (session, groups) in running {
            if live.contains(&(session.holder.clone(), session.session)) {
                continue;
            }
            if missing.contains(&session) {
                for group in groups {
                    self.propose_later(group, ClaimAction::ExpireHolder(session.clone()));
                }
            }
            next.insert(session);
        }
        *missing = next;
    }

    fn propose_later(&self, group: GroupId, action: ClaimAction) {
        let service = self.clone();
        task::spawn(async move {
            // Groups led elsewhere refuse; their leader proposes the same.
            let _ = service.propose(group, action).await;
        });
    }

    async fn propose(
        &self,
        group: GroupId,
        action: ClaimAction,
    ) -> Result<ClaimResult, ClaimFailure> {
        let command = ClaimCommand { version: COMMAND_VERSION, now_ms: now_ms(), action };
        match self.host.propose(group, encode(&command)).await {
            Ok(response) => ciborium::from_reader::<ClaimOutcome, _>(&*response)
                .map(ClaimResult::Outcome)
                .map_err(|_| ClaimFailure::Lost),
            Err(ProposeError::NotLeader { leader }) => {
                Err(ClaimFailure::NotLeader(leader.and_then(|member| self.routes.name_of(member))))
            }
            Err(ProposeError::Busy) => Err(ClaimFailure::Busy),
            Err(ProposeError::UnknownGroup(_) | ProposeError::TooLarge) => {
                Err(ClaimFailure::NotLeader(None))
            }
            Err(ProposeError::LeadershipLost | ProposeError::Stopped) => Err(ClaimFailure::Lost),
        }
    }

    fn confirm_failure(&self, error: ConfirmError) -> ClaimFailure {
        match error {
            ConfirmError::NotLeader { leader } => {
                ClaimFailure::NotLeader(leader.and_then(|member| self.routes.name_of(member)))
            }
            ConfirmError::Busy => ClaimFailure::Busy,
            ConfirmError::UnknownGroup(_) | ConfirmError::Stopped => ClaimFailure::NotLeader(None),
        }
    }
}

/// Milliseconds since the Unix epoch; the store never lets this time move backwards.
fn now_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
