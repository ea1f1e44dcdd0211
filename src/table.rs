//! Plain text tables for people.

use std::fmt::Write;

use crate::status::SystemStatus;

/// Renders the status as text.
pub fn print_status(status: &SystemStatus) -> String {
    let mut output = String::new();
    // Writing into a string cannot fail.
    let _ = write_summary(&mut output, status);
    let mut members = TextTable::new(&["MEMBER", "STATE", "HOLDS", "ID"]);
    for line in &status.members {
        let holds = line.holds.map_or_else(|| "-".to_owned(), |holds| holds.to_string());
        members.row(&[&line.name, &line.state, &holds, &line.member]);
    }
    members.print(&mut output);
    let mut groups = TextTable::new(&["CLAIM GROUP", "LEADER", "CLAIMS"]);
    for line in &status.claim_groups {
        let leader = line.leader.as_deref().unwrap_or("-");
        groups.row(&[&line.group.to_string(), leader, &line.claims.to_string()]);
    }
    groups.print(&mut output);
    let mut branches = TextTable::new(&["BRANCH", "VERSION"]);
    for (branch, version) in &status.branches {
        branches.row(&[branch, &version.to_string()]);
    }
    branches.print(&mut output);
    let mut entries = TextTable::new(&["ENTRY", "ZONE", "REVISION", "LINK"]);
    for line in &status.entries {
        let link = if line.suspect { "lost" } else { "up" };
        entries.row(&[&line.name, &line.availability_zone, &line.revision.to_string(), link]);
    }
    entries.print(&mut output);
    let mut servers =
        TextTable::new(&["TEAM", "SERVICE", "SERVER", "ZONE", "STATE", "SLOTS", "LOAD", "ADDRESS"]);
    for line in &status.servers {
        let load = format!("{}%", line.load / 10);
        let slots = line.slots.to_string();
        servers.row(&[
            &line.team,
            &line.service,
            &line.server,
            &line.availability_zone,
            &line.state,
            &slots,
            &load,
            &line.address,
        ]);
    }
    servers.print(&mut output);
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

/// Rows of text that are aligned by column.
struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    fn new(titles: &[&str]) -> Self {
        let mut table = Self { rows: Vec::new() };
        table.row(titles);
        table
    }

    fn row(&mut self, cells: &[&str]) {
        self.rows.push(cells.iter().map(|cell| (*cell).to_owned()).collect());
    }

    /// Prints the table after an empty line; a table without rows is left out.
    fn print(&self, output: &mut String) {
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
