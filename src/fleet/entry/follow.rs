//! Links to control members: dials them, follows their state and leaves members that are out of
//! date.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::{Notify, watch};
use tokio::time::timeout;

use super::context::EntryContext;
use crate::fleet::link::{self, LinkError, LinkMessage};
use crate::fleet::process_metrics::PROCESS_METRICS;
use crate::log_info;

/// Number of members that an entry follows. Any three of five include a member of every majority.
pub const FOLLOWED_MEMBERS: usize = 3;

/// Time without a message after which a link is closed.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1100);

/// Time without a leader after which a member counts as out of date.
const MAX_LEADER_AGE: Duration = Duration::from_millis(1200);

/// Interval at which the links are checked while there are too few.
const LINK_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Time to wait for the initial state. A member that has one sends it within some tens of
/// milliseconds.
const INITIAL_STATE_TIMEOUT: Duration = Duration::from_millis(200);

/// Delay before a failed member is dialled again.
const REDIAL_DELAY: Duration = Duration::from_millis(600);

/// The same delay while no member is up to date.
const DISCONNECTED_REDIAL_DELAY: Duration = Duration::from_millis(80);

/// Shared state of the links.
pub struct FleetFollower {
    context: Rc<EntryContext>,
    seeds: RefCell<Vec<SocketAddr>>,
    members: RefCell<Vec<SocketAddr>>,
    /// Open links, with the time at which each member was last up to date.
    links: RefCell<BTreeMap<SocketAddr, Option<Instant>>>,
    failed_at: RefCell<BTreeMap<SocketAddr, Instant>>,
    had_fresh_member: RefCell<bool>,
    initial_state: watch::Sender<InitialState>,
    link_ended: Notify,
}

/// Progress of the first complete state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum InitialState {
    NotRequested,
    Requested,
    Installed,
}

