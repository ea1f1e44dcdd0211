//! Fleet mode: state machines by table and seed, and real processes on loopback.

mod balance;
mod budget;
mod caller;
mod entry;
mod harness;
mod members;
mod routes;
mod state;
