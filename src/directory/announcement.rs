//! Announcements of servers, and the life-cycle state that the directory derives from them.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest, Sha256};

use crate::ids::{RegionName, ServerId, ServiceName, TeamName, ZoneName};
use crate::life_cycle::StateChart;

/// State that a server announces. The variants are ordered by progress within one incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnnouncedState {
    Starting,
    Ready,
    Draining,
    Gone,
}

/// One heartbeat of a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerAnnouncement {
    pub team: TeamName,
    pub service: ServiceName,
    pub server: ServerId,
    pub address: SocketAddr,
    pub availability_zone: ZoneName,
    pub region: RegionName,
    /// Number of requests that the server executes concurrently.
    pub slots: u32,
    /// Number of connections that the server accepts.
    pub connections: u32,
    pub state: AnnouncedState,
    /// Load that the server reports, in permille of its slots.
    pub load: u32,
    /// Number of the server's incarnation; a restarted server announces a higher one.
    pub incarnation: u64,
    /// Number of the heartbeat within the incarnation.
    pub sequence: u64,
}

/// An announcement as it is sent between processes.
///
/// It is encoded as an array, because field names would take up half of each heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayedAnnouncement {
    pub announcement: Arc<ServerAnnouncement>,
    /// Age of the heartbeat in milliseconds, so that a delayed copy doesn't count as a new one.
    pub age_ms: u64,
}

/// Fields of a `RelayedAnnouncement` in the order of their encoding.
type RelayFields<Text> = (
    (Text, Text, Text),
    (SocketAddr, Text, Text),
    (u32, u32, AnnouncedState, u32),
    (u64, u64, u64),
);

impl Serialize for RelayedAnnouncement {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let item = &self.announcement;
        let fields: RelayFields<&str> = (
            (&item.team, &item.service, &item.server),
            (item.address, &item.availability_zone, &item.region),
            (item.slots, item.connections, item.state, item.load),
            (item.incarnation, item.sequence, self.age_ms),
        );
        fields.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for RelayedAnnouncement {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let (names, location, capacity, counters) =
            RelayFields::<Box<str>>::deserialize(deserializer)?;
        let announcement = ServerAnnouncement {
            team: names.0,
            service: names.1,
            server: names.2,
            address: location.0,
            availability_zone: location.1,
            region: location.2,
            slots: capacity.0,
            connections: capacity.1,
            state: capacity.2,
            load: capacity.3,
            incarnation: counters.0,
            sequence: counters.1,
        };
        Ok(Self { announcement: Arc::new(announcement), age_ms: counters.2 })
    }
}

/// A service, qualified by its team.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServiceKey {
    #[serde(rename = "t")]
    pub team: TeamName,
    #[serde(rename = "s")]
    pub service: ServiceName,
}

/// Life-cycle state of a server in the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LifeState {
    Starting,
    Ready,
    /// The heartbeat of a starting or ready server is late.
    Suspect,
    Draining,
    Gone,
}

/// Event in the life cycle of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifeEvent {
    /// A heartbeat of the known incarnation.
    Announced(AnnouncedState),
    /// A heartbeat of a new incarnation.
    Restarted(AnnouncedState),
    /// No heartbeat for `SUSPECT_AFTER`.
    HeartbeatLate,
    /// No heartbeat for `GONE_AFTER`, and the service is not under mass suspicion.
    HeartbeatLost,
}

/// Returns the state after `event` according to the server's state chart.
///
/// A new incarnation starts the chart anew, and so does a heartbeat of an expired server. A server
/// that announced `Gone` itself can't restart it that way, because its merged announcement stays
/// `Gone`.
pub fn next_state(state: LifeState, event: LifeEvent) -> LifeState {
    let chart = StateChart::server();
    let (from, event_name) = match event {
        LifeEvent::Restarted(announced) => (chart.initial(), announced.event_name()),
        LifeEvent::Announced(announced) if state == LifeState::Gone => {
            (chart.initial(), announced.event_name())
        }
        LifeEvent::Announced(announced) => (state.name(), announced.event_name()),
        LifeEvent::HeartbeatLate => (state.name(), "heartbeat_late"),
        LifeEvent::HeartbeatLost => (state.name(), "heartbeat_lost"),
    };
    let next_name = chart.next_state(from, event_name);
    let matching_state =
        LifeState::ALL.into_iter().find(|candidate| Some(candidate.name()) == next_name);
    // An event without a transition in the chart leaves the state unchanged.
    matching_state.unwrap_or(state)
}

