//! Load balancer for servers whose load shifts in milliseconds.

pub mod generated;
pub mod ids;
pub mod logging;
pub mod schema;
pub mod timer;
pub mod units;
