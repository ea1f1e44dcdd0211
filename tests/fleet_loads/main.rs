//! Decisions of an entry under the loads that delayed or refused callers. No test uses the network:
//! servers and time are simulated, and every random choice follows from a seed.

mod dark_servers;
mod many_entries;
mod sheet_on_thin_line;
mod thin_line;
