//! Crash reports and their withdrawals on the way to the control members.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::fleet::crash::CrashReport;
use crate::fleet::link::LinkMessage;
use crate::ids::RequestDigest;

/// Maximum number of notices that are kept for the links; the oldest goes first.
pub const MAX_NOTICES: usize = 256;

/// Time for which a notice is kept for links that are opened later. It covers the change to another
/// member while one is unreachable.
pub const NOTICE_LIFETIME: Duration = Duration::from_secs(10);

/// Position behind a notice in the order of all notices of this process.
pub type NoticePosition = u64;

/// What an entry tells the control members about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CrashNotice {
    Crash(CrashReport),
    /// A server completed the request.
    Served(RequestDigest),
}

/// Notices in the order in which they were added. Each link keeps its own position.
#[derive(Debug, Default)]
pub struct CrashOutbox {
    notices: VecDeque<(Instant, CrashNotice)>,
    /// Position behind the newest notice.
    end: NoticePosition,
}

impl CrashOutbox {
    /// Adds a notice and returns the position behind it.
    pub fn add(&mut self, now: Instant, notice: CrashNotice) -> NoticePosition {
        self.expire(now);
        if self.notices.len() >= MAX_NOTICES {
            self.notices.pop_front();
        }
        self.notices.push_back((now, notice));
        self.end += 1;
        self.end
    }

    /// Position behind the newest notice.
    pub fn end(&self) -> NoticePosition {
        self.end
    }

    /// Returns the messages with all notices behind `position` that are still kept. Notices of the same
    /// kind share a message, and the order of the kinds is kept.
    pub fn messages_since(&mut self, now: Instant, position: NoticePosition) -> Vec<LinkMessage> {
        self.expire(now);
        let first = self.end - self.notices.len() as u64;
        let skipped = usize::try_from(position.saturating_sub(first)).unwrap_or(usize::MAX);
        let mut messages = Vec::new();
        for (added_at, notice) in self.notices.iter().skip(skipped) {
            match (notice, messages.last_mut()) {
                (CrashNotice::Crash(report), last) => {
                    let age = report.age + now.saturating_duration_since(*added_at);
                    let report = CrashReport { age, ..report.clone() };
                    match last {
                        Some(LinkMessage::Crashes(reports)) => reports.push(report),
                        _ => messages.push(LinkMessage::Crashes(vec![report])),
                    }
                }
                (CrashNotice::Served(digest), Some(LinkMessage::Served(digests))) => {
                    digests.push(*digest);
                }
                (CrashNotice::Served(digest), _) => {
                    messages.push(LinkMessage::Served(vec![*digest]));
                }
            }
        }
        messages
    }

    fn expire(&mut self, now: Instant) {
        self.notices
            .retain(|(added_at, _)| now.saturating_duration_since(*added_at) < NOTICE_LIFETIME);
    }
}
