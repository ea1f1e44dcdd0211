//! Bounded queues of work that waits for a slot, one per class.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::credit::{WaitingWork, WorkClass};

/// Rules of one service's queue.
#[derive(Clone, Debug)]
pub struct AdmissionSettings {
    /// Bounds in the order of `WorkClass::ALL`.
    pub limits: [usize; 2],
    /// The queue counts as overloaded when every start for this long had waited longer than this.
    pub overload_wait: Duration,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self { limits: [1024, 128], overload_wait: Duration::from_millis(100) }
    }
}

/// Why work was not admitted; it was not run in either case.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdmissionRefusal {
    #[error("the queue is full")]
    QueueFull,
    #[error("the estimated wait exceeds the deadline")]
    DeadlineTooClose,
}

#[derive(Debug)]
struct QueuedWork<T> {
    ticket: T,
    arrived: Instant,
    deadline: Option<Instant>,
}

#[derive(Debug)]
struct ClassQueue<T> {
    work: VecDeque<QueuedWork<T>>,
    /// Running mean of the time between two starts while work waited.
    start_gap: Option<f64>,
    last_start: Option<Instant>,
    /// Running mean of the time from start to response.
    service_time: Option<f64>,
    overloaded_since: Option<Instant>,
}

/// Work of one service that waits for a slot.
///
/// Order: oldest first. Under overload, when the oldest work waits longer than `overload_wait`
/// for that long, newest first: fresh work still meets its deadline, whereas oldest first would
/// spend every slot on work that is about to expire. Work that can no longer finish by its
/// deadline is dropped before it takes a slot.
#[derive(Debug)]
pub struct AdmissionQueue<T> {
    settings: AdmissionSettings,
    classes: [ClassQueue<T>; 2],
}

impl<T> AdmissionQueue<T> {
    pub fn new(settings: AdmissionSettings) -> Self {
        Self { settings, classes: [ClassQueue::new(), ClassQueue::new()] }
    }

    /// Takes over new rules; queued work beyond new bounds stays.
    pub fn change_settings(&mut self, settings: AdmissionSettings) {
        self.settings = settings;
    }

    /// Queues work, or gives it back at once with the reason.
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
        // With newest first the work ahead does not delay this one.
        let ahead = if is_overloaded { 0 } else { queue.work.len() };
        let needed = queue.estimated_wait(ahead) + queue.expected_service();
        if deadline.is_some_and(|deadline| now + needed >= deadline) {
            return Err((ticket, AdmissionRefusal::DeadlineTooClose));
        }
        queue.work.push_back(QueuedWork { ticket, arrived: now, deadline });
        Ok(())
    }

    /// Takes the next work to start; call it only with a free slot.
    ///
    /// Work that can no longer meet its deadline is moved to `expired`.
    pub fn take(&mut self, now: Instant, class: WorkClass, expired: &mut Vec<T>) -> Option<T> {
        let is_overloaded = self.is_overloaded(now, class);
        let queue = &mut self.classes[class.index()];
        loop {
            let oldest = queue.work.front()?.arrived;
            let work = match is_overloaded {
                true => queue.work.pop_back(),
                false => queue.work.pop_front(),
            }?;
            let finish = now + queue.expected_service();
            if work.deadline.is_some_and(|deadline| finish > deadline) {
                expired.push(work.ticket);
                continue;
            }
            queue.note_start(now, oldest, self.settings.overload_wait);
            return Some(work.ticket);
        }
    }

    /// Moves work whose deadline has passed to `expired`; call it every few milliseconds.
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

    /// Removes work whose caller went away.
    pub fn remove(&mut self, class: WorkClass, is_wanted: impl Fn(&T) -> bool) -> Option<T> {
        let work = &mut self.classes[class.index()].work;
        let position = work.iter().position(|queued| is_wanted(&queued.ticket))?;
        work.remove(position).map(|queued| queued.ticket)
    }

    /// Notes the time a request took from start to response.
    pub fn note_service(&mut self, class: WorkClass, duration: Duration) {
        let queue = &mut self.classes[class.index()];
        running_mean(&mut queue.service_time, duration.as_secs_f64());
    }

    /// Waiting work for the wallet's tick.
    pub fn waiting(&self) -> [WaitingWork; 2] {
        let mut lines = [WaitingWork::default(); 2];
        for (line, queue) in lines.iter_mut().zip(&self.classes) {
            line.count = queue.work.len() as u32;
            line.oldest = queue.work.front().map(|work| work.arrived);
        }
        lines
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
            start_gap: None,
            last_start: None,
            service_time: None,
            overloaded_since: None,
        }
    }

    fn estimated_wait(&self, ahead: usize) -> Duration {
        let seconds = self.start_gap.map_or(0.0, |gap| gap * ahead as f64);
        Duration::from_secs_f64(seconds)
    }

    fn expected_service(&self) -> Duration {
        Duration::from_secs_f64(self.service_time.unwrap_or(0.0))
    }

    fn note_start(&mut self, now: Instant, oldest: Instant, overload_wait: Duration) {
        let waited = now.saturating_duration_since(oldest);
        if waited < overload_wait {
            self.overloaded_since = None;
        } else if self.overloaded_since.is_none() {
            self.overloaded_since = Some(now);
        }
        let gap = self.last_start.map(|last| now.saturating_duration_since(last).as_secs_f64());
        // Without waiting work the next gap would measure arrivals, not slots.
        self.last_start = if self.work.is_empty() { None } else { Some(now) };
        if let Some(gap) = gap {
            running_mean(&mut self.start_gap, gap);
        }
    }
}

impl<T> QueuedWork<T> {
    fn is_expired(&self, now: Instant) -> bool {
        self.deadline.is_some_and(|deadline| deadline <= now)
    }
}

fn running_mean(mean: &mut Option<f64>, value: f64) {
    /// Part of a new value in the mean.
    const WEIGHT: f64 = 0.05;
    *mean = Some(mean.map_or(value, |mean| mean + WEIGHT * (value - mean)));
}
