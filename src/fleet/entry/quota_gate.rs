//! Admits requests of tenants with a limit: takes a token for each, and asks the holder for more over the
//! links to control members.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout_at};

use super::local_response::{LocalResponse, reasons};
use super::outgoing::OutgoingRequest;
use crate::fleet::link::{self, FreshnessNotice, LinkFrame, LinkMessage};
use crate::fleet::quota::message::QuotaGrant;
use crate::fleet::quota::metrics::QuotaMetrics;
use crate::fleet::quota::purse::{QuotaPurse, TakeOutcome};
use crate::fleet::tenant::KnownTenant;
use crate::ids::{ProcessName, ZoneName};
use crate::log_info;
use crate::suspension::boot_time;

/// Maximum time for which a request waits for a token: two asks, of which the first may be lost.
const MAX_WAIT: Duration = Duration::from_millis(400);

/// Part of the caller's remaining time for which its request waits at most.
const MAX_WAIT_FRACTION: f64 = 0.25;

/// `retry-after` while no holder answers: a part of an election.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Maximum number of asks queued for one link; there is one at a time.
const MAX_QUEUED_ASKS: usize = 2;

/// Link to a control member that accepts asks.
struct AskLink {
    asks: Sender<LinkFrame>,
    leads: bool,
    is_near: bool,
    /// Number of the last ask that went this way without an answer.
    failed_at: Cell<u64>,
}

/// Admits requests of tenants with a limit.
pub struct QuotaGate {
    zone: ZoneName,
    purse: RefCell<QuotaPurse>,
    links: RefCell<BTreeMap<SocketAddr, AskLink>>,
    /// Link of the last ask.
    asked_link: Cell<Option<SocketAddr>>,
    ask_count: Cell<u64>,
    /// Number of grants received; waiting requests follow it.
    grants: watch::Sender<u64>,
    /// Wakes the task that asks.
    ask_needed: Notify,
    pub metrics: QuotaMetrics,
}

/// Token of a request. It is given back on drop if no server can have run the request.
pub struct QuotaTicket {
    _token: Option<SpentToken>,
}

struct SpentToken {
    gate: Rc<QuotaGate>,
    tenant: Rc<KnownTenant>,
    request: Rc<OutgoingRequest>,
}

impl Drop for SpentToken {
    fn drop(&mut self) {
        if self.request.possible_runs.get() > 0 {
            return;
        }
        let tenant = &self.tenant;
        self.gate.metrics.given_back.inc();
        let mut purse = self.gate.purse.borrow_mut();
        purse.give_back(boot_time(), &tenant.name, tenant.rule.rate);
    }
}

/// Ends the wait of a request when it is dropped.
struct QuotaWait<'a> {
    gate: &'a QuotaGate,
    tenant: &'a KnownTenant,
    is_over: bool,
}

impl Drop for QuotaWait<'_> {
    fn drop(&mut self) {
        if !self.is_over {
            self.gate.purse.borrow_mut().stop_waiting(&self.tenant.name);
        }
    }
}

impl QuotaGate {
    pub fn new(name: ProcessName, zone: ZoneName) -> Rc<Self> {
        Rc::new(Self {
            zone,
            purse: RefCell::new(QuotaPurse::new(name, boot_time())),
            links: RefCell::default(),
            asked_link: Cell::new(None),
            ask_count: Cell::new(0),
            grants: watch::Sender::new(0),
            ask_needed: Notify::new(),
            metrics: QuotaMetrics::default(),
        })
    }

    /// What was lent, as it is now.
    pub(super) fn purse_copy(&self) -> QuotaPurse {
        self.purse.borrow().clone()
    }

    /// Takes a token for a request; the error is the response if there is none.
    pub async fn admit(
        self: &Rc<Self>,
        request: &Rc<OutgoingRequest>,
    ) -> Result<QuotaTicket, LocalResponse> {
        let tenant = request.tenant.as_ref();
        let Some(tenant) = tenant.filter(|tenant| tenant.rule.is_limited()) else {
            return Ok(QuotaTicket { _token: None });
        };
        let (id, deadline) = (&request.id, request.deadline);
        let rate = tenant.rule.rate;
        let mut outcome = self.purse.borrow_mut().take(boot_time(), &tenant.name, rate);
        if outcome == TakeOutcome::Waits {
            self.metrics.waits.inc();
            outcome = self.wait(tenant, deadline).await;
        } else if outcome == TakeOutcome::Unknown {
            self.ask_needed.notify_one();
        }
        let time_left = deadline.saturating_duration_since(Instant::now());
        match outcome {
            TakeOutcome::Taken => {
                let (gate, request) = (Rc::clone(self), Rc::clone(request));
                let token = SpentToken { gate, tenant: Rc::clone(tenant), request };
                Ok(QuotaTicket { _token: Some(token) })
            }
            TakeOutcome::Refused(delay) => {
                self.metrics.refused.inc();
                self.log_refusal("quota_refused", id, tenant, delay);
                Err(LocalResponse::over_limit(delay))
            }
            TakeOutcome::Waits | TakeOutcome::Unknown => {
                self.metrics.unknown.inc();
                self.log_refusal("quota_unknown", id, tenant, UNKNOWN_RETRY_AFTER);
                let delay = UNKNOWN_RETRY_AFTER;
                Err(LocalResponse::not_run(reasons::UNKNOWN_QUOTA, delay, time_left))
            }
        }
    }

