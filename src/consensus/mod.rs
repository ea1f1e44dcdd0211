//! Replicated log: leader election, replication, membership, snapshots, first formation.

mod election;
pub mod formation;
pub mod host;
mod host_loop;
mod log;
pub mod members;
pub mod message;
pub mod node;
mod read_index;
pub mod repair;
mod replicate;
mod snapshot;

pub use node::{RaftAction, RaftConfig, RaftEvent, RaftNode, Role};
