//! Second attempt of a short read beside a first one that is slow.

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

/// Request whose attempts may run beside each other.
pub struct HedgedRequest<'a> {
    /// Shared state of the entry.
    pub context: &'a Arc<EntryContext>,
    /// Connection on which the request came.
    pub caller: &'a CallerConnection,
    /// Head as received.
    pub head: &'a RequestHead,
    /// Whole body.
    pub content: &'a [u8],
    /// What the settings say about it.
    pub plan: &'a RequestPlan,
    /// Id for the server.
    pub request_id: &'a str,
}

type AttemptResult = Result<OpenResponse, AttemptFailure>;

impl HedgedRequest<'_> {
    /// Sends the request to the server of `first` and, when no response head comes within the
    /// latency quantile of the settings, to another server as well.
    ///
    /// The first response head wins. The connection of the other attempt is closed and its slot is
    /// given back. Returns the permit that belongs to the result.
    pub async fn run(
        &self,
        first: SlotPermit,
        tried: &mut Vec<ServerKey>,
    ) -> (SlotPermit, AttemptResult) {
        match self.race(&first, tried).await {
            RaceEnd::First(result) => (first, result),
            RaceEnd::Second(second, result) => {
                first.finish_slow();
                (second, result)
            }
            RaceEnd::SecondAlone(failed, second, result) => {
                finish_loser(first, &failed);
                (second, self.keep_unknown(*failed, result))
            }
        }
    }

    async fn race(&self, first: &SlotPermit, tried: &mut Vec<ServerKey>) -> RaceEnd {
        let sent = Instant::now();
        let primary = self.attempt(first);
        pin_mut!(primary);
        let Some(after) = self.hedge_after(tried) else {
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
                RaceEnd::SecondAlone(Box::new(failed), second, result)
            }
            Either::Right((result, _)) if self.is_final(&result) => {
                drop(secondary);
                RaceEnd::Second(second, result)
            }
            Either::Right((failed, _)) => {
                drop(secondary);
                finish_loser(second, &failed);
                RaceEnd::First(self.keep_unknown(failed, primary.await))
            }
        }
    }

    /// Result of two attempts of which the first to end failed: "not run" of the other one must
    /// not hide that the failed one may have run.
    fn keep_unknown(&self, failed: AttemptResult, result: AttemptResult) -> AttemptResult {
        let is_not_run = match &result {
            Ok(_) => !self.is_final(&result),
            Err(failure) => matches!(failure, AttemptFailure::NotOffered(_)),
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

    fn hedge_after(&self, tried: &[ServerKey]) -> Option<Duration> {
        let is_read = matches!(&*self.head.method, "GET" | "HEAD");
        let is_first = tried.len() == 1;
        if !is_read || !is_first || self.plan.class != WorkClass::Short {
            return None;
        }
        self.plan.runtime.hedge_after()
    }

    /// Whether the other attempt is no longer needed; it goes on after a failure or refusal.
    fn is_final(&self, result: &AttemptResult) -> bool {
        let refusals = &self.plan.settings().retry.not_run_statuses;
        match result {
            Ok(response) => !refusals.contains(&response.head.status),
            Err(AttemptFailure::CallerFailed(_) | AttemptFailure::DeadlineExceeded) => true,
            Err(_) => false,
        }
    }
}

/// Attempt whose result counts.
enum RaceEnd {
    First(AttemptResult),
    /// The second attempt was faster.
    Second(SlotPermit, AttemptResult),
    /// The first attempt failed as stated.
    SecondAlone(Box<AttemptResult>, SlotPermit, AttemptResult),
}

/// Ends an attempt that failed or was refused while the other one was open.
fn finish_loser(permit: SlotPermit, result: &AttemptResult) {
    match result {
        Ok(_) => permit.finish(true),
        Err(failure) => permit.finish_failed(failure),
    }
}
