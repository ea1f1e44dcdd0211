//! Links to control members: finds them, follows the state and leaves members that are behind.

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

/// Members that an entry follows. Any three of five include one of each majority.
pub const FOLLOWED_MEMBERS: usize = 3;

/// A member that says nothing for this long is left.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1100);

/// A member that has not heard of a leader for this long is behind.
const LEADER_AGE: Duration = Duration::from_millis(1200);

/// Interval at which the set of links is looked at while there are too few.
const REVIEW_INTERVAL: Duration = Duration::from_millis(300);

/// Time for the first state. A member that has one sends it within some tens of milliseconds.
const FIRST_STATE_TIMEOUT: Duration = Duration::from_millis(200);

/// Pause before a member that failed is dialled again.
const REDIAL_PAUSE: Duration = Duration::from_millis(600);

/// The same while no member is up to date.
const LOST_REDIAL_PAUSE: Duration = Duration::from_millis(80);

/// Shared state of the links.
pub struct FleetFollower {
    context: Rc<EntryContext>,
    seeds: RefCell<Vec<SocketAddr>>,
    members: RefCell<Vec<SocketAddr>>,
    /// Links that exist, with the moment at which each was last up to date.
    links: RefCell<BTreeMap<SocketAddr, Option<Instant>>>,
    failed: RefCell<BTreeMap<SocketAddr, Instant>>,
    had_fresh: RefCell<bool>,
    first_state: watch::Sender<FirstState>,
    link_ended: Notify,
}

/// Whether a member was asked for a complete state, and whether one arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FirstState {
    Unasked,
    Asked,
    Installed,
}

impl FleetFollower {
    pub fn new(context: Rc<EntryContext>, seeds: Vec<SocketAddr>) -> Rc<Self> {
        Rc::new(Self {
            context,
            seeds: RefCell::new(seeds),
            members: RefCell::default(),
            links: RefCell::default(),
            failed: RefCell::default(),
            had_fresh: RefCell::new(false),
            first_state: watch::Sender::new(FirstState::Unasked),
            link_ended: Notify::new(),
        })
    }

    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.borrow_mut() = seeds;
    }

    /// Keeps links for as long as the process runs.
    pub async fn run(self: Rc<Self>) {
        loop {
            let now = Instant::now();
            for address in self.wanted(now) {
                self.links.borrow_mut().insert(address, None);
                tokio::task::spawn_local(Rc::clone(&self).run_link(address));
            }
            self.note_freshness(now);
            let pause = self.review_pause(now);
            // The end of a link is a reason to look at once; with enough links nothing else is.
            if timeout(pause, self.link_ended.notified()).await.is_err() {
                PROCESS_METRICS.record_timer_delay(now + pause, Instant::now());
            }
        }
    }

    fn review_pause(&self, now: Instant) -> Duration {
        match self.fresh_members(now) {
            0 => LOST_REDIAL_PAUSE,
            FOLLOWED_MEMBERS.. => SILENCE_TIMEOUT,
            _ => REVIEW_INTERVAL,
        }
    }

    /// Links to members that are up to date.
    pub fn fresh_members(&self, now: Instant) -> usize {
        let links = self.links.borrow();
        links.values().flatten().filter(|at| now.duration_since(**at) < SILENCE_TIMEOUT).count()
    }

    fn is_fresh(&self, now: Instant) -> bool {
        self.fresh_members(now) > 0
    }

    fn note_freshness(&self, now: Instant) {
        let fresh = self.is_fresh(now);
        let before = self.had_fresh.replace(fresh);
        if before != fresh {
            let revision = self.context.state.borrow().revision();
            let event = if fresh { "control_regained" } else { "control_lost" };
            log_info!(event, "revision={revision} links={}", self.links.borrow().len());
        }
    }

    /// Members to dial now: enough to follow, all known ones while none is up to date.
    fn wanted(&self, now: Instant) -> Vec<SocketAddr> {
        let links = self.links.borrow();
        let mut failed = self.failed.borrow_mut();
        let members = self.members.borrow();
        let fresh = self.is_fresh(now);
        let pause = if fresh { REDIAL_PAUSE } else { LOST_REDIAL_PAUSE };
        failed.retain(|_, at| now.duration_since(*at) < pause);
        let mut known: BTreeSet<SocketAddr> = members.iter().copied().collect();
        if known.is_empty() || !fresh {
            known.extend(self.seeds.borrow().iter());
        }
        let limit = if fresh { FOLLOWED_MEMBERS } else { usize::MAX };
        let room = limit.saturating_sub(links.len());
        let mut free: Vec<SocketAddr> = known.into_iter().collect();
        free.retain(|address| !links.contains_key(address) && !failed.contains_key(address));
        self.context.random.borrow_mut().shuffle(&mut free);
        free.truncate(room);
        free
    }

    async fn run_link(self: Rc<Self>, address: SocketAddr) {
        let error = self.follow(address).await.err();
        self.links.borrow_mut().remove(&address);
        self.failed.borrow_mut().insert(address, Instant::now());
        self.link_ended.notify_one();
        if let Some(error) = error
            && !matches!(error, LinkError::ConnectTimeout | LinkError::Io(_))
        {
            log_info!("member_left", "member={address} error=\"{error}\"");
        }
    }

    async fn follow(&self, address: SocketAddr) -> Result<(), LinkError> {
        let (mut writer, mut reader) = link::connect(address).await?;
        self.wait_for_first_state().await;
        let revision = self.context.state.borrow().revision();
        let name = self.context.name.clone();
        writer.send(link::encode(&LinkMessage::Follow { name, revision })).await?;
        let started = Instant::now();
        loop {
            let received = timeout(SILENCE_TIMEOUT, reader.receive()).await;
            match received.map_err(|_| LinkError::Silent)?? {
                LinkMessage::Update(update) => {
                    self.context.install(Instant::now(), update);
                    self.first_state.send_replace(FirstState::Installed);
                }
                LinkMessage::Fresh(notice) => {
                    let now = Instant::now();
                    let current = notice.leader_age.is_some_and(|age| age < LEADER_AGE);
                    if current {
                        self.links.borrow_mut().insert(address, Some(now));
                        self.context.note_fresh(&notice);
                        *self.members.borrow_mut() = notice.members;
                        if self.has_surplus(address) {
                            return Ok(());
                        }
                    } else if now.duration_since(started) > LEADER_AGE && self.is_fresh(now) {
                        return Err(LinkError::Silent);
                    }
                }
                _ => {}
            }
        }
    }

    /// Waits while another link brings the first state: several copies share the line and all
    /// arrive later.
    async fn wait_for_first_state(&self) {
        let mut state = self.first_state.subscribe();
        if *state.borrow() != FirstState::Asked {
            self.first_state.send_if_modified(|state| {
                let unasked = *state == FirstState::Unasked;
                if unasked {
                    *state = FirstState::Asked;
                }
                unasked
            });
            return;
        }
        let installed = state.wait_for(|state| *state == FirstState::Installed);
        // Without an answer in time this link asks, too.
        let _ = timeout(FIRST_STATE_TIMEOUT, installed).await;
    }

    /// Whether this link is one too many: enough others are up to date.
    fn has_surplus(&self, address: SocketAddr) -> bool {
        let now = Instant::now();
        let links = self.links.borrow();
        let fresh =
            |at: &Option<Instant>| at.is_some_and(|at| now.duration_since(at) < SILENCE_TIMEOUT);
        let before = links.range(..address).filter(|(_, at)| fresh(at)).count();
        before >= FOLLOWED_MEMBERS
    }
}
