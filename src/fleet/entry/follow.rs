//! Links to control members: dials them, follows their state and leaves members that are out of
//! date.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::{Notify, watch};
use tokio::time::{timeout, timeout_at};

use super::context::EntryContext;
use super::crash_watch::CrashFeed;
use super::quota_gate::AskFeed;
use crate::fleet::follow_plan::{FOLLOWED_MEMBERS, FRESHNESS_LIFETIME, FollowPlan};
use crate::fleet::link::{
    self, FollowMode, FreshnessNotice, LinkError, LinkMessage, LinkWriter, MAX_FRAME_BYTES,
};
use crate::fleet::process_metrics::PROCESS_METRICS;
use crate::fleet::update::{CompactUpdate, FleetUpdate};
use crate::{log_info, log_routine};

/// Time without a message after which a link is closed.
const SILENCE_TIMEOUT: Duration = FRESHNESS_LIFETIME;

/// Time without a leader after which a member counts as out of date.
const MAX_LEADER_AGE: Duration = Duration::from_millis(1200);

/// Interval at which the links are checked while there are too few.
const LINK_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Delay before a failed member is dialled again.
const REDIAL_DELAY: Duration = Duration::from_millis(600);

/// The same delay while no member is up to date.
const DISCONNECTED_REDIAL_DELAY: Duration = Duration::from_millis(80);

/// Maximum number of hinted members. Members that are out of date can name members of several lists.
const MAX_HINTED_MEMBERS: usize = 64;

/// Interval at which missing updates are checked while a member has a higher revision.
const STREAM_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Shared state of the links.
pub struct FleetFollower {
    context: Rc<EntryContext>,
    seeds: RefCell<Vec<SocketAddr>>,
    members: RefCell<Vec<SocketAddr>>,
    /// Members that others named which are out of date. They are dialled only while no member is up to
    /// date.
    hinted_members: RefCell<BTreeSet<SocketAddr>>,
    plan: RefCell<FollowPlan>,
    /// Member that streams updates; links follow it.
    stream: watch::Sender<Option<SocketAddr>>,
    failed_at: RefCell<BTreeMap<SocketAddr, Instant>>,
    had_fresh_member: Cell<bool>,
    links_changed: Notify,
}

