//! Consensus host: runs all Raft groups of a process on one thread with a shared write-ahead log.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use thiserror::Error;

use super::config::RaftConfig;
use super::host_loop::HostLoop;
use super::members::{MemberChange, MemberError, MemberSet};
use super::message::RaftMessage;
use super::node::Role;
use crate::ids::{GroupId, LogIndex, MemberId, ProcessName, TermNumber};
use crate::storage::{LogStorage, RecoveredGroup, StorageError};
use crate::timer::TimerService;

/// Maximum payload size of one proposal.
pub const MAX_PAYLOAD_BYTES: usize = 4 << 20;

/// Maximum bytes of messages and proposals queued for the host's thread.
const MAX_QUEUED_BYTES: usize = 64 << 20;

/// Events buffered per subscriber; the channel of a subscriber that falls further behind is closed.
const SUBSCRIBER_QUEUE_CAPACITY: usize = 4096;

/// Replicated state machine of a group; must be deterministic.
pub trait StateMachine: Send {
    /// Applies a committed payload and returns the response for the proposer.
    fn apply(&mut self, index: LogIndex, payload: &[u8]) -> Vec<u8>;
    /// Serializes the complete state after the last applied payload.
    fn snapshot(&self) -> Vec<u8>;
    /// Replaces the state with a snapshot.
    fn restore(&mut self, data: &[u8]) -> Result<(), RestoreError>;
}

/// Error of a state machine that cannot decode a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the snapshot cannot be restored: {0}")]
pub struct RestoreError(pub Box<str>);

/// Configuration of a consensus host.
#[derive(Debug, Clone)]
pub struct HostConfig {
    pub name: ProcessName,
    pub member: MemberId,
    /// Initial member set of the cluster; empty for a member that joins later.
    pub initial: MemberSet,
    /// Members that receive the join requests of a member that is not in the member set.
    pub join_targets: Vec<MemberId>,
    pub raft: RaftConfig,
    pub tick_interval: Duration,
    pub seed: u64,
    /// Number of applied entries after which the next snapshot is taken.
    pub snapshot_interval_entries: u64,
    /// Bytes of applied entries after which the next snapshot is taken.
    pub snapshot_interval_bytes: usize,
    /// Segment count above which groups that pin the oldest segment get a snapshot early.
    pub max_segments: usize,
    /// Capacity of the queue of incoming messages and of the queue of commands.
    pub queue_capacity: usize,
    /// Capacity of the outgoing message queue; messages beyond it are dropped and sent again later.
    pub outgoing_capacity: usize,
}

impl HostConfig {
    /// Default configuration for one member.
    pub fn new(name: ProcessName, member: MemberId, initial: MemberSet, seed: u64) -> Self {
        Self {
            name,
            member,
            join_targets: initial.members.keys().copied().collect(),
            initial,
            raft: RaftConfig::default(),
            tick_interval: Duration::from_millis(20),
            seed,
            snapshot_interval_entries: 10_000,
            snapshot_interval_bytes: 4 << 20,
            max_segments: 4,
            queue_capacity: 4096,
            outgoing_capacity: 4096,
        }
    }
}

/// Fatal failure of a host. The process must stop.
#[derive(Debug, Error)]
pub enum HostError {
    #[error(transparent)]
    Storage(#[from] StorageError),
    #[error("group {group}: {error}")]
    Restore { group: GroupId, error: RestoreError },
    #[error("failed to start the consensus thread: {0}")]
    SpawnThread(std::io::Error),
    #[error("the consensus thread panicked")]
    Panicked,
}

/// Reason why a proposal has no response.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ProposeError {
    #[error("this member does not lead the group")]
    NotLeader { leader: Option<MemberId> },
    #[error("too many proposals are pending; nothing was proposed")]
    Busy,
    #[error("leadership was lost; the outcome is unknown")]
    LeadershipLost,
    #[error("the host has stopped; the outcome is unknown if the proposal was accepted before")]
    Stopped,
    #[error("the payload exceeds {MAX_PAYLOAD_BYTES} bytes")]
    TooLarge,
    #[error("group {0} does not exist")]
    UnknownGroup(GroupId),
}

/// Reason why leadership was not confirmed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ConfirmError {
    #[error("this member does not lead the group")]
    NotLeader { leader: Option<MemberId> },
    #[error("too many confirmations are pending")]
    Busy,
    #[error("the host has stopped")]
    Stopped,
    #[error("group {0} does not exist")]
    UnknownGroup(GroupId),
}

/// Reason why a member change has no confirmed result.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ChangeError {
    #[error("this member does not lead the group")]
    NotLeader { leader: Option<MemberId> },
    #[error("another change is in progress or the group is busy")]
    Busy,
    #[error(transparent)]
    Refused(#[from] MemberError),
    #[error("leadership was lost; the outcome is unknown")]
    LeadershipLost,
    #[error("the host has stopped")]
    Stopped,
    #[error("group {0} does not exist")]
    UnknownGroup(GroupId),
}

