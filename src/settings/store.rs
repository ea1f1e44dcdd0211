//! Settings store: the state of the replicated settings group (group 0).

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

/// Version of the snapshot format; snapshots with another version are refused.
const SNAPSHOT_FORMAT: u32 = 1;

/// Root document of a new cluster.
const INITIAL_ROOT_DOCUMENT: &str = "{ \"defaults\": {} }";

/// Error from restoring a snapshot.
#[derive(Debug, thiserror::Error)]
pub enum RestoreError {
    #[error("settings snapshot is malformed: {0}")]
    Malformed(String),
    #[error("settings snapshot has format {0}, this version reads format {SNAPSHOT_FORMAT}")]
    UnsupportedFormat(u32),
    #[error(transparent)]
    InvalidSettings(#[from] InstallError),
}

/// All branches with their histories and the outcomes of their changes.
#[derive(Clone, Debug)]
pub struct SettingsStore {
    state: StoreState,
    /// Parsed root document; derived from `state`.
    root: Arc<RootSettings>,
    /// Team that owns each route; derived from the teams' documents.
    route_owners: BTreeMap<RouteKey, Box<str>>,
}

/// Host and path prefix that a service matches.
type RouteKey = (Option<Box<str>>, Box<str>);

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct StoreState {
    cluster: ClusterId,
    revision: SettingsRevision,
    branches: BTreeMap<Box<str>, BranchState>,
}

/// Result of checking a change.
type CheckResult = Result<AcceptedChange, ChangeOutcome>;

/// Updates that an accepted change makes.
struct AcceptedChange {
    document: Option<Arc<str>>,
    token_sha256: Option<Box<str>>,
    /// New root settings, if the root branch changes.
    root: Option<RootSettings>,
    /// New routes of the team, if its document changes.
    routes: Option<Vec<RouteKey>>,
}

impl SettingsStore {
    /// Creates the settings of a new cluster; the root branch has version 0 and sets no defaults.
    pub fn new(cluster: ClusterId, root_token_sha256: &str) -> Self {
        let root = RootSettings::parse(INITIAL_ROOT_DOCUMENT, 0)
            .expect("the initial root document is valid");
        let branch = BranchState::new(Some(INITIAL_ROOT_DOCUMENT.into()), root_token_sha256.into());
        let branches = BTreeMap::from([(ROOT_BRANCH.into(), branch)]);
        let state = StoreState { cluster, revision: 0, branches };
        Self { state, root: Arc::new(root), route_owners: BTreeMap::new() }
    }

    /// Returns the cluster that the settings belong to.
    pub fn cluster(&self) -> ClusterId {
        self.state.cluster
    }

    /// Returns the revision of the last accepted change.
    pub fn revision(&self) -> SettingsRevision {
        self.state.revision
    }

    /// Returns the names and versions of the existing branches.
    pub fn versions(&self) -> impl Iterator<Item = (&str, u64)> {
        let existing = self.state.branches.iter().filter(|(_, branch)| branch.document.is_some());
        existing.map(|(name, branch)| (name.as_ref(), branch.version))
    }

    /// Returns the version and document of a branch.
    pub fn document(&self, branch: &str) -> Option<(u64, &str)> {
        let branch = self.state.branches.get(branch)?;
        Some((branch.version, branch.document.as_deref()?))
    }

    /// Returns the stored versions of a branch, oldest first.
    pub fn history(&self, branch: &str) -> Vec<HistoryEntry> {
        let branch = self.state.branches.get(branch);
        branch.map_or_else(Vec::new, |branch| branch.history.entries(branch.document.as_ref()))
    }

    /// Returns the number of outcomes stored for a branch.
    pub fn stored_outcome_count(&self, branch: &str) -> usize {
        self.state.branches.get(branch).map_or(0, |branch| branch.outcomes.len())
    }

    /// Tells whether a token, given by its SHA-256, is the token of a branch.
    pub fn authorizes(&self, branch: &str, token_sha256: &str) -> bool {
        let branch = self.state.branches.get(branch);
        branch.is_some_and(|branch| token_matches(&branch.token_sha256, token_sha256))
    }

