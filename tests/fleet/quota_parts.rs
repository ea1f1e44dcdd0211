//! Purses of several entries and holders that succeed each other, with messages between them that are
//! delayed, lost, repeated and overtaken.

use std::collections::BTreeMap;
use std::time::Duration;

use curranthollow::fleet::config::QuotaLimits;
use curranthollow::fleet::quota::deputy::QuotaDeputy;
use curranthollow::fleet::quota::holder::QuotaHolder;
use curranthollow::fleet::quota::message::{AskKind, QuotaAsk, QuotaGrant};
use curranthollow::fleet::quota::purse::{QuotaPurse, TakeOutcome};
use curranthollow::fleet::tenant::TenantRule;
use curranthollow::ids::TenantName;
use curranthollow::suspension::BootTime;

pub const STEP: Duration = Duration::from_millis(5);

/// Time for which a request waits, as at an entry.
const MAX_WAIT: Duration = Duration::from_millis(400);

/// Number of members, one of which holds the accounts.
const MEMBER_COUNT: usize = 5;

pub const TENANT: &str = "t";

pub fn rule(rate: f64, burst: f64) -> TenantRule {
    TenantRule::new(None, rate, burst)
}

/// Entry with requests that wait.
pub struct PartEntry {
    name: Box<str>,
    pub purse: QuotaPurse,
    pub rule: TenantRule,
    waiting: Vec<BootTime>,
    pub cut_until: BootTime,
    pub frozen_until: BootTime,
}

/// Member that holds the accounts, has held them, or is a deputy.
pub struct PartMember {
    holder: QuotaHolder,
    deputy: QuotaDeputy,
    term: u64,
    leads: bool,
    /// Leader of its term.
    known_leader: Option<usize>,
    pub frozen_until: BootTime,
    /// Last contact with a quorum; `None` while it leads.
    deposed_at: Option<BootTime>,
}

enum PartMessage {
    Ask { member: usize, entry: usize, ask: QuotaAsk },
    Grant { entry: usize, grant: QuotaGrant },
    StockAsk { member: usize, deputy: usize, ask: QuotaAsk },
    StockGrant { deputy: usize, grant: QuotaGrant },
}

/// What became of the requests.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Outcomes {
    pub sent: usize,
    pub refused: usize,
    pub unknown: usize,
    pub asks: usize,
}

/// Entries and members with messages between them.
pub struct QuotaParts {
    pub now: BootTime,
    pub random: fastrand::Rng,
    pub entries: Vec<PartEntry>,
    pub members: Vec<PartMember>,
    term: u64,
    leader: Option<usize>,
    messages: Vec<(BootTime, PartMessage)>,
    /// Part of the messages that are lost, and that are delivered twice.
    pub loss: f64,
    pub repeats: f64,
    /// Part of the asks that reach any member, which may have held the accounts before.
    pub misled: f64,
    /// Maximum delay of a message.
    pub delay: Duration,
    pub tenants: BTreeMap<TenantName, TenantRule>,
    pub sends: Vec<BootTime>,
    pub outcomes: Outcomes,
}

impl QuotaParts {
    pub fn new(entry_count: usize, rule: &TenantRule, seed: u64) -> Self {
        let now = Duration::from_secs(1_000);
        let entry = |number: usize| new_entry(format!("e{number}").into(), rule, now);
        let mut parts = Self {
            now,
            random: fastrand::Rng::with_seed(seed),
            entries: (0..entry_count).map(entry).collect(),
            members: (0..MEMBER_COUNT).map(|number| new_member(number, now)).collect(),
            term: 1,
            leader: None,
            messages: Vec::new(),
            loss: 0.0,
            repeats: 0.0,
            misled: 0.0,
            delay: Duration::from_millis(5),
            tenants: BTreeMap::from([(TENANT.into(), rule.clone())]),
            sends: Vec::new(),
            outcomes: Outcomes::default(),
        };
        parts.elect();
        // Until the leases that an unknown predecessor can have granted have ended, the part of the
        // leases is held back.
        parts.run(Duration::from_secs(6), |_| 0.0);
        parts
    }

    /// Another member becomes the holder; the former one does not know of it.
    pub fn elect(&mut self) {
        self.depose();
        self.term += 1;
        let leader = self.random.usize(0..self.members.len());
        self.leader = Some(leader);
        let member = &mut self.members[leader];
        (member.term, member.leads, member.deposed_at) = (self.term, true, None);
        (member.known_leader, member.frozen_until) = (Some(leader), Duration::ZERO);
    }

