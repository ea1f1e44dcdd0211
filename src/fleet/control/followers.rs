//! Server side of links: streams the replicated state to entries and receives messages from other
//! members.

use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use super::core::SharedCore;
use crate::fleet::link::{self, LinkError, LinkFrame, LinkMessage, LinkReader, LinkWriter};
use crate::fleet::listener::accept_each;
use crate::ids::{LogIndex, ProcessName};
use crate::log_info;

/// Interval of status notices to an entry.
const NOTICE_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout for sending one frame. The link to a slower entry is closed, and the entry reconnects.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout for the first message on an accepted connection.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// Accepts links until the process exits.
pub async fn serve(listener: TcpListener, core: SharedCore) {
    let serve = |stream| {
        tokio::task::spawn_local(serve_link(stream, Rc::clone(&core)));
    };
    accept_each(listener, "link", serve).await;
}

async fn serve_link(stream: TcpStream, core: SharedCore) {
    let Ok((writer, mut reader)) = link::accept(stream).await else { return };
    let Ok(Ok(hello)) = timeout(HELLO_TIMEOUT, reader.receive()).await else { return };
    match hello {
        LinkMessage::Member { name } => {
            let _ = serve_member(writer, reader, &core, &name).await;
        }
        LinkMessage::Follow { name, revision } => {
            core.borrow_mut().add_entry();
            log_info!("entry_link_open", "entry={name} revision={revision}");
            let error = serve_entry(writer, reader, &core, revision).await.err();
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

/// Sends each state change and periodic status notices until the link fails.
async fn serve_entry(
    mut writer: LinkWriter,
    mut reader: LinkReader,
    core: &SharedCore,
    mut sent: LogIndex,
) -> Result<(), LinkError> {
    let mut revision_changes = core.borrow().subscribe();
    let mut next_notice = Instant::now();
    let started = core.borrow().started();
    loop {
        let update = core.borrow_mut().update_frame(sent);
        if let Some((to, frame)) = update {
            sent = to;
            send(&mut writer, frame).await?;
        }
        let now = Instant::now();
        if now >= next_notice {
            next_notice = next_notice_after(started, now);
            let notice = core.borrow().freshness_notice(now);
            send(&mut writer, link::encode(&LinkMessage::Fresh(notice))).await?;
        }
        tokio::select! {
            changed = revision_changes.changed() => changed.map_err(|_| LinkError::Closed)?,
            message = reader.receive() => {
                message?;
            }
            () = sleep(next_notice.saturating_duration_since(now)) => {}
        }
    }
}

/// Time of the first notice after `now`. Notices to all entries share one schedule, so that a member
/// with a hundred entries wakes up only twice a second.
fn next_notice_after(started: Instant, now: Instant) -> Instant {
    let intervals = now.duration_since(started).as_millis() / NOTICE_INTERVAL.as_millis();
    let intervals = u32::try_from(intervals + 1).unwrap_or(u32::MAX);
    started + NOTICE_INTERVAL * intervals
}

async fn send(writer: &mut LinkWriter, frame: LinkFrame) -> Result<(), LinkError> {
    timeout(SEND_TIMEOUT, writer.send(frame)).await.map_err(|_| LinkError::Silent)?
}
