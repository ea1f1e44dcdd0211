//! Server side of links: streams the replicated state to entries and receives messages from other
//! members.

use std::io::ErrorKind;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::Receiver;
use tokio::time::{sleep, sleep_until, timeout};

use super::core::SharedCore;
use super::core::quota::EntryLinkNumber;
use super::leader_watch::{LeaderProbe, ProbeOutcome, ProbeStep};
use crate::fleet::crash::controller::ReportBatch;
use crate::fleet::link::{
    self, FollowMode, LinkError, LinkFrame, LinkMessage, LinkReader, LinkWriter,
};
use crate::fleet::listener::accept_each;
use crate::ids::{LogIndex, ProcessName};
use crate::log_info;

/// Interval of status notices to an entry.
const NOTICE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval of notices of a new revision to an entry that gets its updates from another member.
const REVISION_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout for sending one frame. The link to a slower entry is closed, and the entry reconnects.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout for the first message on an accepted connection.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for a connection to a leader whose link was closed; a round trip between zones takes 1 ms.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Accepts links until the process exits.
pub async fn serve(listener: TcpListener, core: SharedCore) {
    let serve = |stream| {
        tokio::task::spawn_local(serve_link(stream, Rc::clone(&core)));
    };
    accept_each(&listener, "link", serve).await;
}

async fn serve_link(stream: TcpStream, core: SharedCore) {
    let Ok((writer, mut reader)) = link::accept(stream).await else { return };
    let Ok(Ok(hello)) = timeout(HELLO_TIMEOUT, reader.receive()).await else { return };
    match hello {
        LinkMessage::Member { name } => {
            let Ok(address) = name.parse() else { return };
            core.borrow_mut().on_member_link(address);
            let _ = serve_member(writer, reader, &core, &name).await;
            let probe = core.borrow_mut().on_member_link_closed(address);
            if let Some(probe) = probe {
                probe_leader(&core, probe).await;
            }
        }
        LinkMessage::Follow { name, revision, mode } => {
            core.borrow_mut().add_entry();
            log_info!("entry_link_open", "entry={name} revision={revision} mode={mode:?}");
            let mut link = EntryLink::new(writer, &core, revision, mode);
            let error = link.serve(reader).await.err();
            core.borrow_mut().remove_entry();
            let reason = error.map_or_else(String::new, |error| error.to_string());
            log_info!("entry_link_lost", "entry={name} error=\"{reason}\"");
        }
        _ => {}
    }
}

async fn serve_member(
    mut writer: LinkWriter,
    mut reader: LinkReader,
    core: &SharedCore,
    name: &ProcessName,
) -> Result<(), LinkError> {
    let pong = link::encode(&LinkMessage::Pong);
    loop {
        match reader.receive().await? {
            LinkMessage::Ping => writer.send(pong.clone()).await?,
            message => core.borrow_mut().on_message(Instant::now(), name, message),
        }
    }
}

/// Connects to a leader whose link was closed until it is known whether its process has ended.
async fn probe_leader(core: &SharedCore, mut probe: LeaderProbe) {
    loop {
        let connecting = timeout(PROBE_TIMEOUT, TcpStream::connect(probe.leader.address)).await;
        let outcome = match connecting {
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => ProbeOutcome::Refused,
            _ => ProbeOutcome::Open,
        };
        let step = core.borrow_mut().on_probe_outcome(Instant::now(), &mut probe, outcome);
        let ProbeStep::Again { after } = step else { return };
        sleep(after).await;
    }
}

/// Link to an entry.
struct EntryLink<'a> {
    writer: LinkWriter,
    core: &'a SharedCore,
    mode: FollowMode,
    /// Revision of the entry after all updates that were sent, or the last one that it was told.
    sent: LogIndex,
    /// Time at which the core was created.
    started: Instant,
    next_notice: Instant,
    grant_link: EntryLinkNumber,
    grants: Receiver<LinkFrame>,
}

impl Drop for EntryLink<'_> {
    fn drop(&mut self) {
        self.core.borrow_mut().remove_grant_link(self.grant_link);
    }
}

impl<'a> EntryLink<'a> {
    fn new(writer: LinkWriter, core: &'a SharedCore, sent: LogIndex, mode: FollowMode) -> Self {
        let started = core.borrow().started();
        let (grant_link, grants) = core.borrow_mut().add_grant_link();
        let next_notice = Instant::now();
        Self { writer, core, mode, sent, started, next_notice, grant_link, grants }
    }

