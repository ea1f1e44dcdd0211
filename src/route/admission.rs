//! Bounded admission queues, one per class, for requests that wait for a server slot.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::credit::{WaitingWork, WorkClass};

/// Settings of one service's admission queue.
#[derive(Clone, Debug)]
pub struct AdmissionSettings {
    /// Maximum queue length of each class, in the order of `WorkClass::ALL`.
    pub limits: [usize; 2],
    /// A queue is overloaded once, for this long, the oldest work has waited at least this long
    /// at every start (the interval and the target of CoDel in one value).
    pub overload_wait: Duration,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self { limits: [1024, 128], overload_wait: Duration::from_millis(100) }
    }
}

/// Why work was not admitted. Refused work has not been run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdmissionRefusal {
    #[error("the queue is full")]
    QueueFull,
    #[error("the estimated wait exceeds the deadline")]
    DeadlineTooClose,
}

#[derive(Debug)]
struct QueuedItem<T> {
    ticket: T,
    arrived: Instant,
    deadline: Option<Instant>,
}

#[derive(Debug)]
struct ClassQueue<T> {
    work: VecDeque<QueuedItem<T>>,
    /// Moving average of the time between two starts while work waited, in seconds.
    mean_start_interval: Option<f64>,
    last_start: Option<Instant>,
    /// Moving average of the time from start to response, in seconds.
    mean_service_time: Option<f64>,
    overloaded_since: Option<Instant>,
}

/// Work of one service that waits for a slot.
///
/// The order is first in, first out. Under overload (see `AdmissionSettings::overload_wait`) it is
/// last in, first out: recent work can still meet its deadline, whereas oldest first would spend
/// every slot on work that is about to expire. Work that can no longer finish by its deadline is
/// dropped before it takes a slot.
#[derive(Debug)]
pub struct AdmissionQueue<T> {
    settings: AdmissionSettings,
    classes: [ClassQueue<T>; 2],
}

impl<T> AdmissionQueue<T> {
    pub fn new(settings: AdmissionSettings) -> Self {
        Self { settings, classes: [ClassQueue::new(), ClassQueue::new()] }
    }

    /// Replaces the settings. Work already queued stays, even beyond a lower limit.
    pub fn change_settings(&mut self, settings: AdmissionSettings) {
        self.settings = settings;
    }

    /// Queues work, or returns its ticket with the reason for the refusal.
    pub fn offer(
        &mut self,
        now: Instant,
        class: WorkClass,
        ticket: T,
        deadline: Option<Instant>,
    ) -> Result<(), (T, AdmissionRefusal)> {
        let is_overloaded = self.is_overloaded(now, class);
        let queue = &mut self.classes[class.index()];
        if queue.work.len() >= self.settings.limits[class.index()] {
            return Err((ticket, AdmissionRefusal::QueueFull));
        }
        // In last-in, first-out order the work already queued does not delay this ticket.
        let ahead = if is_overloaded { 0 } else { queue.work.len() };
        let time_to_finish = queue.estimated_wait(ahead) + queue.expected_service_time();
        if deadline.is_some_and(|deadline| now + time_to_finish >= deadline) {
            return Err((ticket, AdmissionRefusal::DeadlineTooClose));
        }
        queue.work.push_back(QueuedItem { ticket, arrived: now, deadline });
        Ok(())
    }

    /// Removes and returns the next work to start. The caller must have a free slot for it.
    ///
    /// Moves work that can no longer meet its deadline to `expired`.
    pub fn take(&mut self, now: Instant, class: WorkClass, expired: &mut Vec<T>) -> Option<T> {
        let is_overloaded = self.is_overloaded(now, class);
        let queue = &mut self.classes[class.index()];
        loop {
            let oldest = queue.work.front()?.arrived;
            let work = match is_overloaded {
                true => queue.work.pop_back(),
                false => queue.work.pop_front(),
            }?;
            let finish = now + queue.expected_service_time();
            if work.deadline.is_some_and(|deadline| finish > deadline) {
                expired.push(work.ticket);
                continue;
            }
            queue.record_start(now, oldest, self.settings.overload_wait);
            return Some(work.ticket);
        }
    }

