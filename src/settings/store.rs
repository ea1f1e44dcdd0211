//! Replicated state machine of the settings (group 0).

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::ROOT_BRANCH;
use super::branch::{BRANCH_LIMIT, BranchState};
use super::change::{ChangeAction, ChangeOutcome, RefusalReason, SettingsChange, token_matches};
use super::document::{RootSettings, TeamSettings};
use super::history::HistoryEntry;
use super::installed::{BranchCopy, InstallError, SettingsDelta, build_tree};
use super::tree::SettingsTree;
use crate::ids::{ClusterId, SettingsRevision};
use crate::schema::{MAX_REPORTED_ERRORS, SchemaError, TextFormat};

/// Version of the snapshot format; another version is not read.
const SNAPSHOT_FORMAT: u32 = 1;

/// Root document of a new cluster.
const FIRST_ROOT: &str = "{ \"defaults\": {} }";

/// Why a snapshot cannot be loaded.
#[derive(Debug, thiserror::Error)]
pub enum RestoreError {
    #[error("settings snapshot is malformed: {0}")]
    Malformed(String),
    #[error("settings snapshot has format {0}, this version reads format {SNAPSHOT_FORMAT}")]
    UnknownFormat(u32),
    #[error(transparent)]
    InvalidSettings(#[from] InstallError),
}

/// All branches with their history and the outcomes of their changes.
#[derive(Clone, Debug)]
pub struct SettingsStore {
    state: StoreState,
    /// Derived from the root document.
    root: Arc<RootSettings>,
    /// Owner of each host and path prefix; derived from the teams' documents.
    routes: BTreeMap<RouteKey, Box<str>>,
}

type RouteKey = (Option<Box<str>>, Box<str>);

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct StoreState {
    cluster: ClusterId,
    revision: SettingsRevision,
    branches: BTreeMap<Box<str>, BranchState>,
}

/// Result of the checks of one change.
type Verdict = Result<AcceptedChange, ChangeOutcome>;

/// What an accepted change writes.
struct AcceptedChange {
    document: Option<Arc<str>>,
    token_sha256: Option<Box<str>>,
    /// Root settings when the root branch changes.
    root: Option<RootSettings>,
    /// Routes of the team when its document changes.
    routes: Option<Vec<RouteKey>>,
}

impl SettingsStore {
    /// Starts the settings of a new cluster; the root branch has version 0 and no own defaults.
    pub fn new(cluster: ClusterId, root_token_sha256: &str) -> Self {
        let root = RootSettings::parse(FIRST_ROOT, 0).expect("the first root document is valid");
        let branch = BranchState::new(Some(FIRST_ROOT.into()), root_token_sha256.into());
        let branches = BTreeMap::from([(ROOT_BRANCH.into(), branch)]);
        let state = StoreState { cluster, revision: 0, branches };
        Self { state, root: Arc::new(root), routes: BTreeMap::new() }
    }

    /// Cluster of the settings.
    pub fn cluster(&self) -> ClusterId {
        self.state.cluster
    }

    /// Revision of the last accepted change.
    pub fn revision(&self) -> SettingsRevision {
        self.state.revision
    }

    /// Names and versions of the existing branches.
    pub fn versions(&self) -> impl Iterator<Item = (&str, u64)> {
        let live = self.state.branches.iter().filter(|(_, branch)| branch.document.is_some());
        live.map(|(name, branch)| (name.as_ref(), branch.version))
    }

    /// Version and document of a branch.
    pub fn document(&self, branch: &str) -> Option<(u64, &str)> {
        let branch = self.state.branches.get(branch)?;
        Some((branch.version, branch.document.as_deref()?))
    }

    /// Kept versions of a branch, oldest first.
    pub fn history(&self, branch: &str) -> Vec<HistoryEntry> {
        let branch = self.state.branches.get(branch);
        branch.map_or_else(Vec::new, |branch| branch.history.entries(branch.document.as_ref()))
    }

    /// Number of outcomes kept for a branch.
    pub fn kept_outcomes(&self, branch: &str) -> usize {
        self.state.branches.get(branch).map_or(0, |branch| branch.outcomes.len())
    }

    /// Tells whether a presented token (by its SHA-256) belongs to a branch.
    pub fn authorizes(&self, branch: &str, token_sha256: &str) -> bool {
        let branch = self.state.branches.get(branch);
        branch.is_some_and(|branch| token_matches(&branch.token_sha256, token_sha256))
    }

