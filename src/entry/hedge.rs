//! Request hedging: a second attempt of a short read while the first one is slow.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use futures_util::future::{Either, select};
use futures_util::pin_mut;

use super::context::EntryContext;
use super::exchange::{AttemptFailure, OpenResponse, RequestPayload};
use super::permit::SlotPermit;
use super::plan::RequestPlan;
use super::request::attempt_once;
use crate::credit::{ServerKey, WorkClass};
use crate::http::{CallerConnection, RequestHead};

/// Request that may have two concurrent attempts.
pub struct HedgedRequest<'a> {
    /// Shared state of the entry.
    pub context: &'a Arc<EntryContext>,
    /// Connection to the caller.
    pub caller: &'a CallerConnection,
    /// Head as received.
    pub head: &'a RequestHead,
    /// Whole body.
    pub content: &'a [u8],
    /// Plan of the request.
    pub plan: &'a RequestPlan,
    /// Request id sent to the server.
    pub request_id: &'a str,
}

type AttemptResult = Result<OpenResponse, AttemptFailure>;

impl HedgedRequest<'_> {
    /// Sends the request to the server of `first` and, when no response head comes within the
    /// latency quantile of the settings, to another server as well.
    ///
    /// The first response head wins. The connection of the other attempt is closed and its slot is
    /// released. Returns the permit of the attempt that produced the result.
    pub async fn run(
        &self,
        first: SlotPermit,
        tried: &mut Vec<ServerKey>,
    ) -> (SlotPermit, AttemptResult) {
        match self.race(&first, tried).await {
            RaceEnd::First(result) => (first, result),
            RaceEnd::Second(second, result) => {
                first.finish_superseded();
                (second, result)
            }
            RaceEnd::SecondAfterFailure(failed, second, result) => {
                finish_loser(first, &failed);
                (second, self.prefer_unknown(*failed, result))
            }
        }
    }

    async fn race(&self, first: &SlotPermit, tried: &mut Vec<ServerKey>) -> RaceEnd {
        let sent = Instant::now();
        let primary = self.attempt(first);
        pin_mut!(primary);
        let Some(after) = self.hedge_delay(tried) else {
            return RaceEnd::First(primary.await);
        };
        let delay = task::sleep(after);
        pin_mut!(delay);
        if let Either::Left((result, _)) = select(primary.as_mut(), delay).await {
            return RaceEnd::First(result);
        }
        let Some(second) = self.plan.runtime.start_hedge(self.plan, sent, tried) else {
            return RaceEnd::First(primary.await);
        };
        tried.push(second.server());
        self.context.metrics.hedges.get_or_create(&self.plan.labels).inc();
        let mut secondary = Box::pin(self.attempt(&second));
        let end = select(primary.as_mut(), secondary.as_mut()).await;
        match end {
            Either::Left((result, _)) if self.is_final(&result) => RaceEnd::First(result),
            Either::Left((failed, _)) => {
                let result = secondary.as_mut().await;
                drop(secondary);
                RaceEnd::SecondAfterFailure(Box::new(failed), second, result)
            }
            Either::Right((result, _)) if self.is_final(&result) => {
                drop(secondary);
                RaceEnd::Second(second, result)
            }
            Either::Right((failed, _)) => {
                drop(secondary);
                finish_loser(second, &failed);
                RaceEnd::First(self.prefer_unknown(failed, primary.await))
            }
        }
    }

    /// Chooses the result to report when the attempt that ended first has failed. A "not run"
    /// result of the other attempt must not hide that the failed one may have run.
    fn prefer_unknown(&self, failed: AttemptResult, result: AttemptResult) -> AttemptResult {
        let is_not_run = match &result {
            Ok(_) => !self.is_final(&result),
            Err(failure) => matches!(failure, AttemptFailure::NotSent(_)),
        };
        let is_unknown = matches!(
            failed,
            Err(AttemptFailure::ServerFailed(_) | AttemptFailure::ServerInvalid(_))
        );
        if is_not_run && is_unknown { failed } else { result }
    }

    fn attempt(&self, permit: &SlotPermit) -> impl Future<Output = AttemptResult> {
        let payload = RequestPayload::Buffered(self.content);
        let closed = self.caller.closed();
        attempt_once(self.context, self.head, payload, closed, self.plan, self.request_id, permit)
    }

    fn hedge_delay(&self, tried: &[ServerKey]) -> Option<Duration> {
        let is_read = matches!(&*self.head.method, "GET" | "HEAD");
        let is_first = tried.len() == 1;
        if !is_read || !is_first || self.plan.class != WorkClass::Short {
            return None;
        }
        self.plan.runtime.hedge_delay()
    }

    /// Whether the other attempt is no longer needed; after a server failure or a refusal it
    /// continues.
    fn is_final(&self, result: &AttemptResult) -> bool {
        let refusals = &self.plan.settings().retry.not_run_statuses;
        match result {
            Ok(response) => !refusals.contains(&response.head.status),
            Err(AttemptFailure::CallerFailed(_) | AttemptFailure::DeadlineExceeded) => true,
            Err(_) => false,
        }
    }
}

/// Result of the race between two attempts.
enum RaceEnd {
    /// The first attempt produced the result.
    First(AttemptResult),
    /// The second attempt was faster.
    Second(SlotPermit, AttemptResult),
    /// The first attempt failed with the first result, then the second one ended.
    SecondAfterFailure(Box<AttemptResult>, SlotPermit, AttemptResult),
}

/// Releases the slot of an attempt that failed or was refused while the other one was running.
fn finish_loser(permit: SlotPermit, result: &AttemptResult) {
    match result {
        Ok(_) => permit.finish(true),
        Err(failure) => permit.finish_failed(failure),
    }
}
