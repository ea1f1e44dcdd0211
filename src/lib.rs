//! Load balancer for servers whose load shifts in milliseconds.

pub mod admin;
pub mod check;
pub mod claim;
pub mod config;
pub mod consensus;
pub mod credit;
pub mod directory;
pub mod entry;
pub mod generated;
pub mod http;
pub mod ids;
pub mod life_cycle;
pub mod link;
pub mod logging;
pub mod metrics;
pub mod route;
pub mod schema;
pub mod settings;
pub mod stand_in;
pub mod storage;
pub mod timer;
pub mod units;
