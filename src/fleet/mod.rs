//! Fleet mode: control members discover each other from seeds and replicate one settings document,
//! which is always replaced as a whole. Entries receive the state from the control members and route
//! requests by host and path.
//!
//! Each process runs its sockets, timers and state on one thread. A [`dialect::WireDialect`] supplies
//! the names and formats used on the wire.

pub mod announcement;
pub mod balance;
pub mod budget;
pub mod config;
pub mod control;
pub mod crash;
pub mod decay;
pub mod dialect;
pub mod document;
pub mod entry;
pub mod event_log;
pub mod explain;
pub mod file;
pub mod follow_plan;
pub mod link;
pub mod listener;
pub mod native;
pub mod process;
mod process_metrics;
pub mod quota;
pub mod relay;
pub mod room;
pub mod routes;
pub mod state;
pub mod statement;
pub mod stream;
pub mod tenant;
pub mod update;
pub mod zone_balance;
