//! Load balancer for servers whose load shifts in milliseconds.

pub mod credit;
pub mod ids;
pub mod logging;
pub mod route;
pub mod timer;
