//! Tests that run fleet mode as processes of the binary.
//!
//! This is a separate test executable because a child process briefly inherits the listening sockets of
//! its parent between fork and exec. In the executable that runs members on threads, a restarted member
//! found its port still in use.

mod blocked_log;
mod control_history;
mod control_stop;
mod crashing_request;
mod crossing_orders;
mod demand_checks;
mod demand_client;
mod demand_soak;
mod fault_series;
mod full_disk;
#[allow(dead_code, reason = "shared with the tests that start no processes")]
#[path = "../fleet/harness.rs"]
mod harness;
mod metrics_page;
mod planned_client;
mod planned_signals;
mod planned_soak;
mod repeat_client;
mod slow_callers;
mod soak;
mod stop_log;
mod support;
mod work_server;
