//! Text form of an explanation.

use std::fmt;

use super::{QuotaOutcome, SendExplanation, ServiceOutlook, TargetCondition, TargetStep};

impl fmt::Display for SendExplanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { entry, zone, document_version, revision, .. } = self;
        writeln!(
            f,
            "entry     {entry} in {zone}, document {document_version}, revision {revision}"
        )?;
        if let Some(route) = &self.route {
            let repetition = if route.is_idempotent { "idempotent" } else { "at most once" };
            let access = if route.is_public { "public" } else { "not public" };
            writeln!(
                f,
                "route     {}: {repetition}, {access}, priority {}, at most {} sends, target {} ms, {} ms left",
                route.name, route.priority, route.max_attempts, route.target_ms, route.time_left_ms
            )?;
        }
        if let Some(quota) = &self.quota {
            write!(f, "quota     {}: {}", quota.tenant, quota.outcome)?;
            if quota.outcome != QuotaOutcome::Unlimited {
                write!(
                    f,
                    "; limit {}/s, burst {}, lent {:.2}/s by {}",
                    quota.rate, quota.burst, quota.lease_rate, quota.holder
                )?;
            }
            match quota.age_ms {
                Some(age_ms) => writeln!(f, " {age_ms} ms ago")?,
                None => writeln!(f)?,
            }
        }
        if self.has_quarantine {
            writeln!(f, "note      some requests are in quarantine; this one is not compared")?;
        }
        if let Some(refusal) = &self.refusal {
            return writeln!(f, "answer    {} from the entry: {}", refusal.status, refusal.reason);
        }
        self.services.iter().try_for_each(|service| service.fmt(f))
    }
}

impl fmt::Display for ServiceOutlook {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "service   {} with probability {:.2}", self.service, self.probability)?;
        let room = &self.room;
        let state = if room.is_short { "short" } else { "ample" };
        writeln!(
            f,
            "  room    {state}, {} of {} looks found some; admitted with probability {:.2} (standing {:.2}, pressure {:.2})",
            room.found, room.looks, room.admission, room.standing, room.pressure
        )?;
        if let Some(max_probes) = room.max_probes {
            writeln!(f, "  probes  at most {max_probes} while room is short")?;
        }
        write!(f, "  zones   {:.2} of the requests leave the zone", self.zones.share)?;
        for (zone, part) in &self.zones.parts {
            write!(f, ", {part:.2} of them to {zone}")?;
        }
        writeln!(f, "\n  budget  {:.1} second sends left", self.second_sends)?;
        write!(f, "  servers")?;
        let mut separator = " ";
        for (condition, count) in &self.conditions {
            write!(f, "{separator}{count} {condition}")?;
            separator = ", ";
        }
        writeln!(f)?;
        for (number, target) in self.targets.iter().enumerate() {
            let connection = if target.has_connection { "open" } else { "new" };
            write!(
                f,
                "  {}.      {} in {}: {}; cost {:.2} (expected {:.2}), {connection} connection",
                number + 1,
                target.server,
                target.zone,
                target.step,
                target.cost,
                target.expected_factor
            )?;
            match target.load_age_ms {
                Some(age_ms) => writeln!(f, ", load known {age_ms} ms ago")?,
                None => writeln!(f, ", load unknown")?,
            }
        }
        match &self.refusal {
            Some(refusal) => {
                writeln!(f, "  answer  {} from the entry: {}", refusal.status, refusal.reason)
            }
            None => Ok(()),
        }
    }
}

impl fmt::Display for QuotaOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unlimited => "no limit",
            Self::TokenAtHand => "a token is at hand",
            Self::AsksHolder => "waits for the holder's answer",
            Self::UsedUp => "the limit is used up (429)",
            Self::HolderSilent => "no holder answers (503)",
        })
    }
}

impl fmt::Display for TargetCondition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Usable => "usable",
            Self::Full => "full",
            Self::Ejected => "ejected",
            Self::Silent => "without heartbeats",
            Self::Cold => "cold",
            Self::Withdrawn => "withdrawn",
            Self::Evacuated => "evacuated",
        })
    }
}

impl fmt::Display for TargetStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Probe => "probed first",
            Self::Send => "sent at once",
            Self::PassOver => "passed over as full",
        })
    }
}
