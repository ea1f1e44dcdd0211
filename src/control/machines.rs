//! Replicated state machines as the consensus host runs them.

use std::sync::{Arc, Mutex, MutexGuard};

use crate::claim::store::{ClaimLimits, ClaimStore};
use crate::claim::{ClaimCommand, ClaimOutcome};
use crate::consensus::host::{RestoreError, StateMachine};
use crate::ids::{ClusterId, LogIndex};
use crate::settings::{ChangeOutcome, RefusalReason, SettingsChange, SettingsStore};

/// State shared between the consensus thread, which writes, and readers.
pub struct SharedState<T>(Arc<Mutex<T>>);

impl<T> Clone for SharedState<T> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<T> SharedState<T> {
    fn new(value: T) -> Self {
        Self(Arc::new(Mutex::new(value)))
    }

    /// Locks the state; keep the lock short, as the consensus thread waits for it.
    pub fn lock(&self) -> MutexGuard<'_, T> {
        self.0.lock().expect("no holder of the state lock panics")
    }
}

/// Settings as a replicated state machine.
pub struct SettingsMachine {
    store: SharedState<SettingsStore>,
}

impl SettingsMachine {
    /// Creates the machine of a new cluster; every member must use the same root token.
    pub fn new(cluster: ClusterId, root_token_sha256: &str) -> (Self, SharedState<SettingsStore>) {
        let store = SharedState::new(SettingsStore::new(cluster, root_token_sha256));
        (Self { store: store.clone() }, store)
    }
}

impl StateMachine for SettingsMachine {
    fn apply(&mut self, _index: LogIndex, payload: &[u8]) -> Vec<u8> {
        let outcome = match ciborium::from_reader::<SettingsChange, _>(payload) {
            Ok(change) => self.store.lock().apply(&change),
            Err(_) => ChangeOutcome::Refused(RefusalReason::InvalidRequest {
                message: "the change cannot be decoded".into(),
            }),
        };
        encode(&outcome)
    }

    fn snapshot(&self) -> Vec<u8> {
        self.store.lock().snapshot()
    }

    fn restore(&mut self, data: &[u8]) -> Result<(), RestoreError> {
        let store =
            SettingsStore::restore(data).map_err(|error| RestoreError(error.to_string().into()))?;
        *self.store.lock() = store;
        Ok(())
    }
}

/// Claims of one group as a replicated state machine.
pub struct ClaimMachine {
    store: SharedState<ClaimStore>,
}

impl ClaimMachine {
    /// Creates an empty machine.
    pub fn new() -> (Self, SharedState<ClaimStore>) {
        let store = SharedState::new(ClaimStore::new(ClaimLimits::default()));
        (Self { store: store.clone() }, store)
    }
}

impl StateMachine for ClaimMachine {
    fn apply(&mut self, _index: LogIndex, payload: &[u8]) -> Vec<u8> {
        let outcome = match ciborium::from_reader::<ClaimCommand, _>(payload) {
            Ok(command) => self.store.lock().apply(command),
            Err(_) => ClaimOutcome::UnsupportedVersion,
        };
        encode(&outcome)
    }

    fn snapshot(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        self.store.lock().snapshot(&mut bytes).expect("memory takes every write");
        bytes
    }

    fn restore(&mut self, data: &[u8]) -> Result<(), RestoreError> {
        let store =
            ClaimStore::restore(data).map_err(|error| RestoreError(error.to_string().into()))?;
        *self.store.lock() = store;
        Ok(())
    }
}

/// Encodes a value that was built in this process.
pub fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("memory takes every write");
    bytes
}
