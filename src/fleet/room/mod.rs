//! What an entry knows of the room at a service's servers, and who gets it when it is short.
//!
//! Pure decisions: the time and random numbers are arguments.

mod arrivals;
mod finds;
mod hedge;
mod metrics;
mod pressure;
pub mod probe_plan;
mod service;
mod silence;

pub use arrivals::{ArrivalShares, RequestClaim};
pub use finds::FindWindow;
pub use hedge::{HedgeConditions, HedgePlan};
pub use metrics::RoomMetrics;
pub use service::{
    CallerTime, FindAllowance, RefusalCause, RoomChange, RoomDecision, ServiceRoom, ServiceSize,
};
pub use silence::silence_time;
