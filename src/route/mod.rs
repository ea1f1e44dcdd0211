//! Server selection, outlier detection, admission, retries and message budgets of one entry.

pub mod admission;
pub mod health;
pub mod measure;
pub mod policy;
pub mod pool;
pub mod retry;
pub mod team_share;

pub use admission::{AdmissionQueue, AdmissionRefusal, AdmissionSettings};
pub use health::{HealthSettings, HealthTracker};
pub use measure::{MeasureBudget, MeasureCounters, MeasureLimits};
pub use policy::RoutePolicy;
pub use pool::{PickOutcome, PickedServer, PoolServer, PoolSettings, ServerPool};
pub use retry::{RetryBudget, RetryCandidate, RetryDecision, RetryRefusal, RetrySettings};
pub use team_share::TeamShare;
