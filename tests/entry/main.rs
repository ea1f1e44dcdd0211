//! Tests of a single entry without control processes.

mod close;
mod early;
mod fairness;
mod harness;
mod hedge;
mod retry;
mod slow_body;