    /// The holder loses its quorum.
    pub fn depose(&mut self) {
        if let Some(leader) = self.leader.take() {
            self.members[leader].deposed_at = Some(self.now);
        }
    }

    /// Kills the entry and starts it again.
    pub fn restart(&mut self, entry: usize) {
        let (name, rule) = (self.entries[entry].name.clone(), self.entries[entry].rule.clone());
        self.entries[entry] = new_entry(name, &rule, self.now);
    }

    /// Kills a member and starts it again.
    pub fn restart_member(&mut self, member: usize) {
        if self.leader == Some(member) {
            self.leader = None;
        }
        self.members[member] = new_member(member, self.now);
    }

    /// Runs for a time; `demand` is the mean number of requests per second at each entry.
    pub fn run(&mut self, time: Duration, demand: impl Fn(usize) -> f64) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            for entry in 0..self.entries.len() {
                if self.now < self.entries[entry].frozen_until {
                    continue;
                }
                self.retry_waiting(entry);
                let mean = demand(entry) * STEP.as_secs_f64();
                let count = mean as usize + usize::from(self.random.f64() < mean.fract());
                for _ in 0..count {
                    self.request(entry);
                }
                self.ask(entry);
            }
        }
    }

    /// One request at an entry.
    pub fn request(&mut self, entry: usize) {
        let state = &mut self.entries[entry];
        match state.purse.take(self.now, &TENANT.into(), state.rule.rate) {
            TakeOutcome::Waits => state.waiting.push(self.now + MAX_WAIT),
            outcome => self.finish(outcome),
        }
    }

    fn finish(&mut self, outcome: TakeOutcome) {
        match outcome {
            TakeOutcome::Taken => {
                self.outcomes.sent += 1;
                self.sends.push(self.now);
            }
            TakeOutcome::Refused(_) => self.outcomes.refused += 1,
            TakeOutcome::Waits | TakeOutcome::Unknown => self.outcomes.unknown += 1,
        }
    }

    fn retry_waiting(&mut self, entry: usize) {
        for until in std::mem::take(&mut self.entries[entry].waiting) {
            let state = &mut self.entries[entry];
            let outcome = state.purse.take_waiting(self.now, &TENANT.into(), state.rule.rate);
            if outcome != TakeOutcome::Waits {
                self.finish(outcome);
            } else if self.now >= until {
                state.purse.stop_waiting(&TENANT.into());
                self.finish(TakeOutcome::Unknown);
            } else {
                state.waiting.push(until);
            }
        }
    }

    fn ask(&mut self, entry: usize) {
        let Some(ask) = self.entries[entry].purse.next_ask(self.now) else { return };
        self.outcomes.asks += 1;
        // Followers that are cut off with a former leader pass asks on to it.
        let is_misled = self.random.f64() < self.misled;
        let misled = is_misled.then(|| self.random.usize(0..self.members.len()));
        let is_lost = ask.kind == AskKind::Repeated || self.leader.is_none();
        let other = is_lost.then(|| self.random.usize(0..self.members.len()));
        let Some(member) = misled.or(other).or(self.leader) else { return };
        if self.now >= self.entries[entry].cut_until {
            self.post(|| PartMessage::Ask { member, entry, ask: ask.clone() });
        }
    }

    fn post(&mut self, message: impl Fn() -> PartMessage) {
        let copies = 1 + usize::from(self.random.f64() < self.repeats);
        for _ in 0..copies {
            let delay = self.delay.mul_f64(self.random.f64());
            if self.random.f64() >= self.loss {
                self.messages.push((self.now + delay, message()));
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (leader, term) = (self.leader, self.term);
        for (number, member) in self.members.iter_mut().enumerate() {
            // A member learns late of a new term, and so a former leader that it was deposed.
            if Some(number) != leader && self.random.f64() < 0.02 {
                (member.term, member.leads, member.known_leader) = (term, false, leader);
            }
            if now < member.frozen_until {
                continue;
            }
            member.holder.set_leading(now, member.term, member.leads);
            if member.leads {
                member.deputy.clear();
            }
        }
        self.ask_for_stocks();
        let (due, later) =
            std::mem::take(&mut self.messages).into_iter().partition(|(at, _)| *at <= now);
        self.messages = later;
        let due: Vec<(BootTime, PartMessage)> = due;
        for (_, message) in due {
            match message {
                PartMessage::Ask { member, .. }
                | PartMessage::StockAsk { member, .. }
                | PartMessage::StockGrant { deputy: member, .. }
                    if now < self.members[member].frozen_until =>
                {
                    self.messages.push((self.members[member].frozen_until, message));
                }
                PartMessage::Ask { member, entry, ask } => {
                    let state = &mut self.members[member];
                    if !state.leads {
                        self.ask_deputy(member, entry, ask);
                        continue;
                    }
                    let age = state.deposed_at.map_or(Duration::ZERO, |at| now - at);
                    let grant = state.holder.on_ask(now, Some(age), &self.tenants, &ask);
                    if let Some(grant) = grant.filter(|_| now >= self.entries[entry].cut_until) {
                        self.post(|| PartMessage::Grant { entry, grant: grant.clone() });
                    }
                }
                PartMessage::StockAsk { member, deputy, ask } => {
                    let state = &mut self.members[member];
                    let age = state.deposed_at.map_or(Duration::ZERO, |at| now - at);
                    let (tenants, deputies) = (&self.tenants, MEMBER_COUNT - 1);
                    let holder = &mut state.holder;
                    let grant = holder.on_deputy_ask(now, Some(age), tenants, &ask, deputies);
                    if let Some(grant) = grant {
                        self.post(|| PartMessage::StockGrant { deputy, grant: grant.clone() });
                    }
                }
                PartMessage::StockGrant { deputy, grant } => {
                    self.members[deputy].deputy.on_grant(now, &grant);
                }
                PartMessage::Grant { entry, grant } => {
                    let state = &mut self.entries[entry];
                    if now < state.frozen_until {
                        self.messages
                            .push((state.frozen_until, PartMessage::Grant { entry, grant }));
                    } else {
                        state.purse.on_grant(now, grant);
                    }
                }
            }
        }
    }

    /// Deputies ask the leader that they know of.
    fn ask_for_stocks(&mut self) {
        for deputy in 0..self.members.len() {
            let state = &mut self.members[deputy];
            let Some(member) = state.known_leader.filter(|leader| *leader != deputy) else {
                continue;
            };
            if state.leads || self.now < state.frozen_until {
                continue;
            }
            let Some(ask) = state.deputy.next_ask(self.now) else { continue };
            self.post(|| PartMessage::StockAsk { member, deputy, ask: ask.clone() });
        }
    }

    /// A member that does not lead serves an entry, or passes the ask on to the leader that it knows of.
    fn ask_deputy(&mut self, member: usize, entry: usize, ask: QuotaAsk) {
        let is_silent = self.leader.is_none() || self.random.f64() < self.misled;
        let state = &mut self.members[member];
        if is_silent || ask.kind == AskKind::Repeated {
            let grant = state.deputy.lend(self.now, &self.tenants, &ask, !is_silent);
            if let Some(grant) = grant {
                if self.now >= self.entries[entry].cut_until {
                    self.post(|| PartMessage::Grant { entry, grant: grant.clone() });
                }
                return;
            }
        }
        let leader = state.known_leader.filter(|leader| *leader != member);
        if let Some(member) = leader {
            self.post(|| PartMessage::Ask { member, entry, ask: ask.clone() });
        }
    }

    /// Asserts that no window of 5 s that begins at `since` or later has more requests than the rule allows.
    pub fn assert_bound(&self, since: BootTime, rule: &TenantRule) {
        let limits = QuotaLimits::default();
        let allowed = rule.rate * limits.window.as_secs_f64() + rule.burst;
        let allowed = allowed * (1.0 + limits.overshoot) + limits.tolerance;
        let mut first = self.sends.partition_point(|at| *at < since);
        for (index, at) in self.sends.iter().enumerate().skip(first) {
            while *at - self.sends[first] > limits.window {
                first += 1;
            }
            let count = index + 1 - first;
            assert!(count as f64 <= allowed, "{count} requests in a window, {allowed} allowed");
        }
    }

    /// Takes the outcomes since the last call.
    pub fn take_outcomes(&mut self) -> Outcomes {
        std::mem::take(&mut self.outcomes)
    }
}

fn new_member(number: usize, now: BootTime) -> PartMember {
    let name = format!("m{number}");
    PartMember {
        deputy: QuotaDeputy::new(&name, now),
        holder: QuotaHolder::new(QuotaLimits::default(), name.into()),
        term: 1,
        leads: false,
        known_leader: None,
        frozen_until: Duration::ZERO,
        deposed_at: None,
    }
}

fn new_entry(name: Box<str>, rule: &TenantRule, now: BootTime) -> PartEntry {
    PartEntry {
        purse: QuotaPurse::new(name.clone(), now),
        name,
        rule: rule.clone(),
        waiting: Vec::new(),
        cut_until: Duration::ZERO,
        frozen_until: Duration::ZERO,
    }
}
