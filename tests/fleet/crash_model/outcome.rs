//! What a run of the model shows.

use curranthollow::ids::RequestDigest;

use super::world::Millis;

#[derive(Debug, Default)]
pub struct CrashingOutcome {
    pub quarantined: bool,
    pub crashes: usize,
    /// Sends after the third crash of which the leader could hear in time.
    pub further_sends: usize,
    /// Reports under this leader that nothing delayed.
    pub told: usize,
    pub third_at: Option<Millis>,
}

#[derive(Debug, Default)]
pub struct Outcome {
    pub crashing: Vec<CrashingOutcome>,
    pub innocents_quarantined: Vec<RequestDigest>,
    pub lost_from_quarantine: Vec<RequestDigest>,
    /// Sends by connected entries later than the stable window after the third crash.
    pub late_sends: usize,
    pub innocent_crashes: usize,
    /// Refusals of innocent requests that an entry held for a while.
    pub innocent_holds: usize,
    pub leader_changes: usize,
}
