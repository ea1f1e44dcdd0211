//! Metrics page of a control member.

use crate::fleet::document::DocumentVersion;
use crate::ids::{LogIndex, TermNumber};

/// State of a member in figures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberFigures {
    pub leads: bool,
    pub term: TermNumber,
    pub voters: usize,
    pub applied: LogIndex,
    pub document_version: DocumentVersion,
    pub servers: usize,
    /// Entries that follow this member.
    pub entries: u32,
}

impl MemberFigures {
    /// Text in the OpenMetrics format.
    pub fn encode(&self) -> String {
        let gauges = [
            ("leads", u64::from(self.leads)),
            ("term", self.term),
            ("voters", self.voters as u64),
            ("applied_index", self.applied),
            ("document_version", self.document_version),
            ("servers", self.servers as u64),
            ("entries", u64::from(self.entries)),
        ];
        let mut text = String::new();
        for (name, value) in gauges {
            text.push_str(&format!("# TYPE control_{name} gauge\ncontrol_{name} {value}\n"));
        }
        text + "# EOF\n"
    }
}