    /// Applies a committed change. Deterministic: the outcome depends on state and change only.
    ///
    /// Outcomes of changes with a wrong token, a malformed request or an unknown branch are not
    /// kept, so that nobody without a token can push out the outcomes of a team.
    pub fn apply(&mut self, change: &SettingsChange) -> ChangeOutcome {
        let actor = match self.authenticate(change) {
            Ok(actor) => actor,
            Err(reason) => return ChangeOutcome::Refused(reason),
        };
        let key = change.key();
        let content = change.content();
        if let Some(outcome) = self.state.branches[actor].outcomes.find(key, content) {
            return outcome;
        }
        let outcome = match self.check(change) {
            Ok(accepted) => self.accept(change, accepted),
            Err(outcome) => outcome,
        };
        let branch = self.state.branches.get_mut(actor).expect("the actor's branch exists");
        branch.outcomes.push(key, content, outcome.clone());
        outcome
    }

    /// Returns the branch whose token the change needs; its outcome is kept there.
    fn authenticate<'c>(&self, change: &'c SettingsChange) -> Result<&'c str, RefusalReason> {
        if let Some(message) = malformed(change) {
            return Err(RefusalReason::InvalidRequest { message: message.into() });
        }
        let actor = match change.action {
            ChangeAction::Replace { .. } => change.branch.as_ref(),
            _ => ROOT_BRANCH,
        };
        let Some(branch) = self.state.branches.get(actor) else {
            return Err(RefusalReason::UnknownBranch);
        };
        if !token_matches(&branch.token_sha256, &change.token_sha256) {
            return Err(RefusalReason::WrongToken);
        }
        Ok(actor)
    }

    fn check(&self, change: &SettingsChange) -> Verdict {
        let branch = self.state.branches.get(&change.branch);
        let live = branch.is_some_and(|branch| branch.document.is_some());
        let current = branch.map_or(0, |branch| branch.version);
        let creates = matches!(change.action, ChangeAction::Create { .. });
        if live && creates {
            return Err(ChangeOutcome::Refused(RefusalReason::BranchExists));
        }
        if !live && !creates {
            return Err(ChangeOutcome::Refused(RefusalReason::UnknownBranch));
        }
        // A rotation does not depend on the version: the holder of a leaked token could otherwise
        // delay it by changing the document again and again.
        let rotates = matches!(change.action, ChangeAction::RotateToken { .. });
        if change.base_version != current && !rotates {
            return Err(ChangeOutcome::Conflict { current });
        }
        if branch.is_none() && self.state.branches.len() >= BRANCH_LIMIT {
            return Err(ChangeOutcome::Refused(RefusalReason::TooManyBranches));
        }
        self.check_action(change, branch)
    }

    fn check_action(&self, change: &SettingsChange, branch: Option<&BranchState>) -> Verdict {
        match &change.action {
            ChangeAction::Replace { document } if *change.branch == *ROOT_BRANCH => {
                let root = RootSettings::parse(document, change.base_version + 1);
                let root = Some(root.map_err(invalid)?);
                let document = Some(document.as_ref().into());
                Ok(AcceptedChange { document, token_sha256: None, root, routes: None })
            }
            ChangeAction::Replace { document } => self.check_team(&change.branch, document, None),
            ChangeAction::Create { document, team_token_sha256 } => {
                self.check_team(&change.branch, document, Some(team_token_sha256.clone()))
            }
            ChangeAction::Delete => {
                let routes = Some(Vec::new());
                Ok(AcceptedChange { document: None, token_sha256: None, root: None, routes })
            }
            ChangeAction::RotateToken { team_token_sha256 } => {
                let document = branch.and_then(|branch| branch.document.clone());
                let token_sha256 = Some(team_token_sha256.clone());
                Ok(AcceptedChange { document, token_sha256, root: None, routes: None })
            }
        }
    }

    fn check_team(&self, name: &str, text: &str, token_sha256: Option<Box<str>>) -> Verdict {
        let team = TeamSettings::parse(name, text, &self.root).map_err(invalid)?;
        let mut clashes = Vec::new();
        let mut routes = Vec::new();
        for (service, settings) in &team.services {
            let matching = &settings.matching;
            let key = (matching.host.clone(), matching.path_prefix.clone());
            if self.routes.get(&key).is_some_and(|owner| **owner != *name) {
                clashes.push(service.clone());
            }
            routes.push(key);
        }
        if !clashes.is_empty() {
            return Err(invalid(clash_errors(name, text, &clashes)));
        }
        let document = Some(text.into());
        Ok(AcceptedChange { document, token_sha256, root: None, routes: Some(routes) })
    }

    fn accept(&mut self, change: &SettingsChange, accepted: AcceptedChange) -> ChangeOutcome {
        self.state.revision += 1;
        let revision = self.state.revision;
        let name = &change.branch;
        let branch = self.state.branches.entry(name.clone());
        let branch = branch.or_insert_with(|| BranchState::new(None, "".into()));
        if let Some(token) = accepted.token_sha256 {
            branch.token_sha256 = token;
        }
        let version = branch.accept(accepted.document, &change.change_id, revision);
        if let Some(root) = accepted.root {
            self.root = Arc::new(root);
        }
        if let Some(routes) = accepted.routes {
            self.routes.retain(|_, owner| owner != name);
            self.routes.extend(routes.into_iter().map(|key| (key, name.clone())));
        }
        ChangeOutcome::Accepted { version, revision }
    }

    /// Returns the branches that changed after `since`; 0 asks for all of them.
    pub fn delta_since(&self, since: SettingsRevision) -> SettingsDelta {
        let mut branches = Vec::new();
        for (name, branch) in &self.state.branches {
            if since == 0 || branch.revision > since {
                branches.push(branch_copy(name, branch));
            }
        }
        let StoreState { cluster, revision, .. } = self.state;
        SettingsDelta { cluster, since, revision, branches }
    }

    /// Builds the tree of the current documents.
    pub fn tree(&self) -> Result<SettingsTree, InstallError> {
        let copies = self.state.branches.iter();
        let copies = copies.map(|(name, branch)| (name.clone(), branch_copy(name, branch)));
        build_tree(self.state.revision, &copies.collect(), None)
    }

    /// Writes the whole state, kept outcomes and history included.
    pub fn snapshot(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        ciborium::into_writer(&SNAPSHOT_FORMAT, &mut bytes).expect("memory takes every write");
        ciborium::into_writer(&self.state, &mut bytes).expect("memory takes every write");
        bytes
    }

    /// Loads a snapshot.
    pub fn restore(mut bytes: &[u8]) -> Result<Self, RestoreError> {
        let format: u32 = read_item(&mut bytes)?;
        if format != SNAPSHOT_FORMAT {
            return Err(RestoreError::UnknownFormat(format));
        }
        let state: StoreState = read_item(&mut bytes)?;
        if !bytes.is_empty() {
            return Err(RestoreError::Malformed(format!("{} extra bytes", bytes.len())));
        }
        let root = Arc::new(RootSettings::parse(FIRST_ROOT, 0).expect("the first root is valid"));
        let mut store = Self { state, root, routes: BTreeMap::new() };
        let tree = store.tree()?;
        store.root = Arc::clone(&tree.root);
        for (name, team) in &tree.teams {
            for settings in team.services.values() {
                let matching = &settings.matching;
                let key = (matching.host.clone(), matching.path_prefix.clone());
                store.routes.insert(key, name.clone());
            }
        }
        Ok(store)
    }
}

