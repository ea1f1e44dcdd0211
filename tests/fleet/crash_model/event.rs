//! Events of the model.

use curranthollow::fleet::crash::controller::ReportBatch;
use curranthollow::fleet::state::FleetCommand;
use curranthollow::ids::RequestDigest;

use super::world::Millis;

/// Send of one request to a server.
#[derive(Debug, Clone)]
pub struct Send {
    pub entry: usize,
    pub digest: RequestDigest,
    pub server: usize,
    pub began: Millis,
    /// Remaining sends of this entry and remaining attempts of the caller.
    pub resends: u32,
    pub attempts: u32,
}

/// What happens at a time of the model.
#[derive(Debug, Clone)]
pub enum Event {
    Arrive { digest: RequestDigest, attempts: u32 },
    InnocentArrives,
    Finish { send: usize },
    Crash { server: usize },
    CrashSeen { send: Send, started: u64, broke: Millis },
    Retry { send: Send },
    Restart { server: usize },
    Flap { server: usize },
    Rack,
    Deliver { member: usize, batch: ReportBatch, from_entry: bool },
    Commit { command: FleetCommand, term: usize },
    Update { entry: usize },
    Tick,
    LoseLeader,
    HearOfLoss { member: usize, term: usize },
    Elect,
    Cut { entry: usize, member: usize },
    Heal { entry: usize, member: usize },
}
