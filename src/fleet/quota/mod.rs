//! Quotas: rates and bursts of tenants that bind all entries together.
//!
//! The leader of the control members holds one [`account::QuotaAccount`] a tenant and lends from it; each
//! entry keeps what it was lent in its [`purse::QuotaPurse`]. The other members are deputies: they keep a
//! [`deputy::QuotaDeputy`] stock for the time in which no holder answers. See `docs/design/quotas.md`.

pub mod account;
mod demand;
pub mod deputy;
pub mod holder;
mod lease;
pub mod message;
pub mod metrics;
mod pending_ask;
pub mod purse;
mod tenant_purse;

use std::time::Duration;

use crate::suspension::BootTime;

/// Duration of a lease, counted by the entry from the moment it sent its ask. One that was due for renewal
/// outlasts the election of a leader and the redialling of links, some 2 s. A new holder counts for as long
/// what its predecessor may have lent.
pub const LEASE_TIME: Duration = Duration::from_secs(3);

/// Time for which the holder counts a lease longer than the entry, for clocks that differ in speed.
pub const LEASE_MARGIN: Duration = Duration::from_millis(100);

/// Time from an ask within which its grant is accepted. Afterwards the entry asks again, so that at most
/// one grant is on its way to an entry. A busy small machine answers within some 50 ms.
pub const GRANT_TIME: Duration = Duration::from_millis(200);

/// Interval at which an entry renews the leases that it uses.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
