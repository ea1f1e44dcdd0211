//! Compact encoding of the routes in an update: rows without field names, and tables of repeated names
//! and of rules that differ in nothing but their name.
//!
//! One document may add a thousand routes, which each entry must receive over a line of a few Mbit/s
//! within the time in which a document comes into force.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::fleet::document::{Repetition, RouteKey, RouteRule};
use crate::ids::ServiceName;

/// Whether the route is idempotent, timeout and target latency in microseconds, maximum number of
/// attempts, priority, targets with their weights. Services are indexes into the name table.
type RuleRow = (bool, u64, u64, u32, u32, Vec<(u32, f64)>);

/// Host, path prefix, route name, rule. Host and rule are indexes into their tables.
type RouteRow = (u32, Box<str>, Box<str>, u32);

/// Name table, rule table and rows.
type RouteRows = (Vec<Box<str>>, Vec<RuleRow>, Vec<RouteRow>);

/// Returns the index of `item` in `table`, appending it if it is new. Routes with equal rules are
/// mostly neighbours, so the search starts at the end.
fn index_of<T: PartialEq>(table: &mut Vec<T>, item: T) -> u32 {
    let index = table.iter().rposition(|known| *known == item).unwrap_or_else(|| {
        table.push(item);
        table.len() - 1
    });
    u32::try_from(index).expect("an update has fewer rows")
}

fn microseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

pub fn serialize<S: Serializer>(
    routes: &[(RouteKey, RouteRule)],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let (mut names, mut rules) = (Vec::<Box<str>>::new(), Vec::<RuleRow>::new());
    let mut rows: Vec<RouteRow> = Vec::with_capacity(routes.len());
    for ((host, prefix), rule) in routes {
        let targets = rule.targets.iter();
        let targets = targets.map(|(name, weight)| (index_of(&mut names, name.clone()), *weight));
        let rule_row = (
            rule.repetition == Repetition::Idempotent,
            microseconds(rule.timeout),
            microseconds(rule.target_latency),
            rule.max_attempts,
            rule.priority,
            targets.collect(),
        );
        let rule_index = index_of(&mut rules, rule_row);
        let host_index = index_of(&mut names, host.clone());
        rows.push((host_index, prefix.clone(), rule.name.clone(), rule_index));
    }
    (names, rules, rows).serialize(serializer)
}

fn item_at<T, E: serde::de::Error>(table: &[T], index: u32) -> Result<&T, E> {
    let item = usize::try_from(index).ok().and_then(|index| table.get(index));
    item.ok_or_else(|| E::custom("a row has an index that is not listed"))
}

pub fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<(RouteKey, RouteRule)>, D::Error> {
    let (names, rules, rows) = RouteRows::deserialize(deserializer)?;
    let mut routes = Vec::with_capacity(rows.len());
    for (host, prefix, name, rule) in rows {
        let (idempotent, timeout, target_latency, max_attempts, priority, targets) =
            item_at::<_, D::Error>(&rules, rule)?;
        let mut named_targets: Vec<(ServiceName, f64)> = Vec::with_capacity(targets.len());
        for (service, weight) in targets {
            named_targets.push((item_at::<_, D::Error>(&names, *service)?.clone(), *weight));
        }
        let rule = RouteRule {
            name,
            repetition: if *idempotent { Repetition::Idempotent } else { Repetition::AtMostOnce },
            timeout: Duration::from_micros(*timeout),
            target_latency: Duration::from_micros(*target_latency),
            max_attempts: *max_attempts,
            priority: *priority,
            // Told beside the rows.
            is_public: false,
            targets: named_targets,
        };
        routes.push(((item_at::<_, D::Error>(&names, host)?.clone(), prefix), rule));
    }
    Ok(routes)
}
