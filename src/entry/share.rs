//! What the requests of all teams have in common in one process.

use std::sync::{Arc, Mutex, MutexGuard};

use crate::ids::TeamName;
use crate::route::TeamShare;
use crate::route::team_share::ProcessLimits;

/// Request bodies held in memory at once, in KiB. 64 MiB fit beside the rest on a small VM.
const BUFFERED_KIB: u32 = 64 * 1024;

/// Requests of all services that wait for a slot at once.
const QUEUED_REQUESTS: u32 = 8192;

/// Shares of the teams in open requests, queued requests and buffered bodies.
#[derive(Debug)]
pub struct ProcessShare {
    teams: Mutex<TeamShare>,
}

/// Part of a process limit that is used.
#[derive(Clone, Copy, Debug)]
enum ShareUse {
    Open,
    Queued,
    Buffered(u32),
}

/// Part of a process limit that one request uses; given back on drop.
#[derive(Debug)]
pub struct ShareGuard {
    share: Arc<ProcessShare>,
    team: Arc<str>,
    part: ShareUse,
}

impl ProcessShare {
    /// Creates the shares of a process that accepts `connections` caller connections.
    ///
    /// A quarter of the connections is left for requests that are refused at once.
    pub fn new(connections: usize) -> Arc<Self> {
        let open = u32::try_from(connections - connections / 4).unwrap_or(u32::MAX);
        let limits =
            ProcessLimits { open, queued: open.min(QUEUED_REQUESTS), buffered_kib: BUFFERED_KIB };
        Self::with_limits(limits)
    }

    /// Creates shares with the given limits.
    pub fn with_limits(limits: ProcessLimits) -> Arc<Self> {
        Arc::new(Self { teams: Mutex::new(TeamShare::new(limits)) })
    }

    /// Sets the teams between which the limits are shared.
    pub fn set_teams(&self, teams: &[TeamName]) {
        self.lock().set_teams(teams);
    }

    /// Counts an open request; `None` when the team must be refused.
    pub fn open(self: &Arc<Self>, team: &Arc<str>) -> Option<ShareGuard> {
        self.take(team, ShareUse::Open)
    }

    /// Counts a request that waits for a slot; `None` when the team must be refused.
    pub fn queue(self: &Arc<Self>, team: &Arc<str>) -> Option<ShareGuard> {
        self.take(team, ShareUse::Queued)
    }

    /// Reserves memory for a body of `bytes`; `None` when the team must not buffer it.
    pub fn buffer(self: &Arc<Self>, team: &Arc<str>, bytes: u64) -> Option<ShareGuard> {
        let kib = u32::try_from(bytes.div_ceil(1024)).unwrap_or(u32::MAX);
        self.take(team, ShareUse::Buffered(kib))
    }

    fn take(self: &Arc<Self>, team: &Arc<str>, part: ShareUse) -> Option<ShareGuard> {
        let is_taken = match part {
            ShareUse::Buffered(0) => true,
            ShareUse::Open => self.lock().try_open(team),
            ShareUse::Queued => self.lock().try_queue(team),
            ShareUse::Buffered(kib) => self.lock().try_buffer(team, kib),
        };
        is_taken.then(|| ShareGuard { share: Arc::clone(self), team: Arc::clone(team), part })
    }

    fn lock(&self) -> MutexGuard<'_, TeamShare> {
        self.teams.lock().expect("no holder of the share lock panics")
    }
}

impl Drop for ShareGuard {
    fn drop(&mut self) {
        match self.part {
            ShareUse::Buffered(0) => (),
            ShareUse::Open => self.share.lock().close(&self.team),
            ShareUse::Queued => self.share.lock().leave_queue(&self.team),
            ShareUse::Buffered(kib) => self.share.lock().release_buffer(&self.team, kib),
        }
    }
}
