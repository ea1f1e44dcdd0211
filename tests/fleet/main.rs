//! Tests of fleet mode: state machines with case tables and seeds, and real processes on loopback.

mod balance;
mod budget;
mod caller;
mod entry;
mod harness;
mod members;
mod routes;
mod slow_member;
mod state;
