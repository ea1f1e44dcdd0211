//! Requests through one entry without control processes.

mod early;
mod fairness;
mod harness;
mod hedge;
mod retry;