    /// Waits for a token until the holder has answered, or for a bounded time.
    async fn wait(&self, tenant: &KnownTenant, deadline: Instant) -> TakeOutcome {
        let now = Instant::now();
        let time_left = deadline.saturating_duration_since(now).mul_f64(MAX_WAIT_FRACTION);
        let end = now + time_left.min(MAX_WAIT);
        let mut wait = QuotaWait { gate: self, tenant, is_over: false };
        let mut grants = self.grants.subscribe();
        self.ask_needed.notify_one();
        loop {
            // The wait cannot fail: the sender lives as long as the gate.
            let is_late = timeout_at(end.into(), grants.changed()).await.is_err();
            let mut purse = self.purse.borrow_mut();
            let outcome = purse.take_waiting(boot_time(), &tenant.name, tenant.rule.rate);
            if outcome != TakeOutcome::Waits {
                wait.is_over = true;
                return outcome;
            }
            drop(purse);
            if is_late {
                return TakeOutcome::Unknown;
            }
        }
    }

    fn log_refusal(&self, event: &str, id: &str, tenant: &KnownTenant, delay: Duration) {
        let purse = self.purse.borrow();
        let known = purse.known_account(boot_time(), &tenant.name);
        log_info!(
            event,
            "request={id} tenant={} limit={} burst={} holder={} age_ms={} lease_rate={:.2} \
             retry_after_ms={}",
            tenant.name,
            tenant.rule.rate,
            tenant.rule.burst,
            known.holder,
            known.age.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX)),
            known.rate,
            delay.as_millis()
        );
    }

    pub fn on_grant(&self, grant: QuotaGrant) {
        self.metrics.grants.inc();
        self.rate_links(&grant);
        let mut purse = self.purse.borrow_mut();
        purse.on_grant(boot_time(), grant);
        self.metrics.leases.set(purse.lease_count() as i64);
        drop(purse);
        self.grants.send_modify(|count| *count += 1);
        self.ask_needed.notify_one();
    }

    /// The next ask goes to the leader after a grant of the holder. While deputies answer, it goes to one that had
    /// enough, and to the leader last.
    fn rate_links(&self, grant: &QuotaGrant) {
        let is_complete = grant.rows.iter().all(|row| row.next_ms == 0);
        for (address, link) in self.links.borrow().iter() {
            if !grant.is_stock {
                link.failed_at.set(0);
            } else if link.leads {
                link.failed_at.set(self.ask_count.get());
            } else if is_complete && self.asked_link.get() == Some(*address) {
                link.failed_at.set(0);
            }
        }
    }

    /// Forgets tenants that have no limit any more.
    pub fn retain(&self, is_limited: impl Fn(&str) -> bool) {
        self.purse.borrow_mut().retain(|tenant| is_limited(tenant));
    }

    /// Sends asks when they are due, until the process exits. Idle while no tenant with a limit sends.
    pub async fn run(self: Rc<Self>) {
        loop {
            let now = boot_time();
            let due = self.purse.borrow().next_ask_at(now);
            let Some(due) = due else {
                self.ask_needed.notified().await;
                continue;
            };
            if due > now {
                tokio::select! {
                    () = sleep(due - now) => {}
                    () = self.ask_needed.notified() => {}
                }
                continue;
            }
            let ask = self.purse.borrow_mut().next_ask(now);
            let Some(ask) = ask else { continue };
            self.metrics.asks.inc();
            self.send(link::encode(&LinkMessage::QuotaAsk(ask)));
        }
    }

    /// Sends an ask over the best link: one that has not failed lately, to the leader, or in this zone.
    fn send(&self, frame: LinkFrame) {
        let links = self.links.borrow();
        let rank = |(_, link): &(&SocketAddr, &AskLink)| {
            (link.failed_at.get(), !link.leads, !link.is_near)
        };
        let Some((address, link)) = links.iter().min_by_key(rank) else { return };
        // Until a grant arrives, the next ask goes another way.
        self.ask_count.set(self.ask_count.get() + 1);
        link.failed_at.set(self.ask_count.get());
        self.asked_link.set(Some(*address));
        let _ = link.asks.try_send(frame);
    }
}

/// Asks for one link to a control member. The link is used once the member says that it accepts them.
pub struct AskFeed<'a> {
    gate: &'a QuotaGate,
    address: SocketAddr,
    asks: Receiver<LinkFrame>,
    sender: Sender<LinkFrame>,
}

impl<'a> AskFeed<'a> {
    pub fn new(gate: &'a QuotaGate, address: SocketAddr) -> Self {
        let (sender, asks) = channel(MAX_QUEUED_ASKS);
        Self { gate, address, asks, sender }
    }

    /// Follows a notice of the member.
    pub fn record_notice(&self, notice: &FreshnessNotice) {
        let mut links = self.gate.links.borrow_mut();
        if !notice.accepts_quota_asks {
            links.remove(&self.address);
            return;
        }
        let is_near = notice.zone == self.gate.zone;
        let link = links.entry(self.address).or_insert_with(|| AskLink {
            asks: self.sender.clone(),
            leads: false,
            is_near,
            failed_at: Cell::new(0),
        });
        if notice.leads && !link.leads {
            link.failed_at.set(0);
        }
        link.leads = notice.leads;
        link.is_near = is_near;
    }

    /// Waits for the next ask for this link. Cancel-safe.
    pub async fn next(&mut self) -> LinkFrame {
        match self.asks.recv().await {
            Some(frame) => frame,
            // Not reached: this feed holds a sender.
            None => std::future::pending().await,
        }
    }
}

impl Drop for AskFeed<'_> {
    fn drop(&mut self) {
        self.gate.links.borrow_mut().remove(&self.address);
    }
}
