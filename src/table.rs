//! Plain text tables for terminal output.

use std::fmt::Write;

use crate::status::SystemStatus;

/// Renders the status as plain text.
pub fn render_status(status: &SystemStatus) -> String {
    let mut output = String::new();
    // Writing to a string cannot fail.
    let _ = write_summary(&mut output, status);
    let mut members = TextTable::new(&["MEMBER", "STATE", "HOLDS", "ID"]);
    for member in &status.members {
        let holds = member.holds.map_or_else(|| "-".to_owned(), |holds| holds.to_string());
        members.add_row(&[&member.name, &member.state, &holds, &member.member]);
    }
    members.append_to(&mut output);
    let mut groups = TextTable::new(&["CLAIM GROUP", "LEADER", "CLAIMS"]);
    for group in &status.claim_groups {
        let leader = group.leader.as_deref().unwrap_or("-");
        groups.add_row(&[&group.group.to_string(), leader, &group.claims.to_string()]);
    }
    groups.append_to(&mut output);
    let mut branches = TextTable::new(&["BRANCH", "VERSION"]);
    for (branch, version) in &status.branches {
        branches.add_row(&[branch, &version.to_string()]);
    }
    branches.append_to(&mut output);
    let mut entries = TextTable::new(&["ENTRY", "ZONE", "REVISION", "LINK"]);
    for entry in &status.entries {
        let link = if entry.suspect { "lost" } else { "up" };
        entries.add_row(&[
            &entry.name,
            &entry.availability_zone,
            &entry.revision.to_string(),
            link,
        ]);
    }
    entries.append_to(&mut output);
    let mut servers =
        TextTable::new(&["TEAM", "SERVICE", "SERVER", "ZONE", "STATE", "SLOTS", "LOAD", "ADDRESS"]);
    for server in &status.servers {
        let load = format!("{}%", server.load / 10);
        let slots = server.slots.to_string();
        servers.add_row(&[
            &server.team,
            &server.service,
            &server.server,
            &server.availability_zone,
            &server.state,
            &slots,
            &load,
            &server.address,
        ]);
    }
    servers.append_to(&mut output);
    output
}

fn write_summary(output: &mut String, status: &SystemStatus) -> std::fmt::Result {
    let cluster = status.cluster.as_deref().unwrap_or("not formed");
    let leader = status.leader.as_deref().unwrap_or("none");
    writeln!(output, "cluster {cluster}, leader {leader}, settings revision {}", status.revision)?;
    match status.survivable_losses {
        Some(losses) => writeln!(output, "{losses} control members can be lost now"),
        None => writeln!(output, "losses that can be survived now: unknown"),
    }?;
    if !status.confirmed {
        writeln!(output, "reported by {}, which does not lead: may be out of date", status.name)?;
    }
    Ok(())
}

/// Text table with left-aligned columns; the first row holds the titles.
struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    fn new(titles: &[&str]) -> Self {
        let mut table = Self { rows: Vec::new() };
        table.add_row(titles);
        table
    }

    fn add_row(&mut self, cells: &[&str]) {
        self.rows.push(cells.iter().map(|cell| (*cell).to_owned()).collect());
    }

    /// Appends an empty line and the table to `output`, or nothing if the table has only titles.
    fn append_to(&self, output: &mut String) {
        if self.rows.len() < 2 {
            return;
        }
        let mut widths = vec![0; self.rows[0].len()];
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.chars().count());
            }
        }
        output.push('\n');
        for row in &self.rows {
            let mut line = String::new();
            for (width, cell) in widths.iter().zip(row) {
                let _ = write!(line, "{cell:width$}  ");
            }
            output.push_str(line.trim_end());
            output.push('\n');
        }
    }
}