impl FleetFollower {
    pub fn new(context: Rc<EntryContext>, seeds: Vec<SocketAddr>) -> Rc<Self> {
        let plan = FollowPlan::new(context.name.clone(), context.availability_zone.clone());
        Rc::new(Self {
            context,
            seeds: RefCell::new(seeds),
            members: RefCell::default(),
            hinted_members: RefCell::default(),
            plan: RefCell::new(plan),
            stream: watch::Sender::new(None),
            failed_at: RefCell::default(),
            had_fresh_member: Cell::new(false),
            links_changed: Notify::new(),
        })
    }

    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.borrow_mut() = seeds;
    }

    /// Maintains the links until the process exits.
    pub async fn run(self: Rc<Self>) {
        let mut suspension = self.context.known_suspension();
        loop {
            let now = Instant::now();
            self.context.check_suspension();
            if self.context.known_suspension() != suspension {
                suspension = self.context.known_suspension();
                self.plan.borrow_mut().forget_freshness();
            }
            for address in self.members_to_dial(now) {
                self.plan.borrow_mut().add_link(address);
                tokio::task::spawn_local(Rc::clone(&self).run_link(address));
            }
            self.update_stream(now);
            self.log_freshness_change(now);
            let delay = self.check_delay(now);
            // A change of the links requires an immediate check; with enough links nothing else does.
            if timeout(delay, self.links_changed.notified()).await.is_err() {
                PROCESS_METRICS.record_timer_delay(now + delay, Instant::now());
            }
        }
    }

    fn check_delay(&self, now: Instant) -> Duration {
        let plan = self.plan.borrow();
        if plan.is_behind() {
            return STREAM_CHECK_INTERVAL;
        }
        match plan.fresh_count(now) {
            0 => DISCONNECTED_REDIAL_DELAY,
            FOLLOWED_MEMBERS.. => SILENCE_TIMEOUT,
            _ => LINK_CHECK_INTERVAL,
        }
    }

    /// Number of links to members that are up to date.
    pub fn fresh_members(&self, now: Instant) -> usize {
        self.plan.borrow().fresh_count(now)
    }

    fn has_fresh_member(&self, now: Instant) -> bool {
        self.fresh_members(now) > 0
    }

    /// Chooses the member that streams updates.
    fn update_stream(&self, now: Instant) {
        let revision = self.context.state.borrow().revision();
        let mut plan = self.plan.borrow_mut();
        let was_behind = plan.is_behind();
        if let Some(address) = plan.change_stream(now, revision) {
            log_routine!("stream_chosen", "member={address} revision={revision}");
        }
        let stream = plan.stream();
        self.stream.send_if_modified(|current| std::mem::replace(current, stream) != stream);
        if plan.is_behind() && !was_behind {
            self.links_changed.notify_one();
        }
    }

    fn log_freshness_change(&self, now: Instant) {
        let fresh = self.has_fresh_member(now);
        let had_fresh = self.had_fresh_member.replace(fresh);
        if fresh && !had_fresh {
            self.context.crash_watch.record_regained(now);
        }
        if had_fresh != fresh {
            let revision = self.context.state.borrow().revision();
            let event = if fresh { "control_regained" } else { "control_lost" };
            log_info!(event, "revision={revision} links={}", self.plan.borrow().link_count());
        }
    }

    /// Members to dial now: as many as are missing, or all known ones while none is up to date.
    fn members_to_dial(&self, now: Instant) -> Vec<SocketAddr> {
        let plan = self.plan.borrow();
        let mut failed_at = self.failed_at.borrow_mut();
        let members = self.members.borrow();
        let fresh = plan.fresh_count(now) > 0;
        let delay = if fresh { REDIAL_DELAY } else { DISCONNECTED_REDIAL_DELAY };
        failed_at.retain(|_, at| now.duration_since(*at) < delay);
        let mut known: BTreeSet<SocketAddr> = members.iter().copied().collect();
        if known.is_empty() || !fresh {
            known.extend(self.seeds.borrow().iter());
        }
        if !fresh {
            known.extend(self.hinted_members.borrow().iter());
        }
        known.retain(|address| !failed_at.contains_key(address));
        plan.members_to_dial(now, known.into_iter())
    }

    async fn run_link(self: Rc<Self>, address: SocketAddr) {
        let error = self.follow(address).await.err();
        self.plan.borrow_mut().remove_link(address);
        if !matches!(error, Some(LinkError::Suspended)) {
            self.failed_at.borrow_mut().insert(address, Instant::now());
        }
        self.links_changed.notify_one();
        if let Some(error) = error
            && !matches!(error, LinkError::ConnectTimeout | LinkError::Io(_))
        {
            log_info!("member_left", "member={address} error=\"{error}\"");
        }
    }

    async fn follow(&self, address: SocketAddr) -> Result<(), LinkError> {
        let (mut writer, mut reader) = link::connect(address).await?;
        let mut stream = self.stream.subscribe();
        let mut mode = FollowMode::NoticesOnly;
        self.send_follow(&mut writer, mode).await?;
        let followed_since = Instant::now();
        let suspension = self.context.known_suspension();
        let mut update = UpdateAssembly::default();
        let mut feed = CrashFeed::new(&self.context.crash_watch);
        let mut ask_feed = AskFeed::new(&self.context.quota, address);
        let mut received_at = followed_since;
        loop {
            let is_stream = *stream.borrow_and_update() == Some(address);
            let wanted = if is_stream { FollowMode::UpdateParts } else { FollowMode::NoticesOnly };
            if mode != wanted {
                mode = wanted;
                self.send_follow(&mut writer, mode).await?;
            }
            let received = tokio::select! {
                // The sender lives as long as this follower.
                _ = stream.changed() => continue,
                () = feed.changed() => {
                    let sent = timeout(SILENCE_TIMEOUT, send_notices(&mut writer, &mut feed)).await;
                    sent.map_err(|_| LinkError::Silent)??;
                    continue;
                }
                ask = ask_feed.next() => {
                    let sent = timeout(SILENCE_TIMEOUT, writer.send(ask)).await;
                    sent.map_err(|_| LinkError::Silent)??;
                    continue;
                }
                received = timeout_at((received_at + SILENCE_TIMEOUT).into(), reader.receive()) => {
                    received
                }
            };
            received_at = Instant::now();
            self.context.check_suspension();
            if self.context.known_suspension() != suspension {
                // What was received may have waited here as long as the machine was suspended.
                return Err(LinkError::Suspended);
            }
            let message = received.map_err(|_| LinkError::Silent)??;
            if let LinkMessage::Fresh(notice) = &message {
                feed.set_accepted(notice.accepts_crashes);
                ask_feed.record_notice(notice);
            }
            if let LinkMessage::UpdatePart { bytes, is_last } = message {
                self.plan.borrow_mut().record_progress(Instant::now(), address);
                if let Some(update) = update.add(&bytes, is_last)? {
                    self.install(update);
                }
            } else {
                self.handle_message(address, followed_since, message)?;
                if self.plan.borrow().is_surplus(Instant::now(), address) {
                    return Ok(());
                }
            }
        }
    }

    async fn send_follow(
        &self,
        writer: &mut LinkWriter,
        mode: FollowMode,
    ) -> Result<(), LinkError> {
        let revision = self.context.state.borrow().revision();
        let follow = LinkMessage::Follow { name: self.context.name.clone(), revision, mode };
        writer.send(link::encode(&follow)).await
    }

    fn install(&self, update: FleetUpdate) {
        let now = Instant::now();
        self.context.install_update(now, update);
        self.update_stream(now);
    }

    fn handle_message(
        &self,
        address: SocketAddr,
        followed_since: Instant,
        message: LinkMessage,
    ) -> Result<(), LinkError> {
        let now = Instant::now();
        match message {
            // From a member of an older version, which streams to every entry.
            LinkMessage::Update(update) => self.install(update),
            LinkMessage::QuotaGrant(grant) => self.context.quota.on_grant(grant),
            LinkMessage::Revision(revision) => {
                self.plan.borrow_mut().record_revision(address, revision);
                self.update_stream(now);
            }
            LinkMessage::Fresh(notice) => {
                {
                    let mut plan = self.plan.borrow_mut();
                    plan.record_zone(address, &notice.zone);
                    plan.record_revision(address, notice.revision);
                }
                let has_leader = notice.leader_age.is_some_and(|age| age < MAX_LEADER_AGE);
                if has_leader {
                    self.accept_notice(now, address, notice);
                } else if now.duration_since(followed_since) > MAX_LEADER_AGE
                    && self.has_fresh_member(now)
                {
                    return Err(LinkError::Silent);
                } else {
                    self.add_hints(&notice.members);
                    self.update_stream(now);
                }
            }
            _ => {}
        }
        Ok(())
    }

    /// Remembers the members that one without a leader names. It may have been removed while the entry was
    /// down, and still know members that are up to date.
    fn add_hints(&self, members: &[SocketAddr]) {
        let mut hinted_members = self.hinted_members.borrow_mut();
        for member in members {
            if hinted_members.len() < MAX_HINTED_MEMBERS && hinted_members.insert(*member) {
                self.links_changed.notify_one();
            }
        }
    }

    fn accept_notice(&self, now: Instant, address: SocketAddr, notice: FreshnessNotice) {
        self.plan.borrow_mut().record_fresh(now, address);
        self.log_freshness_change(now);
        self.context.confirm_state();
        self.context.crash_watch.record_control(now);
        self.context.update_entry_count(&notice);
        self.hinted_members.borrow_mut().clear();
        let is_new = *self.members.borrow() != notice.members;
        *self.members.borrow_mut() = notice.members;
        self.update_stream(now);
        if is_new {
            self.links_changed.notify_one();
        }
    }
}

/// Tells a member about crashes of servers.
async fn send_notices(writer: &mut LinkWriter, feed: &mut CrashFeed<'_>) -> Result<(), LinkError> {
    for frame in feed.take() {
        writer.send(frame).await?;
    }
    feed.record_sent();
    Ok(())
}

/// Assembles an update from its parts.
#[derive(Default)]
struct UpdateAssembly {
    bytes: Vec<u8>,
}

impl UpdateAssembly {
    /// Adds a part; returns the update once it is complete.
    fn add(&mut self, part: &[u8], is_last: bool) -> Result<Option<FleetUpdate>, LinkError> {
        if self.bytes.len() + part.len() > MAX_FRAME_BYTES {
            return Err(LinkError::Malformed);
        }
        self.bytes.extend_from_slice(part);
        if !is_last {
            return Ok(None);
        }
        let bytes = std::mem::take(&mut self.bytes);
        let update = ciborium::from_reader::<CompactUpdate, _>(&bytes[..]);
        update.map(|CompactUpdate(update)| Some(update)).map_err(|_| LinkError::Malformed)
    }
}