impl LifeState {
    const ALL: [Self; 5] = [Self::Starting, Self::Ready, Self::Suspect, Self::Draining, Self::Gone];

    /// Name of the state in the chart.
    fn name(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Ready => "ready",
            Self::Suspect => "suspect",
            Self::Draining => "draining",
            Self::Gone => "gone",
        }
    }
}

impl AnnouncedState {
    /// Name of the event in the chart.
    fn event_name(self) -> &'static str {
        match self {
            Self::Starting => "announce_starting",
            Self::Ready => "announce_ready",
            Self::Draining => "announce_draining",
            Self::Gone => "announce_gone",
        }
    }
}

impl From<AnnouncedState> for LifeState {
    fn from(state: AnnouncedState) -> Self {
        match state {
            AnnouncedState::Starting => Self::Starting,
            AnnouncedState::Ready => Self::Ready,
            AnnouncedState::Draining => Self::Draining,
            AnnouncedState::Gone => Self::Gone,
        }
    }
}

impl ServerAnnouncement {
    /// Returns the key of the server's service.
    pub fn service_key(&self) -> ServiceKey {
        ServiceKey { team: self.team.clone(), service: self.service.clone() }
    }

    /// Returns the length of the longest text field, in bytes.
    pub fn max_text_bytes(&self) -> usize {
        let texts =
            [&self.team, &self.service, &self.server, &self.availability_zone, &self.region];
        texts.into_iter().map(|text| text.len()).max().unwrap_or(0)
    }

    /// Merges two announcements of one server; the result doesn't depend on their order.
    ///
    /// The announcement with the newer (incarnation, sequence) supplies the content. Draining and
    /// gone are kept from any announcement of the incarnation, even from an older one that arrives
    /// later. If the numbers are equal and the contents differ, which only a faulty server causes,
    /// the greater content wins.
    pub fn merge(self: &Arc<Self>, other: &Arc<Self>) -> Arc<Self> {
        let newer = if self.merge_order() >= other.merge_order() { self } else { other };
        let mut state = newer.state;
        if self.incarnation == other.incarnation {
            let leaving = self.leaving_state().max(other.leaving_state());
            state = leaving.map_or(state, |leaving| state.max(leaving));
            if self.sequence == other.sequence {
                state = self.state.max(other.state);
            }
        }
        // Nearly all heartbeats return here, without a copy of the text fields.
        if state == newer.state {
            return Arc::clone(newer);
        }
        Arc::new(Self { state, ..Self::clone(newer) })
    }

    fn merge_order(&self) -> impl Ord + '_ {
        (
            (self.incarnation, self.sequence),
            (self.address, self.slots, self.connections, self.load),
            (&self.availability_zone, &self.region),
        )
    }

    fn leaving_state(&self) -> Option<AnnouncedState> {
        (self.state >= AnnouncedState::Draining).then_some(self.state)
    }

    /// Returns whether two announcements of the same server are equal.
    pub(super) fn is_repeat_of(&self, other: &Self) -> bool {
        self.sequence == other.sequence
            && self.load == other.load
            && !self.differs_for_routing(other)
    }

    /// Returns whether two announcements of the same server differ in more than sequence and load.
    pub fn differs_for_routing(&self, other: &Self) -> bool {
        self.incarnation != other.incarnation
            || self.state != other.state
            || self.address != other.address
            || self.slots != other.slots
            || self.connections != other.connections
            || self.availability_zone != other.availability_zone
            || self.region != other.region
    }

    /// Returns a hash of all fields except sequence and load.
    ///
    /// These two change every second, so digests that included them would differ at every
    /// comparison. A lost change of them needs no repair, as the next heartbeat replaces it.
    pub fn content_digest(&self) -> u64 {
        let mut hasher = Sha256::new();
        let texts =
            [&self.team, &self.service, &self.server, &self.availability_zone, &self.region];
        for text in texts {
            hasher.update((text.len() as u64).to_be_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(self.address.to_string().as_bytes());
        hasher.update([0, self.state as u8]);
        hasher.update(self.slots.to_be_bytes());
        hasher.update(self.connections.to_be_bytes());
        hasher.update(self.incarnation.to_be_bytes());
        let digest = hasher.finalize();
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&digest[..8]);
        u64::from_be_bytes(prefix)
    }
}
