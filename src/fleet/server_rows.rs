//! Servers of an update as rows without field names; names that repeat are sent once.
//!
//! A new entry on a line of a few Mbit/s gets hundreds of servers before it can serve.

use std::net::SocketAddr;
use std::time::Duration;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::announcement::{IncarnationStart, ServerAnnouncement, ServerState};
use super::update::ServerView;
use crate::ids::ServerId;

/// Server, service, address, zone, slots, whether it drains, whether it is silent, warm-up in
/// milliseconds, start, sequence. Service and zone are places in the list of names.
type ServerRow = (ServerId, u32, SocketAddr, u32, u32, bool, bool, u64, IncarnationStart, u64);

/// Names and rows.
type ServerRows = (Vec<Box<str>>, Vec<ServerRow>);

/// Place of `name` in `names`, which gets it if it is new.
fn place_of(names: &mut Vec<Box<str>>, name: &str) -> u32 {
    let known = names.iter().position(|known| **known == *name);
    let place = known.unwrap_or_else(|| {
        names.push(name.into());
        names.len() - 1
    });
    u32::try_from(place).expect("an update has fewer names")
}

pub fn serialize<S: Serializer>(
    servers: &[(ServerId, ServerView)],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let mut names = Vec::new();
    let mut rows: Vec<ServerRow> = Vec::with_capacity(servers.len());
    for (server, view) in servers {
        let said = &view.announcement;
        let service = place_of(&mut names, &said.service);
        let zone = place_of(&mut names, &said.availability_zone);
        rows.push((
            server.clone(),
            service,
            said.address,
            zone,
            said.slots,
            said.state == ServerState::Draining,
            view.silent,
            u64::try_from(said.warmup.as_millis()).unwrap_or(u64::MAX),
            said.started,
            said.sequence,
        ));
    }
    (names, rows).serialize(serializer)
}

pub fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<(ServerId, ServerView)>, D::Error> {
    let (names, rows) = ServerRows::deserialize(deserializer)?;
    let name_at = |place: u32| {
        let name = usize::try_from(place).ok().and_then(|place| names.get(place));
        name.cloned().ok_or_else(|| D::Error::custom("a row has a name that is not listed"))
    };
    let mut servers = Vec::with_capacity(rows.len());
    for row in rows {
        let (server, service, address, zone, slots, drains, silent, warmup, started, sequence) =
            row;
        let announcement = ServerAnnouncement {
            service: name_at(service)?,
            address,
            availability_zone: name_at(zone)?,
            slots,
            state: if drains { ServerState::Draining } else { ServerState::Ready },
            warmup: Duration::from_millis(warmup),
            started,
            sequence,
        };
        servers.push((server, ServerView { announcement, silent }));
    }
    Ok(servers)
}
