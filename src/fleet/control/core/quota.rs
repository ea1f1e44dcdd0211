//! Quotas: passes asks of entries to the leader, which holds the accounts, and its grants back.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::sync::mpsc::{Receiver, Sender, channel};

use super::ControlCore;
use crate::fleet::link::{self, LinkFrame, LinkMessage};
use crate::fleet::quota::holder::HolderCounts;
use crate::fleet::quota::message::{AskKind, QuotaAsk, QuotaGrant, RelayedAsk, RelayedGrant};
use crate::suspension::boot_time;

/// Maximum number of grants queued for one link. An entry has one ask under way at a time.
const MAX_QUEUED_GRANTS: usize = 8;

/// Silence of the leader after which waiting requests are served from the stocks of this member: one and a half
/// heartbeats, so that a late one does not count.
const LEADER_PATIENCE: Duration = Duration::from_millis(330);

/// Number of a link from an entry, unique within this process.
pub type EntryLinkNumber = u64;

/// Link number of this member's own asks; links from entries begin at 1.
const DEPUTY_LINK: EntryLinkNumber = 0;

/// Links on which entries wait for grants.
#[derive(Default)]
pub(super) struct GrantLinks {
    last_link: EntryLinkNumber,
    queues: BTreeMap<EntryLinkNumber, Sender<LinkFrame>>,
}

impl GrantLinks {
    fn send(&self, link: EntryLinkNumber, grant: QuotaGrant) {
        let Some(queue) = self.queues.get(&link) else { return };
        // A grant that does not fit is lost; the entry asks again.
        let _ = queue.try_send(link::encode(&LinkMessage::QuotaGrant(grant)));
    }
}

impl ControlCore {
    /// Registers a link from an entry; its grants arrive in the queue.
    pub fn add_grant_link(&mut self) -> (EntryLinkNumber, Receiver<LinkFrame>) {
        let (sender, receiver) = channel(MAX_QUEUED_GRANTS);
        self.grant_links.last_link += 1;
        let link = self.grant_links.last_link;
        self.grant_links.queues.insert(link, sender);
        (link, receiver)
    }

    pub fn remove_grant_link(&mut self, link: EntryLinkNumber) {
        self.grant_links.queues.remove(&link);
    }

    /// Handles an ask that an entry sent to this member.
    pub fn on_quota_ask(&mut self, now: Instant, link: EntryLinkNumber, ask: QuotaAsk) {
        if self.leads() {
            if let Some(grant) = self.lend(now, &ask) {
                self.grant_links.send(link, grant);
            }
            return;
        }
        let leader = self.leader_address();
        let heard_at = self.leader_heard_at.filter(|_| leader.is_some());
        let is_silent = heard_at.is_none_or(|heard_at| now >= heard_at + LEADER_PATIENCE);
        if is_silent || ask.kind == AskKind::Repeated {
            let tenants = &self.state.document().tenants;
            // The holder decides where it can: only it renews leases.
            let grant = self.deputy.lend(boot_time(), tenants, &ask, !is_silent);
            if let Some(grant) = grant {
                self.grant_links.send(link, grant);
                return;
            }
        }
        let Some(leader) = leader else { return };
        self.peers.send(leader, &LinkMessage::RelayedAsk(RelayedAsk { link, ask }));
    }

    /// Follows a message of the leader; its heartbeats also set the pace of this member's asks for its stocks.
    pub(super) fn on_leader_heard(&mut self, now: Instant) {
        self.leader_heard_at = Some(now);
        let Some(leader) = self.leader_address() else { return };
        let Some(ask) = self.deputy.next_ask(boot_time()) else { return };
        let relayed = RelayedAsk { link: DEPUTY_LINK, ask };
        self.peers.send(leader, &LinkMessage::RelayedAsk(relayed));
    }

    /// Handles an ask that another member passed on.
    pub(super) fn on_relayed_ask(&mut self, now: Instant, from: &str, relayed: &RelayedAsk) {
        let Ok(from) = from.parse::<SocketAddr>() else { return };
        let Some(grant) = self.lend(now, &relayed.ask) else { return };
        let relayed = RelayedGrant { link: relayed.link, grant };
        self.peers.send(from, &LinkMessage::RelayedGrant(relayed));
    }

    pub(super) fn on_relayed_grant(&mut self, relayed: RelayedGrant) {
        if relayed.link == DEPUTY_LINK {
            self.deputy.on_grant(boot_time(), &relayed.grant);
            return;
        }
        self.grant_links.send(relayed.link, relayed.grant);
    }

    /// Follows the role of this member.
    pub(super) fn follow_holder(&mut self) {
        let leads = self.leads() && self.node.has_committed_leader();
        self.quota_holder.set_leading(boot_time(), self.node.term(), leads);
        if leads {
            self.deputy.clear();
        }
    }

    pub(super) fn quota_counts(&self) -> HolderCounts {
        let stock_tokens = self.deputy.lent_tokens();
        HolderCounts { stock_tokens, ..self.quota_holder.counts(boot_time()) }
    }

    fn lend(&mut self, now: Instant, ask: &QuotaAsk) -> Option<QuotaGrant> {
        let seen_at = self.node.quorum_seen_at().filter(|_| self.has_linked_quorum());
        let quorum_age = seen_at.map(|seen_at| now.saturating_duration_since(seen_at));
        let tenants = &self.state.document().tenants;
        if ask.kind != AskKind::Deputy {
            return self.quota_holder.on_ask(boot_time(), quorum_age, tenants, ask);
        }
        let deputies = self.node.members().voters().count().saturating_sub(1);
        self.quota_holder.on_deputy_ask(boot_time(), quorum_age, tenants, ask, deputies)
    }
}
