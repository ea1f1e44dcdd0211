//! Settings installed on an entry, and the deltas that update them.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::ROOT_BRANCH;
use super::document::{RootSettings, TeamSettings};
use super::tree::{DuplicateRoute, SettingsTree};
use crate::ids::{ClusterId, SettingsRevision, TeamName};
use crate::schema::SchemaError;

/// Branches that changed between two settings revisions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsDelta {
    pub cluster: ClusterId,
    /// Revision that the receiver must have installed at least; 0 for a delta with all branches.
    pub since: SettingsRevision,
    /// Revision that the receiver has after installation.
    pub revision: SettingsRevision,
    pub branches: Vec<BranchCopy>,
}

/// Current state of a branch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BranchCopy {
    pub name: Box<str>,
    pub version: u64,
    /// Settings revision of the branch's last change.
    pub revision: SettingsRevision,
    /// SHA-256 of the team's token; empty for the root branch, because entries do not need the root
    /// token.
    pub token_sha256: Box<str>,
    /// `None` when the branch is deleted.
    pub document: Option<Arc<str>>,
}

/// Error from installing a delta; the installed settings stay unchanged.
#[derive(Debug, thiserror::Error)]
pub enum InstallError {
    #[error("settings belong to cluster {found:016x}, expected {expected:016x}")]
    ClusterMismatch { expected: ClusterId, found: ClusterId },
    #[error("settings revision {found} is lower than the installed revision {installed}")]
    OlderRevision { installed: SettingsRevision, found: SettingsRevision },
    #[error("settings changes start after revision {since}, but {installed} is installed")]
    MissingChanges { installed: SettingsRevision, since: SettingsRevision },
    #[error("settings of branch {branch} cannot be read: {}", first_error(errors))]
    InvalidDocument { branch: Box<str>, errors: Vec<SchemaError> },
    #[error("settings have no root branch")]
    MissingRoot,
    #[error(transparent)]
    DuplicateRoute(#[from] DuplicateRoute),
}

fn first_error(errors: &[SchemaError]) -> String {
    errors.first().map_or_else(String::new, SchemaError::to_string)
}

/// Settings installed on an entry; held in memory only.
#[derive(Clone, Debug, Default)]
pub struct InstalledSettings {
    cluster: Option<ClusterId>,
    revision: SettingsRevision,
    branches: BTreeMap<Box<str>, BranchCopy>,
    tree: Option<Arc<SettingsTree>>,
}

impl InstalledSettings {
    /// Creates an instance without settings; the first delta determines the cluster.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the installed revision; 0 before the first delta.
    pub fn revision(&self) -> SettingsRevision {
        self.revision
    }

    /// Returns the cluster that the settings come from; `None` before the first delta.
    pub fn cluster(&self) -> Option<ClusterId> {
        self.cluster
    }

    /// Returns the installed settings tree; `None` before the first delta.
    pub fn tree(&self) -> Option<&Arc<SettingsTree>> {
        self.tree.as_ref()
    }

    /// Installs a delta completely or, on an error, not at all; only changed branches are parsed.
    pub fn install(&mut self, delta: &SettingsDelta) -> Result<Arc<SettingsTree>, InstallError> {
        self.check_applicable(delta)?;
        if let (Some(tree), true) = (&self.tree, delta.revision == self.revision) {
            return Ok(Arc::clone(tree));
        }
        let mut branches = self.branches.clone();
        for copy in &delta.branches {
            branches.insert(copy.name.clone(), copy.clone());
        }
        let tree = Arc::new(build_tree(delta.revision, &branches, self.tree.as_deref())?);
        self.cluster = Some(delta.cluster);
        self.revision = delta.revision;
        self.branches = branches;
        self.tree = Some(Arc::clone(&tree));
        Ok(tree)
    }

    /// Returns the branches that changed after `since`, to relay them to another entry; `None`
    /// before the first delta.
    pub fn delta_since(&self, since: SettingsRevision) -> Option<SettingsDelta> {
        let cluster = self.cluster?;
        let changed_branches =
            self.branches.values().filter(|copy| since == 0 || copy.revision > since);
        let branches = changed_branches.cloned().collect();
        Some(SettingsDelta { cluster, since, revision: self.revision, branches })
    }

    fn check_applicable(&self, delta: &SettingsDelta) -> Result<(), InstallError> {
        let installed = self.revision;
        if let Some(expected) = self.cluster.filter(|cluster| *cluster != delta.cluster) {
            return Err(InstallError::ClusterMismatch { expected, found: delta.cluster });
        }
        if delta.revision < installed {
            return Err(InstallError::OlderRevision { installed, found: delta.revision });
        }
        let needs_earlier_settings = self.cluster.is_none() && delta.since > 0;
        if delta.since > installed || needs_earlier_settings {
            return Err(InstallError::MissingChanges { installed, since: delta.since });
        }
        Ok(())
    }
}

/// Builds a settings tree; reuses the teams from `previous` whose own branch and root are
/// unchanged.
pub(super) fn build_tree(
    revision: SettingsRevision,
    branches: &BTreeMap<Box<str>, BranchCopy>,
    previous: Option<&SettingsTree>,
) -> Result<SettingsTree, InstallError> {
    let root_copy = branches.get(ROOT_BRANCH).ok_or(InstallError::MissingRoot)?;
    let reusable = previous.filter(|tree| tree.root.version == root_copy.version);
    let root = match reusable {
        Some(tree) => Arc::clone(&tree.root),
        None => {
            let text = root_copy.document.as_deref().ok_or(InstallError::MissingRoot)?;
            Arc::new(
                RootSettings::parse(text, root_copy.version)
                    .map_err(invalid_document(ROOT_BRANCH))?,
            )
        }
    };
    let mut teams: BTreeMap<TeamName, Arc<TeamSettings>> = BTreeMap::new();
    for copy in branches.values() {
        let Some(text) = copy.document.as_deref().filter(|_| *copy.name != *ROOT_BRANCH) else {
            continue;
        };
        let unchanged = reusable.and_then(|tree| tree.teams.get(&copy.name));
        if let Some(team) = unchanged.filter(|team| team.version == copy.version) {
            teams.insert(copy.name.clone(), Arc::clone(team));
            continue;
        }
        let mut team =
            TeamSettings::load(&copy.name, text, &root).map_err(invalid_document(&copy.name))?;
        team.version = copy.version;
        team.token_sha256 = copy.token_sha256.clone();
        teams.insert(copy.name.clone(), Arc::new(team));
    }
    Ok(SettingsTree::assemble(revision, root, teams)?)
}

fn invalid_document(branch: &str) -> impl Fn(Vec<SchemaError>) -> InstallError {
    move |errors| InstallError::InvalidDocument { branch: branch.into(), errors }
}
