//! What a server announces, and the life cycle that the directory derives from it.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest, Sha256};

use crate::ids::{RegionName, ServerId, ServiceName, TeamName, ZoneName};
use crate::life_cycle::StateChart;

/// State that a server announces for itself, ordered by progress within one incarnation.
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
    /// Requests that the server executes at the same time.
    pub slots: u32,
    /// Connections that the server accepts.
    pub connections: u32,
    pub state: AnnouncedState,
    /// The server's own load report, in permille of its slots.
    pub load: u32,
    /// Number of the server's run; a restarted server announces a higher one.
    pub incarnation: u64,
    /// Number of the heartbeat within the incarnation.
    pub sequence: u64,
}

/// An announcement on its way between entries.
///
/// It is encoded as an array, as the names of its fields would be half of each heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayedAnnouncement {
    pub announcement: Arc<ServerAnnouncement>,
    /// Milliseconds since the server was heard, so that a late copy doesn't count as a new heartbeat.
    pub age_ms: u64,
}

/// Order of the fields in the encoding of a `RelayedAnnouncement`.
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
        let (names, place, size, numbers) = RelayFields::<Box<str>>::deserialize(deserializer)?;
        let announcement = ServerAnnouncement {
            team: names.0,
            service: names.1,
            server: names.2,
            address: place.0,
            availability_zone: place.1,
            region: place.2,
            slots: size.0,
            connections: size.1,
            state: size.2,
            load: size.3,
            incarnation: numbers.0,
            sequence: numbers.1,
        };
        Ok(Self { announcement: Arc::new(announcement), age_ms: numbers.2 })
    }
}

/// A service within its team.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServiceKey {
    #[serde(rename = "t")]
    pub team: TeamName,
    #[serde(rename = "s")]
    pub service: ServiceName,
}

/// Life-cycle state of a server as the directory sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LifeState {
    Starting,
    Ready,
    /// Was starting or ready, and its heartbeat is late.
    Suspect,
    Draining,
    Gone,
}

/// What moves a server through its life cycle.
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

/// Returns the state after `event` by the chart of a server.
///
/// A new incarnation starts a new run of the chart, and so does a heartbeat of an expired server. A
/// server that announced `gone` never gets there, because its merged record keeps announcing `Gone`.
pub fn next_state(state: LifeState, event: LifeEvent) -> LifeState {
    let chart = StateChart::server();
    let (from, name) = match event {
        LifeEvent::Restarted(announced) => (chart.initial(), announced.event_name()),
        LifeEvent::Announced(announced) if state == LifeState::Gone => {
            (chart.initial(), announced.event_name())
        }
        LifeEvent::Announced(announced) => (state.name(), announced.event_name()),
        LifeEvent::HeartbeatLate => (state.name(), "heartbeat_late"),
        LifeEvent::HeartbeatLost => (state.name(), "heartbeat_lost"),
    };
    let next = chart.next_state(from, name);
    let found = LifeState::ALL.into_iter().find(|found| Some(found.name()) == next);
    // An event that the chart does not name for a state leaves it as it is.
    found.unwrap_or(state)
}

impl LifeState {
    const ALL: [Self; 5] = [Self::Starting, Self::Ready, Self::Suspect, Self::Draining, Self::Gone];

    /// Name in the chart.
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
    /// Event of the chart.
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
    /// Returns the service that the server belongs to.
    pub fn service_key(&self) -> ServiceKey {
        ServiceKey { team: self.team.clone(), service: self.service.clone() }
    }

    /// Returns the bytes of the longest text field.
    pub fn longest_text(&self) -> usize {
        let texts =
            [&self.team, &self.service, &self.server, &self.availability_zone, &self.region];
        texts.into_iter().map(|text| text.len()).max().unwrap_or(0)
    }

    /// Joins two announcements of one server, independent of their order.
    ///
    /// The newer (incarnation, sequence) supplies the content. Draining and gone are kept from any
    /// announcement of the incarnation, also from an older one that arrives later. For equal
    /// numbers with different content, which only a faulty server sends, the greater content wins.
    pub fn merge(self: &Arc<Self>, other: &Arc<Self>) -> Arc<Self> {
        let newer = if self.rank() >= other.rank() { self } else { other };
        let mut state = newer.state;
        if self.incarnation == other.incarnation {
            let floor = self.final_state().max(other.final_state());
            state = floor.map_or(state, |floor| state.max(floor));
            if self.sequence == other.sequence {
                state = self.state.max(other.state);
            }
        }
        // Nearly all heartbeats end here, without a copy of the text fields.
        if state == newer.state {
            return Arc::clone(newer);
        }
        Arc::new(Self { state, ..Self::clone(newer) })
    }

    fn rank(&self) -> impl Ord + '_ {
        (
            (self.incarnation, self.sequence),
            (self.address, self.slots, self.connections, self.load),
            (&self.availability_zone, &self.region),
        )
    }

    fn final_state(&self) -> Option<AnnouncedState> {
        (self.state >= AnnouncedState::Draining).then_some(self.state)
    }

    /// Returns whether the two are equal, if they are of the same server.
    pub(super) fn same_heartbeat(&self, other: &Self) -> bool {
        self.sequence == other.sequence
            && self.load == other.load
            && !self.differs_for_routing(other)
    }

    /// Returns whether the two differ in more than the heartbeat number and the load.
    pub fn differs_for_routing(&self, other: &Self) -> bool {
        self.incarnation != other.incarnation
            || self.state != other.state
            || self.address != other.address
            || self.slots != other.slots
            || self.connections != other.connections
            || self.availability_zone != other.availability_zone
            || self.region != other.region
    }

    /// Hashes everything but the heartbeat number and the load.
    ///
    /// These two change each second, so digests that cover them would differ at every comparison;
    /// the next heartbeat replaces a lost one anyway.
    pub fn content_digest(&self) -> u64 {
        let mut hash = Sha256::new();
        let texts =
            [&self.team, &self.service, &self.server, &self.availability_zone, &self.region];
        for text in texts {
            hash.update((text.len() as u64).to_be_bytes());
            hash.update(text.as_bytes());
        }
        hash.update(self.address.to_string().as_bytes());
        hash.update([0, self.state as u8]);
        hash.update(self.slots.to_be_bytes());
        hash.update(self.connections.to_be_bytes());
        hash.update(self.incarnation.to_be_bytes());
        let digest = hash.finalize();
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&digest[..8]);
        u64::from_be_bytes(prefix)
    }
}
