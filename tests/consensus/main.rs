//! Tests of the replicated log.

mod behaviour;
mod faults;
mod formation;
mod harness;
mod rules;
