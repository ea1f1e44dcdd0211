//! Requests in progress: how many there are, and how far each has come.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use crate::fleet::document::RouteRule;
use crate::fleet::relay::line::DueResponse;

/// Stage of a request in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestStage {
    /// Its head has arrived, its body has not.
    Receiving,
    /// It is being sent to servers, or waits for their response or for its turn.
    Handling,
    /// Its response is being written.
    Responding,
}

/// Progress of one request, counted as active until it is dropped.
pub struct RequestProgress {
    number: u64,
    requests: Weak<ActiveRequests>,
    id: RefCell<Box<str>>,
    received_at: Instant,
    stage: Cell<RequestStage>,
    /// Start of the response and its declared body size, if known.
    response: Cell<Option<(Instant, Option<u64>)>>,
    relayed_bytes: Cell<u64>,
    /// Route and deadline of a request that is handled and whose response has a body.
    expected: RefCell<Option<(Rc<RouteRule>, Instant)>>,
}

/// Progress of a request at one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProgressReport {
    pub id: Box<str>,
    pub stage: RequestStage,
    pub age: Duration,
    /// Time since the response began, and the declared size of its body, if known.
    pub response: Option<(Duration, Option<u64>)>,
    pub relayed_bytes: u64,
}

/// All requests in progress, by number.
#[derive(Default)]
pub struct ActiveRequests {
    last_number: Cell<u64>,
    requests: RefCell<BTreeMap<u64, Weak<RequestProgress>>>,
}

impl ActiveRequests {
    /// Counts a request whose head was received at `received_at`.
    pub fn begin(self: &Rc<Self>, received_at: Instant) -> Rc<RequestProgress> {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let progress = Rc::new(RequestProgress {
            number,
            requests: Rc::downgrade(self),
            id: RefCell::default(),
            received_at,
            stage: Cell::new(RequestStage::Receiving),
            response: Cell::default(),
            relayed_bytes: Cell::default(),
            expected: RefCell::default(),
        });
        self.requests.borrow_mut().insert(number, Rc::downgrade(&progress));
        progress
    }

    pub fn len(&self) -> usize {
        self.requests.borrow().len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Size of the longest response that is being written, by the name of its route.
    pub fn longest_declared(&self) -> BTreeMap<Box<str>, u64> {
        let mut longest = BTreeMap::new();
        for request in self.requests.borrow().values().filter_map(Weak::upgrade) {
            let Some((_, Some(size))) = request.response.get() else { continue };
            if let Some((rule, _)) = &*request.expected.borrow() {
                let bytes = longest.entry(rule.name.clone()).or_default();
                *bytes = size.max(*bytes);
            }
        }
        longest
    }

    /// Responses that are still due. One without a known size is expected to have that of its route.
    pub fn due_responses(
        &self,
        now: Instant,
        route_bytes: impl Fn(&RouteRule) -> u64,
    ) -> Vec<DueResponse> {
        let requests = self.requests.borrow();
        let requests = requests.values().filter_map(Weak::upgrade);
        requests.filter_map(|request| request.due_response(now, &route_bytes)).collect()
    }

    /// Progress of all requests, the oldest first.
    pub fn report(&self, now: Instant) -> Vec<ProgressReport> {
        let requests = self.requests.borrow();
        requests.values().filter_map(Weak::upgrade).map(|request| request.report(now)).collect()
    }
}

impl RequestProgress {
    /// Records that the request was received completely.
    pub fn set_received(&self, id: &str) {
        *self.id.borrow_mut() = id.into();
        self.stage.set(RequestStage::Handling);
    }

    /// Records the route and the deadline of a request whose response has a body.
    pub fn expect_response(&self, rule: &Rc<RouteRule>, deadline: Instant) {
        *self.expected.borrow_mut() = Some((Rc::clone(rule), deadline));
    }

    fn due_response(
        &self,
        now: Instant,
        route_bytes: impl Fn(&RouteRule) -> u64,
    ) -> Option<DueResponse> {
        let expected = self.expected.borrow();
        let (rule, deadline) = expected.as_ref()?;
        let (available_at, size) = match self.response.get() {
            Some((_, size)) => (now, size),
            None => (now.max(*deadline), None),
        };
        let bytes = size.unwrap_or_else(|| route_bytes(rule));
        Some(DueResponse { available_at, bytes: bytes.saturating_sub(self.relayed_bytes.get()) })
    }

    /// Records the start of the response.
    pub fn begin_response(&self, now: Instant, body_bytes: Option<u64>) {
        self.stage.set(RequestStage::Responding);
        self.response.set(Some((now, body_bytes)));
    }

    /// Records body bytes that were written to the caller.
    pub fn add_relayed(&self, bytes: usize) {
        self.relayed_bytes.set(self.relayed_bytes.get() + bytes as u64);
    }

    /// Declared size of the response, or what was relayed of it.
    pub fn response_bytes(&self) -> u64 {
        self.response.get().and_then(|(_, size)| size).unwrap_or(self.relayed_bytes.get())
    }

    fn report(&self, now: Instant) -> ProgressReport {
        let response = self.response.get();
        ProgressReport {
            id: self.id.borrow().clone(),
            stage: self.stage.get(),
            age: now.duration_since(self.received_at),
            response: response.map(|(since, size)| (now.duration_since(since), size)),
            relayed_bytes: self.relayed_bytes.get(),
        }
    }
}

impl Drop for RequestProgress {
    fn drop(&mut self) {
        if let Some(requests) = self.requests.upgrade() {
            requests.requests.borrow_mut().remove(&self.number);
        }
    }
}

impl fmt::Display for ProgressReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { id, stage, age, response, relayed_bytes } = self;
        write!(formatter, "request={id} stage={stage:?} age_ms={}", age.as_millis())?;
        let Some((since, size)) = response else { return Ok(()) };
        write!(formatter, " responding_ms={} relayed_bytes={relayed_bytes}", since.as_millis())?;
        match size {
            Some(size) => write!(formatter, " body_bytes={size}"),
            None => Ok(()),
        }
    }
}
