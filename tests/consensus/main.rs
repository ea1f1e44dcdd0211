//! Tests of the replicated log.

mod behaviour;
mod faults;
mod fleet_schedule;
mod formation;
mod harness;
mod rules;