    /// Applies a committed change. The outcome depends only on the state and the change, so that
    /// all replicas stay equal.
    ///
    /// The outcome of a change that fails authentication (a malformed request, an unknown branch or
    /// a wrong token) is not stored, so that a caller without a token cannot displace the outcomes
    /// of a team.
    pub fn apply(&mut self, change: &SettingsChange) -> ChangeOutcome {
        let authorizing_branch = match self.authenticate(change) {
            Ok(authorizing_branch) => authorizing_branch,
            Err(reason) => return ChangeOutcome::Refused(reason),
        };
        let key = change.outcome_key();
        let content = change.content_digest();
        if let Some(outcome) = self.state.branches[authorizing_branch].outcomes.find(key, content) {
            return outcome;
        }
        let outcome = match self.check_change(change) {
            Ok(accepted) => self.apply_accepted(change, accepted),
            Err(outcome) => outcome,
        };
        let branch =
            self.state.branches.get_mut(authorizing_branch).expect("the authorizing branch exists");
        branch.outcomes.push(key, content, outcome.clone());
        outcome
    }

    /// Checks the token of a change and returns the branch that the token belongs to; the outcome
    /// is stored there.
    fn authenticate<'c>(&self, change: &'c SettingsChange) -> Result<&'c str, RefusalReason> {
        if let Some(message) = find_malformed_text(change) {
            return Err(RefusalReason::InvalidRequest { message: message.into() });
        }
        let authorizing_branch = match change.action {
            ChangeAction::Replace { .. } => change.branch.as_ref(),
            _ => ROOT_BRANCH,
        };
        let Some(branch) = self.state.branches.get(authorizing_branch) else {
            return Err(RefusalReason::UnknownBranch);
        };
        if !token_matches(&branch.token_sha256, &change.token_sha256) {
            return Err(RefusalReason::WrongToken);
        }
        Ok(authorizing_branch)
    }

    fn check_change(&self, change: &SettingsChange) -> CheckResult {
        let branch = self.state.branches.get(&change.branch);
        let exists = branch.is_some_and(|branch| branch.document.is_some());
        let current = branch.map_or(0, |branch| branch.version);
        let is_creation = matches!(change.action, ChangeAction::Create { .. });
        if exists && is_creation {
            return Err(ChangeOutcome::Refused(RefusalReason::BranchExists));
        }
        if !exists && !is_creation {
            return Err(ChangeOutcome::Refused(RefusalReason::UnknownBranch));
        }
        // A rotation ignores the version. Otherwise the holder of a leaked token could block it by
        // changing the document repeatedly.
        let is_rotation = matches!(change.action, ChangeAction::RotateToken { .. });
        if change.base_version != current && !is_rotation {
            return Err(ChangeOutcome::Conflict { current });
        }
        if branch.is_none() && self.state.branches.len() >= BRANCH_LIMIT {
            return Err(ChangeOutcome::Refused(RefusalReason::TooManyBranches));
        }
        self.check_action(change, branch)
    }

    fn check_action(&self, change: &SettingsChange, branch: Option<&BranchState>) -> CheckResult {
        match &change.action {
            ChangeAction::Replace { document } if *change.branch == *ROOT_BRANCH => {
                let root = RootSettings::parse(document, change.base_version + 1);
                let root = Some(root.map_err(invalid_document)?);
                let document = Some(document.as_ref().into());
                Ok(AcceptedChange { document, token_sha256: None, root, routes: None })
            }
            ChangeAction::Replace { document } => {
                self.check_team_document(&change.branch, document, None)
            }
            ChangeAction::Create { document, team_token_sha256 } => {
                self.check_team_document(&change.branch, document, Some(team_token_sha256.clone()))
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

    fn check_team_document(
        &self,
        name: &str,
        text: &str,
        token_sha256: Option<Box<str>>,
    ) -> CheckResult {
        let team = TeamSettings::parse(name, text, &self.root).map_err(invalid_document)?;
        let mut conflicting_services = Vec::new();
        let mut routes = Vec::new();
        for (service, settings) in &team.services {
            let matching = &settings.matching;
            let route = (matching.host.clone(), matching.path_prefix.clone());
            if self.route_owners.get(&route).is_some_and(|owner| **owner != *name) {
                conflicting_services.push(service.clone());
            }
            routes.push(route);
        }
        if !conflicting_services.is_empty() {
            return Err(invalid_document(taken_route_errors(name, text, &conflicting_services)));
        }
        let document = Some(text.into());
        Ok(AcceptedChange { document, token_sha256, root: None, routes: Some(routes) })
    }

    fn apply_accepted(
        &mut self,
        change: &SettingsChange,
        accepted: AcceptedChange,
    ) -> ChangeOutcome {
        self.state.revision += 1;
        let revision = self.state.revision;
        let name = &change.branch;
        let branch = self.state.branches.entry(name.clone());
        let branch = branch.or_insert_with(|| BranchState::new(None, "".into()));
        if let Some(token) = accepted.token_sha256 {
            branch.token_sha256 = token;
        }
        let version = branch.commit_version(accepted.document, &change.change_id, revision);
        if let Some(root) = accepted.root {
            self.root = Arc::new(root);
        }
        if let Some(routes) = accepted.routes {
            self.route_owners.retain(|_, owner| owner != name);
            self.route_owners.extend(routes.into_iter().map(|route| (route, name.clone())));
        }
        ChangeOutcome::Accepted { version, revision }
    }

    /// Returns the branches that changed after `since`; all branches if `since` is 0.
    pub fn delta_since(&self, since: SettingsRevision) -> SettingsDelta {
        let mut branches = Vec::new();
        for (name, branch) in &self.state.branches {
            if since == 0 || branch.revision > since {
                branches.push(copy_branch(name, branch));
            }
        }
        let StoreState { cluster, revision, .. } = self.state;
        SettingsDelta { cluster, since, revision, branches }
    }

    /// Builds the settings tree of the current documents.
    pub fn tree(&self) -> Result<SettingsTree, InstallError> {
        let copies = self.state.branches.iter();
        let copies = copies.map(|(name, branch)| (name.clone(), copy_branch(name, branch)));
        build_tree(self.state.revision, &copies.collect(), None)
    }

    /// Encodes the whole state, including stored outcomes and histories.
    pub fn snapshot(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        ciborium::into_writer(&SNAPSHOT_FORMAT, &mut bytes).expect("writing to memory cannot fail");
        ciborium::into_writer(&self.state, &mut bytes).expect("writing to memory cannot fail");
        bytes
    }

    /// Restores the store from a snapshot.
    pub fn restore(mut bytes: &[u8]) -> Result<Self, RestoreError> {
        let format: u32 = read_value(&mut bytes)?;
        if format != SNAPSHOT_FORMAT {
            return Err(RestoreError::UnsupportedFormat(format));
        }
        let state: StoreState = read_value(&mut bytes)?;
        if !bytes.is_empty() {
            return Err(RestoreError::Malformed(format!("{} extra bytes", bytes.len())));
        }
        let root = Arc::new(
            RootSettings::parse(INITIAL_ROOT_DOCUMENT, 0)
                .expect("the initial root document is valid"),
        );
        let mut store = Self { state, root, route_owners: BTreeMap::new() };
        let tree = store.tree()?;
        store.root = Arc::clone(&tree.root);
        for (name, team) in &tree.teams {
            for settings in team.services.values() {
                let matching = &settings.matching;
                let route = (matching.host.clone(), matching.path_prefix.clone());
                store.route_owners.insert(route, name.clone());
            }
        }
        Ok(store)
    }
}

fn read_value<T: serde::de::DeserializeOwned>(bytes: &mut &[u8]) -> Result<T, RestoreError> {
    ciborium::from_reader(bytes).map_err(|error| RestoreError::Malformed(error.to_string()))
}

fn copy_branch(name: &str, branch: &BranchState) -> BranchCopy {
    // The hash of the root token does not leave the control processes.
    let token = if name == ROOT_BRANCH { "" } else { &branch.token_sha256 };
    BranchCopy {
        name: name.into(),
        version: branch.version,
        revision: branch.revision,
        token_sha256: token.into(),
        document: branch.document.clone(),
    }
}

fn invalid_document(errors: Vec<SchemaError>) -> ChangeOutcome {
    ChangeOutcome::Refused(RefusalReason::InvalidDocument { errors })
}

/// Returns an error for each service whose route another team owns. The errors do not name that
/// team, because its settings are not visible to this team's operator.
fn taken_route_errors(team: &str, text: &str, services: &[Box<str>]) -> Vec<SchemaError> {
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

/// Checks the format of a change's texts; returns a message for the first invalid one.
fn find_malformed_text(change: &SettingsChange) -> Option<String> {
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
    let is_replacement = matches!(change.action, ChangeAction::Replace { .. });
    if *change.branch == *ROOT_BRANCH && !is_replacement {
        return Some("branch: the root branch can only be replaced".to_owned());
    }
    None
}
