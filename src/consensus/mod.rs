//! Raft consensus: leader election, log replication, membership changes, snapshots and cluster
//! formation.

mod config;
mod election;
mod event;
mod failover;
pub mod formation;
mod freshness;
pub mod host;
mod host_group;
mod host_loop;
mod log;
pub mod members;
pub mod message;
pub mod node;
mod read_index;
pub mod repair;
mod replicate;
mod snapshot;

pub use config::RaftConfig;
pub use failover::LeaderLoss;
pub use node::{RaftAction, RaftEvent, RaftNode, Role};
