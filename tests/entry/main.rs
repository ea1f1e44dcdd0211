//! Requests through one entry without control processes.

mod fairness;
mod harness;
mod hedge;
mod retry;