fn read_item<T: serde::de::DeserializeOwned>(bytes: &mut &[u8]) -> Result<T, RestoreError> {
    ciborium::from_reader(bytes).map_err(|error| RestoreError::Malformed(error.to_string()))
}

fn branch_copy(name: &str, branch: &BranchState) -> BranchCopy {
    // The root token's hash stays on control.
    let token = if name == ROOT_BRANCH { "" } else { &branch.token_sha256 };
    BranchCopy {
        name: name.into(),
        version: branch.version,
        revision: branch.revision,
        token_sha256: token.into(),
        document: branch.document.clone(),
    }
}

fn invalid(errors: Vec<SchemaError>) -> ChangeOutcome {
    ChangeOutcome::Refused(RefusalReason::InvalidDocument { errors })
}

/// Reports clashes without naming the other team, whose settings are not the operator's to see.
fn clash_errors(team: &str, text: &str, services: &[Box<str>]) -> Vec<SchemaError> {
    let check = crate::schema::DocumentSchema::team_settings();
    let Ok(document) = check.validate(text, &format!("teams.{team}")) else {
        return Vec::new();
    };
    let mut errors = Vec::new();
    for service in services.iter().take(MAX_REPORTED_ERRORS) {
        let path = format!("services.{service}.match.path_prefix");
        errors.push(document.error_at(&path, "another team matches the same host and path prefix"));
    }
    errors
}

/// Checks the texts of a change before they are used or kept.
fn malformed(change: &SettingsChange) -> Option<String> {
    let token = match &change.action {
        ChangeAction::Create { team_token_sha256, .. }
        | ChangeAction::RotateToken { team_token_sha256 } => Some(team_token_sha256.as_ref()),
        _ => None,
    };
    let texts = [
        ("branch", TextFormat::Name, Some(change.branch.as_ref())),
        ("change_id", TextFormat::ChangeId, Some(change.change_id.as_ref())),
        ("team_token_sha256", TextFormat::Sha256, token),
    ];
    for (name, format, text) in texts {
        if text.is_some_and(|text| !format.allows(text)) {
            return Some(format!("{name}: expected {}", format.description()));
        }
    }
    let replaces = matches!(change.action, ChangeAction::Replace { .. });
    if *change.branch == *ROOT_BRANCH && !replaces {
        return Some("branch: the root branch can only be replaced".to_owned());
    }
    None
}