/// Status of one group, as seen by this member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupStatus {
    pub group: GroupId,
    pub role: Role,
    pub term: TermNumber,
    pub leader: Option<MemberId>,
    pub members: MemberSet,
    pub commit: LogIndex,
    pub applied: LogIndex,
    /// Match index of each member, up to which its log is synced; known by the leader only.
    pub match_indexes: BTreeMap<MemberId, LogIndex>,
    /// Number of voters that can be lost now without losing data or the quorum; known by the leader
    /// only.
    pub survivable_losses: Option<usize>,
}

/// Event sent to the subscribers of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GroupEvent {
    RoleChanged {
        role: Role,
        term: TermNumber,
        leader: Option<MemberId>,
    },
    Committed {
        index: LogIndex,
        payload: Arc<[u8]>,
    },
    /// The state machine was restored from a snapshot at this index.
    Restored {
        index: LogIndex,
    },
}

/// Group to be run by a host.
pub struct GroupSpec {
    pub group: GroupId,
    pub machine: Box<dyn StateMachine>,
    /// State recovered by [`LogStorage::open`]; the default value for a new group.
    pub recovered: RecoveredGroup,
}

pub(super) type ReplySender<T, E> = Sender<Result<T, E>>;

/// Command to the host's thread.
pub(super) enum HostCommand {
    Propose {
        group: GroupId,
        payload: Vec<u8>,
        reply: ReplySender<Vec<u8>, ProposeError>,
    },
    ConfirmLeadership {
        group: GroupId,
        reply: ReplySender<LogIndex, ConfirmError>,
    },
    ChangeMembers {
        group: GroupId,
        change: MemberChange,
        reply: ReplySender<LogIndex, ChangeError>,
    },
    Status {
        reply: Sender<Vec<GroupStatus>>,
    },
    Subscribe {
        group: GroupId,
        sender: Sender<GroupEvent>,
    },
    SetJoinTargets(Vec<MemberId>),
    TransferLeadership {
        to: Option<MemberId>,
        done: Sender<()>,
    },
    Stop {
        done: Sender<()>,
    },
}

/// The host thread's ends of its queues.
pub(super) struct HostQueues {
    pub(super) messages: Receiver<RaftMessage>,
    pub(super) commands: Receiver<HostCommand>,
    pub(super) wake: Receiver<()>,
    pub(super) ticks: Receiver<std::time::Instant>,
    pub(super) outgoing: Sender<(MemberId, RaftMessage)>,
    pub(super) queued_bytes: Arc<AtomicUsize>,
}

/// Running consensus host.
pub struct ConsensusHost {
    handle: HostHandle,
    outgoing: Receiver<(MemberId, RaftMessage)>,
    thread: JoinHandle<Result<(), HostError>>,
}

impl ConsensusHost {
    /// Restores all groups and starts the host's thread.
    pub fn start(
        config: HostConfig,
        storage: LogStorage,
        groups: Vec<GroupSpec>,
        timers: &TimerService,
    ) -> Result<Self, HostError> {
        let (message_sender, messages) = async_channel::bounded(config.queue_capacity);
        let (command_sender, commands) = async_channel::bounded(config.queue_capacity);
        let (wake_sender, wake) = async_channel::bounded(1);
        let (outgoing_sender, outgoing) = async_channel::bounded(config.outgoing_capacity);
        let queued_bytes = Arc::new(AtomicUsize::new(0));
        let queues = HostQueues {
            messages,
            commands,
            wake,
            ticks: timers.every(config.tick_interval),
            outgoing: outgoing_sender,
            queued_bytes: Arc::clone(&queued_bytes),
        };
        let host = HostLoop::new(config, storage, groups, queues)?;
        let thread = thread::Builder::new().name("consensus".to_owned()).spawn(move || host.run());
        let handle = HostHandle {
            messages: message_sender,
            commands: command_sender,
            wake: wake_sender,
            queued_bytes,
        };
        Ok(Self { handle, outgoing, thread: thread.map_err(HostError::SpawnThread)? })
    }

    pub fn handle(&self) -> HostHandle {
        self.handle.clone()
    }

    /// Messages to deliver to other members; lost messages are sent again later.
    pub fn outgoing(&self) -> Receiver<(MemberId, RaftMessage)> {
        self.outgoing.clone()
    }

    /// Waits for the thread to end. After an error the process must stop.
    pub fn join(self) -> Result<(), HostError> {
        self.thread.join().unwrap_or(Err(HostError::Panicked))
    }
}

/// Cloneable handle to a host.
#[derive(Clone)]
pub struct HostHandle {
    messages: Sender<RaftMessage>,
    commands: Sender<HostCommand>,
    wake: Sender<()>,
    queued_bytes: Arc<AtomicUsize>,
}