impl FleetFollower {
    pub fn new(context: Rc<EntryContext>, seeds: Vec<SocketAddr>) -> Rc<Self> {
        Rc::new(Self {
            context,
            seeds: RefCell::new(seeds),
            members: RefCell::default(),
            links: RefCell::default(),
            failed_at: RefCell::default(),
            had_fresh_member: RefCell::new(false),
            initial_state: watch::Sender::new(InitialState::NotRequested),
            link_ended: Notify::new(),
        })
    }

    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.borrow_mut() = seeds;
    }

    /// Maintains the links until the process exits.
    pub async fn run(self: Rc<Self>) {
        loop {
            let now = Instant::now();
            self.context.check_suspension();
            for address in self.members_to_dial(now) {
                self.links.borrow_mut().insert(address, None);
                tokio::task::spawn_local(Rc::clone(&self).run_link(address));
            }
            self.log_freshness_change(now);
            let delay = self.check_delay(now);
            // The end of a link requires an immediate check; with enough links nothing else does.
            if timeout(delay, self.link_ended.notified()).await.is_err() {
                PROCESS_METRICS.record_timer_delay(now + delay, Instant::now());
            }
        }
    }

    fn check_delay(&self, now: Instant) -> Duration {
        match self.fresh_members(now) {
            0 => DISCONNECTED_REDIAL_DELAY,
            FOLLOWED_MEMBERS.. => SILENCE_TIMEOUT,
            _ => LINK_CHECK_INTERVAL,
        }
    }

    /// Number of links to members that are up to date.
    pub fn fresh_members(&self, now: Instant) -> usize {
        let links = self.links.borrow();
        links.values().flatten().filter(|at| now.duration_since(**at) < SILENCE_TIMEOUT).count()
    }

    fn has_fresh_member(&self, now: Instant) -> bool {
        self.fresh_members(now) > 0
    }

    fn log_freshness_change(&self, now: Instant) {
        let fresh = self.has_fresh_member(now);
        let had_fresh = self.had_fresh_member.replace(fresh);
        if had_fresh != fresh {
            let revision = self.context.state.borrow().revision();
            let event = if fresh { "control_regained" } else { "control_lost" };
            log_info!(event, "revision={revision} links={}", self.links.borrow().len());
        }
    }

    /// Members to dial now: as many as are missing, or all known ones while none is up to date.
    fn members_to_dial(&self, now: Instant) -> Vec<SocketAddr> {
        let links = self.links.borrow();
        let mut failed_at = self.failed_at.borrow_mut();
        let members = self.members.borrow();
        let fresh = self.has_fresh_member(now);
        let delay = if fresh { REDIAL_DELAY } else { DISCONNECTED_REDIAL_DELAY };
        failed_at.retain(|_, at| now.duration_since(*at) < delay);
        let mut known: BTreeSet<SocketAddr> = members.iter().copied().collect();
        if known.is_empty() || !fresh {
            known.extend(self.seeds.borrow().iter());
        }
        let limit = if fresh { FOLLOWED_MEMBERS } else { usize::MAX };
        let missing = limit.saturating_sub(links.len());
        let mut candidates: Vec<SocketAddr> = known.into_iter().collect();
        candidates
            .retain(|address| !links.contains_key(address) && !failed_at.contains_key(address));
        self.context.random.borrow_mut().shuffle(&mut candidates);
        candidates.truncate(missing);
        candidates
    }

    async fn run_link(self: Rc<Self>, address: SocketAddr) {
        let error = self.follow(address).await.err();
        self.links.borrow_mut().remove(&address);
        if !matches!(error, Some(LinkError::Suspended)) {
            self.failed_at.borrow_mut().insert(address, Instant::now());
        }
        self.link_ended.notify_one();
        if let Some(error) = error
            && !matches!(error, LinkError::ConnectTimeout | LinkError::Io(_))
        {
            log_info!("member_left", "member={address} error=\"{error}\"");
        }
    }

    async fn follow(&self, address: SocketAddr) -> Result<(), LinkError> {
        let (mut writer, mut reader) = link::connect(address).await?;
        self.wait_for_initial_state().await;
        let revision = self.context.state.borrow().revision();
        let name = self.context.name.clone();
        writer.send(link::encode(&LinkMessage::Follow { name, revision })).await?;
        let followed_since = Instant::now();
        let suspension = self.context.known_suspension();
        loop {
            let received = timeout(SILENCE_TIMEOUT, reader.receive()).await;
            self.context.check_suspension();
            if self.context.known_suspension() != suspension {
                // What was received may have waited here as long as the machine was suspended.
                return Err(LinkError::Suspended);
            }
            match received.map_err(|_| LinkError::Silent)?? {
                LinkMessage::Update(update) => {
                    self.context.install_update(Instant::now(), update);
                    self.initial_state.send_replace(InitialState::Installed);
                }
                LinkMessage::Fresh(notice) => {
                    let now = Instant::now();
                    let has_leader = notice.leader_age.is_some_and(|age| age < MAX_LEADER_AGE);
                    if has_leader {
                        self.links.borrow_mut().insert(address, Some(now));
                        self.context.confirm_state();
                        self.context.update_entry_count(&notice);
                        *self.members.borrow_mut() = notice.members;
                        if self.is_surplus(address) {
                            return Ok(());
                        }
                    } else if now.duration_since(followed_since) > MAX_LEADER_AGE
                        && self.has_fresh_member(now)
                    {
                        return Err(LinkError::Silent);
                    }
                }
                _ => {}
            }
        }
    }

    /// Waits while another link receives the initial state: several copies would share the line and
    /// all arrive later.
    async fn wait_for_initial_state(&self) {
        let mut state = self.initial_state.subscribe();
        if *state.borrow() != InitialState::Requested {
            self.initial_state.send_if_modified(|state| {
                let not_requested = *state == InitialState::NotRequested;
                if not_requested {
                    *state = InitialState::Requested;
                }
                not_requested
            });
            return;
        }
        let installed = state.wait_for(|state| *state == InitialState::Installed);
        // If none arrives in time, this link requests the state as well.
        let _ = timeout(INITIAL_STATE_TIMEOUT, installed).await;
    }

    /// Whether this link can be closed because enough members with lower addresses are up to date.
    fn is_surplus(&self, address: SocketAddr) -> bool {
        let now = Instant::now();
        let links = self.links.borrow();
        let fresh =
            |at: &Option<Instant>| at.is_some_and(|at| now.duration_since(at) < SILENCE_TIMEOUT);
        let preceding = links.range(..address).filter(|(_, at)| fresh(at)).count();
        preceding >= FOLLOWED_MEMBERS
    }
}
