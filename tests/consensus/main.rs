//! Tests of the Raft consensus and cluster formation state machines.

mod behaviour;
mod failover;
mod faults;
mod fleet_members;
mod fleet_schedule;
mod formation;
mod freshness;
mod harness;
mod rules;
mod slow_disk;
