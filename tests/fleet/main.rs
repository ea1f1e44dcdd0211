//! Tests of fleet mode: state machines with case tables and seeds, and real processes on loopback.

mod balance;
mod budget;
mod caller;
mod config_file;
mod control_regained;
mod crash_evidence;
mod crash_ledger;
mod crash_model;
mod crash_overlap;
mod crash_relay;
mod crash_server;
mod crash_settling;
mod crash_watch;
mod crashed_incarnations;
mod document_change;
mod entry;
mod entry_ledger;
mod freshness;
mod harness;
mod held_bytes;
mod line_due;
mod listener;
mod malformed;
mod members;
#[path = "../common/mutation.rs"]
mod mutation;
mod odd_announcements;
mod outdated_seeds;
mod quarantine_operator;
mod quarantine_proposals;
mod quarantine_state;
mod routes;
mod slow_member;
mod state;
mod stop;
mod suspect_hold;