    /// Sends what the entry asked for, and periodic status notices, until the link fails.
    async fn serve(&mut self, mut reader: LinkReader) -> Result<(), LinkError> {
        let mut revision_changes = self.core.borrow().subscribe();
        let mut leader_changes = self.core.borrow().subscribe_leader();
        let mut revision_due: Option<Instant> = None;
        loop {
            self.send_due_notice().await?;
            let now = Instant::now();
            match self.mode {
                FollowMode::NoticesOnly => {
                    if revision_due.is_some_and(|due| now >= due) {
                        revision_due = None;
                        self.send_revision().await?;
                    } else if revision_due.is_none() && self.core.borrow().applied() > self.sent {
                        revision_due = Some(next_time(self.started, now, REVISION_INTERVAL));
                    }
                }
                FollowMode::WholeUpdates => self.send_update().await?,
                FollowMode::UpdateParts => self.send_update_parts().await?,
            }
            let wake_at = revision_due.map_or(self.next_notice, |due| due.min(self.next_notice));
            tokio::select! {
                changed = revision_changes.changed() => changed.map_err(|_| LinkError::Closed)?,
                changed = leader_changes.changed() => {
                    changed.map_err(|_| LinkError::Closed)?;
                    // An entry that has just started waits for a member that is up to date.
                    self.next_notice = Instant::now();
                }
                message = reader.receive() => {
                    match message? {
                        LinkMessage::Follow { revision, mode, .. } => {
                            (self.sent, self.mode) = (revision, mode);
                            revision_due = None;
                        }
                        LinkMessage::Crashes(reports) => {
                            self.report(ReportBatch::Crashes(reports));
                        }
                        LinkMessage::QuotaAsk(ask) => {
                            let mut core = self.core.borrow_mut();
                            core.on_quota_ask(Instant::now(), self.grant_link, ask);
                        }
                        LinkMessage::Served(digests) => self.report(ReportBatch::Served(digests)),
                        _ => {}
                    }
                }
                // The core keeps the sender until this link ends.
                Some(grant) = self.grants.recv() => self.send(grant).await?,
                () = sleep_until(wake_at.into()) => {}
            }
        }
    }

    fn report(&self, batch: ReportBatch) {
        self.core.borrow_mut().on_entry_batch(Instant::now(), batch);
    }

    async fn send_due_notice(&mut self) -> Result<(), LinkError> {
        let now = Instant::now();
        if now < self.next_notice {
            return Ok(());
        }
        self.next_notice = next_time(self.started, now, NOTICE_INTERVAL);
        let notice = self.core.borrow().freshness_notice(now);
        self.send(link::encode(&LinkMessage::Fresh(notice))).await
    }

    async fn send_revision(&mut self) -> Result<(), LinkError> {
        self.sent = self.core.borrow().applied();
        self.send(link::encode(&LinkMessage::Revision(self.sent))).await
    }

    async fn send_update(&mut self) -> Result<(), LinkError> {
        let update = self.core.borrow_mut().update_frame(self.sent);
        let Some((to, frame)) = update else { return Ok(()) };
        self.sent = to;
        self.send(frame).await
    }

    /// Sends an update in parts. Notices go between them, so that the entry sees a member that is up to
    /// date although the update takes long.
    async fn send_update_parts(&mut self) -> Result<(), LinkError> {
        let update = self.core.borrow_mut().update_part_frames(self.sent);
        let Some((to, parts)) = update else { return Ok(()) };
        self.sent = to;
        for part in parts.iter() {
            self.send(part.clone()).await?;
            self.send_due_notice().await?;
        }
        Ok(())
    }

    async fn send(&mut self, frame: LinkFrame) -> Result<(), LinkError> {
        let sending = timeout(SEND_TIMEOUT, self.writer.send(frame));
        sending.await.map_err(|_| LinkError::Silent)?
    }
}

/// Next time after `now` that is a multiple of `interval` after `started`. All links share these times,
/// so that a member with a hundred entries wakes up only a few times a second.
fn next_time(started: Instant, now: Instant, interval: Duration) -> Instant {
    let intervals = now.duration_since(started).as_millis() / interval.as_millis();
    let intervals = u32::try_from(intervals + 1).unwrap_or(u32::MAX);
    started + interval * intervals
}
