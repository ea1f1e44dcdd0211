//! Metrics of a control member.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use super::core::failover::LeaderLossCounts;
use crate::fleet::crash::controller::QuarantineCounts;
use crate::fleet::document::DocumentVersion;
use crate::fleet::process_metrics::{self, PROCESS_METRICS};
use crate::fleet::quota::holder::HolderCounts;
use crate::ids::{LogIndex, TermNumber};

/// Values of a member's gauges.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MemberMetrics {
    pub leads: bool,
    /// Whether a leader with a majority is known.
    pub has_leader: bool,
    pub term: TermNumber,
    pub voters: usize,
    pub applied: LogIndex,
    pub document_version: DocumentVersion,
    pub servers: usize,
    /// Entries connected to this member.
    pub entries: u32,
    /// Requests under suspicion, known to the leader only.
    pub suspects: usize,
    pub quarantined: usize,
    pub evacuated_zones: usize,
    pub leader_losses: LeaderLossCounts,
    pub quarantine_counts: QuarantineCounts,
    pub quota_counts: HolderCounts,
}

impl MemberMetrics {
    /// Encodes the gauges and the histogram of disk latency in the OpenMetrics text format.
    pub fn encode(&self, disk_latency: &Histogram) -> String {
        let mut registry = Registry::with_prefix("control");
        PROCESS_METRICS.register(&mut registry);
        registry.register("disk_seconds", "Time of a write with its sync", disk_latency.clone());
        let gauges = [
            ("leads", "Whether this member leads", u64::from(self.leads)),
            ("has_leader", "Whether a leader is known", u64::from(self.has_leader)),
            ("term", "Term of the log", self.term),
            ("voters", "Members that vote", self.voters as u64),
            ("applied_index", "Newest applied entry of the log", self.applied),
            ("document_version", "Version of the document held", self.document_version),
            ("servers", "Servers that are announced", self.servers as u64),
            ("entries", "Entries that follow this member", u64::from(self.entries)),
            (
                "suspects",
                "Requests suspected of crashing servers, on the leader",
                self.suspects as u64,
            ),
            ("quarantined", "Requests in quarantine", self.quarantined as u64),
            ("evacuated_zones", "Evacuated availability zones", self.evacuated_zones as u64),
        ];
        for (name, help, value) in gauges {
            let gauge: Gauge = Gauge::default();
            gauge.set(value.cast_signed());
            registry.register(name, help, gauge);
        }
        let counts = &self.quarantine_counts;
        let losses = &self.leader_losses;
        let counters = [
            ("crash_reports", "Crash reports received", counts.crash_reports),
            ("served_reports", "Reports received that a suspect was served", counts.served_reports),
            ("quarantine_convictions", "Requests put into quarantine", counts.convictions),
            ("quarantine_refusals", "Convictions refused by a full quarantine", counts.refusals),
            ("quarantine_releases", "Requests released from quarantine", counts.releases),
            ("leaders_silent", "Leaders lost because nothing was heard", losses.silent),
            ("leaders_ended", "Leaders lost because their process had ended", losses.ended),
            ("leaders_resigned", "Leaders lost because they asked for votes", losses.resigned),
        ];
        for (name, help, value) in counters {
            let counter: Counter = Counter::default();
            counter.inc_by(value);
            registry.register(name, help, counter);
        }
        self.quota_counts.register(&mut registry);
        process_metrics::encode(&registry)
    }
}

/// Histogram of disk job durations, from 0.5 ms to 4 s.
pub fn disk_latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.0005, 2.0, 14))
}
