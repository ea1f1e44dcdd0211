//! Load balancer for servers whose load shifts in milliseconds.

pub mod admin;
pub mod http;
pub mod ids;
pub mod link;
pub mod load;
pub mod logging;
pub mod stand_in;
pub mod timer;
