//! Sharing of the process limits between teams.

use std::sync::{Arc, Mutex, MutexGuard};

use crate::ids::TeamName;
use crate::route::TeamShare;
use crate::route::team_share::ProcessLimits;

/// Maximum memory for buffered request bodies, in KiB. 64 MiB leave enough memory on a small VM.
const MAX_BUFFERED_KIB: u32 = 64 * 1024;

/// Maximum number of requests of all services that wait for a slot at once.
const MAX_QUEUED_REQUESTS: u32 = 8192;

/// Shares of the teams in the limits on open requests, queued requests and buffered bodies.
#[derive(Debug)]
pub struct ProcessShare {
    teams: Mutex<TeamShare>,
}

/// Process limit that a guard counts against.
#[derive(Clone, Copy, Debug)]
enum ShareKind {
    Open,
    Queued,
    Buffered(u32),
}

/// Part of a process limit used by one request; released on drop.
#[derive(Debug)]
pub struct ShareGuard {
    share: Arc<ProcessShare>,
    team: Arc<str>,
    kind: ShareKind,
}

impl ProcessShare {
    /// Creates the shares of a process that accepts `connections` caller connections.
    ///
    /// A quarter of the connections is reserved for requests that are refused immediately.
    pub fn new(connections: usize) -> Arc<Self> {
        let open = u32::try_from(connections - connections / 4).unwrap_or(u32::MAX);
        let limits = ProcessLimits {
            open,
            queued: open.min(MAX_QUEUED_REQUESTS),
            buffered_kib: MAX_BUFFERED_KIB,
        };
        Self::with_limits(limits)
    }

    /// Creates shares with the given limits.
    pub fn with_limits(limits: ProcessLimits) -> Arc<Self> {
        Arc::new(Self { teams: Mutex::new(TeamShare::new(limits)) })
    }

    /// Sets the teams that share the limits.
    pub fn set_teams(&self, teams: &[TeamName]) {
        self.lock().set_teams(teams);
    }

    /// Counts an open request; `None` if the team has used up its share.
    pub fn try_open(self: &Arc<Self>, team: &Arc<str>) -> Option<ShareGuard> {
        self.try_take(team, ShareKind::Open)
    }

    /// Counts a request that waits for a slot; `None` if the team has used up its share.
    pub fn try_queue(self: &Arc<Self>, team: &Arc<str>) -> Option<ShareGuard> {
        self.try_take(team, ShareKind::Queued)
    }

    /// Reserves memory for a body of `bytes`; `None` if the team has used up its share.
    pub fn try_buffer(self: &Arc<Self>, team: &Arc<str>, bytes: u64) -> Option<ShareGuard> {
        let kib = u32::try_from(bytes.div_ceil(1024)).unwrap_or(u32::MAX);
        self.try_take(team, ShareKind::Buffered(kib))
    }

    fn try_take(self: &Arc<Self>, team: &Arc<str>, kind: ShareKind) -> Option<ShareGuard> {
        let is_granted = match kind {
            ShareKind::Buffered(0) => true,
            ShareKind::Open => self.lock().try_open(team),
            ShareKind::Queued => self.lock().try_queue(team),
            ShareKind::Buffered(kib) => self.lock().try_buffer(team, kib),
        };
        is_granted.then(|| ShareGuard { share: Arc::clone(self), team: Arc::clone(team), kind })
    }

    fn lock(&self) -> MutexGuard<'_, TeamShare> {
        self.teams.lock().expect("process share lock is not poisoned")
    }
}

impl Drop for ShareGuard {
    fn drop(&mut self) {
        match self.kind {
            ShareKind::Buffered(0) => (),
            ShareKind::Open => self.share.lock().close(&self.team),
            ShareKind::Queued => self.share.lock().leave_queue(&self.team),
            ShareKind::Buffered(kib) => self.share.lock().release_buffer(&self.team, kib),
        }
    }
}
