//! Adapters that run the settings store and the claim stores as replicated state machines.

use std::sync::{Arc, Mutex, MutexGuard};

use crate::claim::store::{ClaimLimits, ClaimStore};
use crate::claim::{ClaimCommand, ClaimOutcome};
use crate::consensus::host::{RestoreError, StateMachine};
use crate::ids::{ClusterId, LogIndex};
use crate::settings::{ChangeOutcome, RefusalReason, SettingsChange, SettingsStore};

/// State that the consensus thread writes and other threads read.
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

    /// Locks the state. Hold the guard only briefly, because it blocks the consensus thread.
    pub fn lock(&self) -> MutexGuard<'_, T> {
        self.0.lock().expect("the lock on the shared state is never poisoned")
    }
}

/// Replicated state machine over the settings store.
pub struct SettingsStateMachine {
    store: SharedState<SettingsStore>,
}

impl SettingsStateMachine {
    /// Creates the state machine of a new cluster and returns it with a handle to its store; every
    /// member must use the same root token.
    pub fn new(cluster: ClusterId, root_token_sha256: &str) -> (Self, SharedState<SettingsStore>) {
        let store = SharedState::new(SettingsStore::new(cluster, root_token_sha256));
        (Self { store: store.clone() }, store)
    }
}

impl StateMachine for SettingsStateMachine {
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

/// Replicated state machine over the claim store of one group.
pub struct ClaimStateMachine {
    store: SharedState<ClaimStore>,
}

impl ClaimStateMachine {
    /// Creates a state machine without claims and returns it with a handle to its store.
    pub fn new() -> (Self, SharedState<ClaimStore>) {
        let store = SharedState::new(ClaimStore::new(ClaimLimits::default()));
        (Self { store: store.clone() }, store)
    }
}

impl StateMachine for ClaimStateMachine {
    fn apply(&mut self, _index: LogIndex, payload: &[u8]) -> Vec<u8> {
        let outcome = match ciborium::from_reader::<ClaimCommand, _>(payload) {
            Ok(command) => self.store.lock().apply(command),
            Err(_) => ClaimOutcome::UnsupportedVersion,
        };
        encode(&outcome)
    }

    fn snapshot(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        self.store.lock().snapshot(&mut bytes).expect("writing to memory cannot fail");
        bytes
    }

    fn restore(&mut self, data: &[u8]) -> Result<(), RestoreError> {
        let store =
            ClaimStore::restore(data).map_err(|error| RestoreError(error.to_string().into()))?;
        *self.store.lock() = store;
        Ok(())
    }
}

/// Encodes a value as CBOR; values built in this process always encode.
pub fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("writing to memory cannot fail");
    bytes
}
