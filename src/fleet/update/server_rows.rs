//! Compact encoding of the servers in an update: rows without field names and a table of repeated
//! names.
//!
//! An entry must receive hundreds of servers before it can serve, possibly over a line of a few
//! Mbit/s.

use std::net::SocketAddr;
use std::time::Duration;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::ServerView;
use crate::fleet::announcement::{IncarnationStart, ServerAnnouncement, ServerState};
use crate::ids::ServerId;

/// Server, service, address, availability zone, slots, whether it is draining, whether it is
/// silent, remaining warm-up in milliseconds, start, sequence number. Service and availability zone
/// are indexes into the name table.
type ServerRow = (ServerId, u32, SocketAddr, u32, u32, bool, bool, u64, IncarnationStart, u64);

/// Name table and rows.
type ServerRows = (Vec<Box<str>>, Vec<ServerRow>);

/// Returns the index of `name` in `names`, appending it if it is new.
fn index_of_name(names: &mut Vec<Box<str>>, name: &str) -> u32 {
    let known = names.iter().position(|known| **known == *name);
    let index = known.unwrap_or_else(|| {
        names.push(name.into());
        names.len() - 1
    });
    u32::try_from(index).expect("an update has fewer names")
}

pub fn serialize<S: Serializer>(
    servers: &[(ServerId, ServerView)],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let mut names = Vec::new();
    let mut rows: Vec<ServerRow> = Vec::with_capacity(servers.len());
    for (server, view) in servers {
        let announcement = &view.announcement;
        let service = index_of_name(&mut names, &announcement.service);
        let zone = index_of_name(&mut names, &announcement.availability_zone);
        rows.push((
            server.clone(),
            service,
            announcement.address,
            zone,
            announcement.slots,
            announcement.state == ServerState::Draining,
            view.silent,
            u64::try_from(announcement.warmup.as_millis()).unwrap_or(u64::MAX),
            announcement.started,
            announcement.sequence,
        ));
    }
    (names, rows).serialize(serializer)
}

pub fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<(ServerId, ServerView)>, D::Error> {
    let (names, rows) = ServerRows::deserialize(deserializer)?;
    let name_at = |index: u32| {
        let name = usize::try_from(index).ok().and_then(|index| names.get(index));
        name.cloned().ok_or_else(|| D::Error::custom("a row has a name that is not listed"))
    };
    let mut servers = Vec::with_capacity(rows.len());
    for row in rows {
        let (server, service, address, zone, slots, draining, silent, warmup, started, sequence) =
            row;
        let announcement = ServerAnnouncement {
            service: name_at(service)?,
            address,
            availability_zone: name_at(zone)?,
            slots,
            state: if draining { ServerState::Draining } else { ServerState::Ready },
            warmup: Duration::from_millis(warmup),
            started,
            sequence,
        };
        servers.push((server, ServerView { announcement, silent }));
    }
    Ok(servers)
}