impl HostHandle {
    /// Replicates `payload` and returns the state machine's response once it is applied.
    pub async fn propose(&self, group: GroupId, payload: Vec<u8>) -> Result<Vec<u8>, ProposeError> {
        if payload.len() > MAX_PAYLOAD_BYTES {
            return Err(ProposeError::TooLarge);
        }
        let size = payload.len();
        if !self.reserve_queue_bytes(size) {
            return Err(ProposeError::Busy);
        }
        let (reply, answer) = async_channel::bounded(1);
        if let Err(error) = self.commands.try_send(HostCommand::Propose { group, payload, reply }) {
            self.queued_bytes.fetch_sub(size, Ordering::Relaxed);
            return Err(if error.is_full() { ProposeError::Busy } else { ProposeError::Stopped });
        }
        self.wake_loop();
        answer.recv().await.unwrap_or(Err(ProposeError::Stopped))
    }

    /// Confirms leadership with a quorum; all entries up to the returned index are applied on this
    /// member.
    pub async fn confirm_leadership(&self, group: GroupId) -> Result<LogIndex, ConfirmError> {
        let (reply, answer) = async_channel::bounded(1);
        if let Err(error) = self.commands.try_send(HostCommand::ConfirmLeadership { group, reply })
        {
            return Err(if error.is_full() { ConfirmError::Busy } else { ConfirmError::Stopped });
        }
        self.wake_loop();
        answer.recv().await.unwrap_or(Err(ConfirmError::Stopped))
    }

    /// Changes one member; returns the index of the committed member set.
    pub async fn change_members(
        &self,
        group: GroupId,
        change: MemberChange,
    ) -> Result<LogIndex, ChangeError> {
        let (reply, answer) = async_channel::bounded(1);
        if let Err(error) =
            self.commands.try_send(HostCommand::ChangeMembers { group, change, reply })
        {
            return Err(if error.is_full() { ChangeError::Busy } else { ChangeError::Stopped });
        }
        self.wake_loop();
        answer.recv().await.unwrap_or(Err(ChangeError::Stopped))
    }

    /// Queues a message received from `from`; drops it when the queue is full.
    pub fn deliver(&self, from: MemberId, message: RaftMessage) {
        let size = message.size_bytes();
        if message.from != from || !self.reserve_queue_bytes(size) {
            return;
        }
        if self.messages.try_send(message).is_err() {
            self.queued_bytes.fetch_sub(size, Ordering::Relaxed);
            return;
        }
        self.wake_loop();
    }

    /// Status of all groups; empty if the host has stopped.
    pub async fn status(&self) -> Vec<GroupStatus> {
        let (reply, answer) = async_channel::bounded(1);
        if !self.send_command(HostCommand::Status { reply }).await {
            return Vec::new();
        }
        answer.recv().await.unwrap_or_default()
    }

    /// Subscribes to the events of a group; the channel closes when the subscriber falls too far
    /// behind.
    pub async fn subscribe(&self, group: GroupId) -> Receiver<GroupEvent> {
        let (sender, receiver) = async_channel::bounded(SUBSCRIBER_QUEUE_CAPACITY);
        self.send_command(HostCommand::Subscribe { group, sender }).await;
        receiver
    }

    /// Replaces the members that join requests are sent to; see [`HostConfig::join_targets`].
    pub async fn set_join_targets(&self, members: Vec<MemberId>) {
        self.send_command(HostCommand::SetJoinTargets(members)).await;
    }

    /// Starts to transfer leadership of all groups led by this member, to `to` or to the voter with
    /// the longest log.
    pub async fn transfer_leadership(&self, to: Option<MemberId>) {
        let (done, answer) = async_channel::bounded(1);
        if self.send_command(HostCommand::TransferLeadership { to, done }).await {
            let _ = answer.recv().await;
        }
    }

    /// Stops the thread after it has processed the commands queued before.
    pub async fn stop(&self) {
        let (done, answer) = async_channel::bounded(1);
        if self.send_command(HostCommand::Stop { done }).await {
            let _ = answer.recv().await;
        }
    }

    async fn send_command(&self, command: HostCommand) -> bool {
        let sent = self.commands.send(command).await.is_ok();
        self.wake_loop();
        sent
    }

    fn reserve_queue_bytes(&self, size: usize) -> bool {
        let previous_bytes = self.queued_bytes.fetch_add(size, Ordering::Relaxed);
        if previous_bytes + size <= MAX_QUEUED_BYTES {
            return true;
        }
        self.queued_bytes.fetch_sub(size, Ordering::Relaxed);
        false
    }

    fn wake_loop(&self) {
        // A full channel already holds a wake-up for the thread.
        let _ = self.wake.try_send(());
    }
}
