//! Fleet mode: members found from seeds, one settings document replaced as a whole, entries that
//! follow the control members and route by host and path.
//!
//! Every process of this mode runs its sockets, timers and state on one thread. The names on the wire
//! come from a [`dialect::WireDialect`].

pub mod announcement;
pub mod balance;
pub mod budget;
pub mod config;
pub mod control;
pub mod dialect;
pub mod document;
pub mod entry;
pub mod event_log;
pub mod file;
pub mod link;
pub mod listener;
pub mod native;
pub mod placement;
pub mod process;
mod process_metrics;
pub mod routes;
mod server_rows;
pub mod state;
pub mod stream;
pub mod update;