    /// Moves work whose deadline has passed to `expired`. To be called every few milliseconds.
    pub fn expire(&mut self, now: Instant, expired: &mut Vec<T>) {
        for queue in &mut self.classes {
            if !queue.work.iter().any(|work| work.is_expired(now)) {
                continue;
            }
            for work in std::mem::take(&mut queue.work) {
                match work.is_expired(now) {
                    true => expired.push(work.ticket),
                    false => queue.work.push_back(work),
                }
            }
        }
    }

    /// Removes the first ticket that matches, for a caller that has disconnected.
    pub fn remove(&mut self, class: WorkClass, matches: impl Fn(&T) -> bool) -> Option<T> {
        let work = &mut self.classes[class.index()].work;
        let position = work.iter().position(|queued| matches(&queued.ticket))?;
        work.remove(position).map(|queued| queued.ticket)
    }

    /// Records how long a request took from start to response.
    pub fn record_service_time(&mut self, class: WorkClass, duration: Duration) {
        let queue = &mut self.classes[class.index()];
        update_moving_average(&mut queue.mean_service_time, duration.as_secs_f64());
    }

    /// Returns the waiting work of each class, for `WalletEvent::Tick`.
    pub fn waiting(&self) -> [WaitingWork; 2] {
        let mut waiting = [WaitingWork::default(); 2];
        for (class, queue) in waiting.iter_mut().zip(&self.classes) {
            class.count = queue.work.len() as u32;
            class.oldest = queue.work.front().map(|work| work.arrived);
        }
        waiting
    }

    pub fn len(&self, class: WorkClass) -> usize {
        self.classes[class.index()].work.len()
    }

    pub fn is_empty(&self) -> bool {
        self.classes.iter().all(|queue| queue.work.is_empty())
    }

    pub fn is_overloaded(&self, now: Instant, class: WorkClass) -> bool {
        let since = self.classes[class.index()].overloaded_since;
        since.is_some_and(|since| now >= since + self.settings.overload_wait)
    }
}

impl<T> ClassQueue<T> {
    fn new() -> Self {
        Self {
            work: VecDeque::new(),
            mean_start_interval: None,
            last_start: None,
            mean_service_time: None,
            overloaded_since: None,
        }
    }

    fn estimated_wait(&self, ahead: usize) -> Duration {
        let seconds = self.mean_start_interval.map_or(0.0, |interval| interval * ahead as f64);
        Duration::from_secs_f64(seconds)
    }

    fn expected_service_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean_service_time.unwrap_or(0.0))
    }

    fn record_start(&mut self, now: Instant, oldest: Instant, overload_wait: Duration) {
        let waited = now.saturating_duration_since(oldest);
        if waited < overload_wait {
            self.overloaded_since = None;
        } else if self.overloaded_since.is_none() {
            self.overloaded_since = Some(now);
        }
        let interval =
            self.last_start.map(|last| now.saturating_duration_since(last).as_secs_f64());
        // With an empty queue the next interval would measure arrivals, not the release of slots.
        self.last_start = if self.work.is_empty() { None } else { Some(now) };
        if let Some(interval) = interval {
            update_moving_average(&mut self.mean_start_interval, interval);
        }
    }
}

impl<T> QueuedItem<T> {
    fn is_expired(&self, now: Instant) -> bool {
        self.deadline.is_some_and(|deadline| deadline <= now)
    }
}

fn update_moving_average(mean: &mut Option<f64>, value: f64) {
    /// Weight of a new sample in the exponentially weighted moving average.
    const NEW_SAMPLE_WEIGHT: f64 = 0.05;
    *mean = Some(mean.map_or(value, |mean| mean + NEW_SAMPLE_WEIGHT * (value - mean)));
}
