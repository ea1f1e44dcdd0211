//! Keeps suspects on different servers, so that the crash under one is no evidence against another.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout;

use super::context::EntryContext;
use super::measure::{self, CrowdedPolicy, ProbeCounts};
use super::outgoing::OutgoingRequest;
use crate::fleet::balance::{ChosenServer, rendezvous_score};
use crate::ids::{RequestDigest, ServerId};

/// Maximum number of servers that are tried for one send of a suspect.
const MAX_CHOICES: usize = 6;

/// Time in which a server for a suspect is found. Servers that are down refuse at once or are ejected.
const MAX_CHOICE_TIME: Duration = Duration::from_millis(150);

/// Suspects that are being sent to servers by this entry.
#[derive(Debug, Default)]
pub struct SuspectRuns {
    runs: Vec<(ServerId, RequestDigest)>,
}

impl SuspectRuns {
    /// Servers that run suspects other than this request.
    pub fn servers_of_others(&self, digest: RequestDigest) -> Vec<ServerId> {
        let others = self.runs.iter().filter(|(_, other)| *other != digest);
        others.map(|(server, _)| server.clone()).collect()
    }

    /// Records a run; returns `false` if the server runs another suspect.
    pub fn begin(&mut self, server: &ServerId, digest: RequestDigest) -> bool {
        if self.servers_of_others(digest).contains(server) {
            return false;
        }
        self.runs.push((server.clone(), digest));
        true
    }

    /// Removes one run.
    pub fn end(&mut self, server: &ServerId, digest: RequestDigest) {
        let position = self.runs.iter().position(|run| run.0 == *server && run.1 == digest);
        position.map(|position| self.runs.swap_remove(position));
    }
}

/// Run of a suspect on a server to which no other suspect is sent meanwhile.
pub struct SuspectRun {
    context: Rc<EntryContext>,
    server: ServerId,
    digest: RequestDigest,
}

impl SuspectRun {
    fn begin(context: &Rc<EntryContext>, server: &ServerId, digest: RequestDigest) -> Option<Self> {
        let is_alone = context.suspect_runs.borrow_mut().begin(server, digest);
        is_alone.then(|| Self { context: Rc::clone(context), server: server.clone(), digest })
    }
}

impl Drop for SuspectRun {
    fn drop(&mut self) {
        self.context.suspect_runs.borrow_mut().end(&self.server, self.digest);
    }
}

/// Chooses a server. Suspects get servers in an order that depends on the request, at all entries: copies
/// of one suspect meet on one server and crash only that one, and different suspects run on different
/// ones, as long as there are enough with room.
pub async fn choose_server(
    context: &Rc<EntryContext>,
    request: &OutgoingRequest,
    tried: &[ServerId],
    crowded_policy: CrowdedPolicy,
) -> Result<(ChosenServer, Option<SuspectRun>), ProbeCounts> {
    if context.counted_crashes(request) > 0 {
        context.wait_for_burst_end(request).await;
        let separate = choose_separate_server(context, request, tried);
        if let Ok(Some((chosen, run))) = timeout(MAX_CHOICE_TIME, separate).await {
            return Ok((chosen, Some(run)));
        }
    }
    let chosen = measure::choose_server(context, request, tried, crowded_policy).await?;
    Ok((chosen, None))
}

async fn choose_separate_server(
    context: &Rc<EntryContext>,
    request: &OutgoingRequest,
    tried: &[ServerId],
) -> Option<(ChosenServer, SuspectRun)> {
    let digest = request.digest();
    let ranked = rank_servers(context, request);
    for preferred in ranked.iter().filter(|server| !tried.contains(server)).take(MAX_CHOICES) {
        let others = context.suspect_runs.borrow().servers_of_others(digest);
        if others.contains(preferred) {
            continue;
        }
        let excluded: Vec<_> = ranked.iter().filter(|other| *other != preferred).cloned().collect();
        let policy = CrowdedPolicy::GiveUp;
        let chosen = measure::choose_server(context, request, &excluded, policy).await;
        let Ok(chosen) = chosen else { continue };
        // Another suspect can have taken the server while it was probed.
        let Some(run) = SuspectRun::begin(context, &chosen.server, digest) else { continue };
        return Some((chosen, run));
    }
    None
}

/// Servers of the request's service in the order of preference for this request.
fn rank_servers(context: &EntryContext, request: &OutgoingRequest) -> Vec<ServerId> {
    let name = format!("{:032x}", request.digest());
    let state = context.state.borrow();
    let servers = state.servers().iter();
    let own = servers.filter(|(_, view)| view.announcement.service == request.service);
    let mut ranked: Vec<_> =
        own.map(|(server, _)| (rendezvous_score(&name, server), server.clone())).collect();
    ranked.sort_by(|(one, _), (other, _)| other.total_cmp(one));
    ranked.into_iter().map(|(_, server)| server).collect()
}
