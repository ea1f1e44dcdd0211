//! Runs all groups of a process on one thread with one write-ahead log.

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

/// Longest payload of one proposal.
pub const MAX_PAYLOAD_BYTES: usize = 4 << 20;

/// Bytes of messages and proposals that may wait for the host's thread.
const MAX_QUEUED_BYTES: usize = 64 << 20;

/// Notices that may wait for a subscriber; its channel is closed when it falls further behind.
const NOTICE_BACKLOG: usize = 4096;

/// Replicated state machine of a group; it must be deterministic.
pub trait GroupMachine: Send {
    /// Applies a committed payload and returns the response for its proposer.
    fn apply(&mut self, index: LogIndex, payload: &[u8]) -> Vec<u8>;
    /// Complete state after the last applied payload.
    fn snapshot(&self) -> Vec<u8>;
    /// Replaces the state by a snapshot.
    fn restore(&mut self, data: &[u8]) -> Result<(), RestoreError>;
}

/// A state machine cannot read a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the snapshot cannot be restored: {0}")]
pub struct RestoreError(pub Box<str>);

/// Settings of a host.
#[derive(Debug, Clone)]
pub struct HostConfig {
    pub name: ProcessName,
    pub member: MemberId,
    /// Initial list of the formation; empty for a newcomer.
    pub initial: MemberSet,
    /// Members that a newcomer sends its join requests to.
    pub contacts: Vec<MemberId>,
    pub raft: RaftConfig,
    pub tick_interval: Duration,
    pub seed: u64,
    /// Entries applied since the last snapshot before the next one is taken.
    pub compact_entries: u64,
    /// Payload bytes applied since the last snapshot before the next one is taken.
    pub compact_bytes: usize,
    /// Segments above which groups that keep the oldest one alive are compacted early.
    pub max_segments: usize,
    /// Messages and requests that may wait, each.
    pub queue_length: usize,
    /// Outgoing messages that may wait; further ones are dropped and sent again later.
    pub outgoing_length: usize,
}

impl HostConfig {
    /// Default settings for one member.
    pub fn new(name: ProcessName, member: MemberId, initial: MemberSet, seed: u64) -> Self {
        Self {
            name,
            member,
            contacts: initial.members.keys().copied().collect(),
            initial,
            raft: RaftConfig::default(),
            tick_interval: Duration::from_millis(20),
            seed,
            compact_entries: 10_000,
            compact_bytes: 4 << 20,
            max_segments: 4,
            queue_length: 4096,
            outgoing_length: 4096,
        }
    }
}

/// Why the host's thread ended early. The process must stop.
#[derive(Debug, Error)]
pub enum HostError {
    #[error(transparent)]
    Storage(#[from] StorageError),
    #[error("group {group}: {error}")]
    Restore { group: GroupId, error: RestoreError },
    #[error("the operating system cannot start a thread: {0}")]
    Thread(std::io::Error),
    #[error("the consensus thread panicked")]
    Panicked,
}

/// Outcome of a proposal that was not applied for its proposer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ProposeError {
    #[error("this member does not lead the group")]
    NotLeader { leader: Option<MemberId> },
    #[error("too many proposals are waiting; nothing was proposed")]
    Busy,
    #[error("leadership was lost; the outcome is unknown")]
    Lost,
    #[error("the host has stopped; the outcome is unknown if the proposal was accepted before")]
    Stopped,
    #[error("the payload is longer than {MAX_PAYLOAD_BYTES} bytes")]
    TooLarge,
    #[error("group {0} does not exist")]
    NoGroup(GroupId),
}

/// Why leadership was not confirmed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ConfirmError {
    #[error("this member does not lead the group")]
    NotLeader { leader: Option<MemberId> },
    #[error("too many confirmations are waiting")]
    Busy,
    #[error("the host has stopped")]
    Stopped,
    #[error("group {0} does not exist")]
    NoGroup(GroupId),
}

/// Why a member change was not made.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ChangeError {
    #[error("this member does not lead the group")]
    NotLeader { leader: Option<MemberId> },
    #[error("another change is in progress")]
    Busy,
    #[error(transparent)]
    Refused(#[from] MemberError),
    #[error("leadership was lost; the outcome is unknown")]
    Lost,
    #[error("the host has stopped")]
    Stopped,
    #[error("group {0} does not exist")]
    NoGroup(GroupId),
}

/// State of one group as this member knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupStatus {
    pub group: GroupId,
    pub role: Role,
    pub term: TermNumber,
    pub leader: Option<MemberId>,
    pub members: MemberSet,
    pub commit: LogIndex,
    pub applied: LogIndex,
    /// Synced prefix of each member's log; known by the leader only.
    pub match_indexes: BTreeMap<MemberId, LogIndex>,
    /// Voters that can be lost now without loss of data or majority; known by the leader only.
    pub survivable_losses: Option<usize>,
}

/// What a subscriber of a group learns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GroupNotice {
    Role {
        role: Role,
        term: TermNumber,
        leader: Option<MemberId>,
    },
    Committed {
        index: LogIndex,
        payload: Arc<[u8]>,
    },
    /// The state machine was replaced by a snapshot at this index.
    Restored {
        index: LogIndex,
    },
}

/// One group to run.
pub struct GroupSpec {
    pub group: GroupId,
    pub machine: Box<dyn GroupMachine>,
    /// State recovered by [`LogStorage::open`]; default for a new group.
    pub recovered: RecoveredGroup,
}

pub(super) type Reply<T, E> = Sender<Result<T, E>>;

/// Request to the host's thread.
pub(super) enum HostCommand {
    Propose { group: GroupId, payload: Vec<u8>, reply: Reply<Vec<u8>, ProposeError> },
    Confirm { group: GroupId, reply: Reply<LogIndex, ConfirmError> },
    Change { group: GroupId, change: MemberChange, reply: Reply<LogIndex, ChangeError> },
    Status { reply: Sender<Vec<GroupStatus>> },
    Subscribe { group: GroupId, sender: Sender<GroupNotice> },
    Contacts(Vec<MemberId>),
    Transfer { to: Option<MemberId>, done: Sender<()> },
    Stop { done: Sender<()> },
}

/// Queues into the host's thread.
pub(super) struct HostQueues {
    pub(super) messages: Receiver<RaftMessage>,
    pub(super) commands: Receiver<HostCommand>,
    pub(super) wake: Receiver<()>,
    pub(super) ticks: Receiver<std::time::Instant>,
    pub(super) outgoing: Sender<(MemberId, RaftMessage)>,
    pub(super) queued_bytes: Arc<AtomicUsize>,
}

/// Host with its thread.
pub struct ConsensusHost {
    handle: HostHandle,
    outgoing: Receiver<(MemberId, RaftMessage)>,
    thread: JoinHandle<Result<(), HostError>>,
}

impl ConsensusHost {
    /// Restores the groups and starts the thread.
    pub fn start(
        config: HostConfig,
        storage: LogStorage,
        groups: Vec<GroupSpec>,
        timers: &TimerService,
    ) -> Result<Self, HostError> {
        let (message_sender, messages) = async_channel::bounded(config.queue_length);
        let (command_sender, commands) = async_channel::bounded(config.queue_length);
        let (wake_sender, wake) = async_channel::bounded(1);
        let (outgoing_sender, outgoing) = async_channel::bounded(config.outgoing_length);
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
        Ok(Self { handle, outgoing, thread: thread.map_err(HostError::Thread)? })
    }

    pub fn handle(&self) -> HostHandle {
        self.handle.clone()
    }

    /// Messages to deliver to other members; one that is lost is sent again later.
    pub fn outgoing(&self) -> Receiver<(MemberId, RaftMessage)> {
        self.outgoing.clone()
    }

    /// Waits for the thread; an error means that the process must stop.
    pub fn join(self) -> Result<(), HostError> {
        self.thread.join().unwrap_or(Err(HostError::Panicked))
    }
}

/// Access to a host from other threads.
#[derive(Clone)]
pub struct HostHandle {
    messages: Sender<RaftMessage>,
    commands: Sender<HostCommand>,
    wake: Sender<()>,
    queued_bytes: Arc<AtomicUsize>,
}

impl HostHandle {
    /// Replicates `payload` and returns the state machine's response once it is committed.
    pub async fn propose(&self, group: GroupId, payload: Vec<u8>) -> Result<Vec<u8>, ProposeError> {
        if payload.len() > MAX_PAYLOAD_BYTES {
            return Err(ProposeError::TooLarge);
        }
        let size = payload.len();
        if !self.reserve(size) {
            return Err(ProposeError::Busy);
        }
        let (reply, answer) = async_channel::bounded(1);
        if let Err(error) = self.commands.try_send(HostCommand::Propose { group, payload, reply }) {
            self.queued_bytes.fetch_sub(size, Ordering::Relaxed);
            return Err(if error.is_full() { ProposeError::Busy } else { ProposeError::Stopped });
        }
        self.wake();
        answer.recv().await.unwrap_or(Err(ProposeError::Stopped))
    }

    /// Confirms leadership with a majority; all entries up to the returned index are applied here.
    pub async fn confirm(&self, group: GroupId) -> Result<LogIndex, ConfirmError> {
        let (reply, answer) = async_channel::bounded(1);
        if let Err(error) = self.commands.try_send(HostCommand::Confirm { group, reply }) {
            return Err(if error.is_full() { ConfirmError::Busy } else { ConfirmError::Stopped });
        }
        self.wake();
        answer.recv().await.unwrap_or(Err(ConfirmError::Stopped))
    }

    /// Changes one member; returns the index of the committed list.
    pub async fn change(
        &self,
        group: GroupId,
        change: MemberChange,
    ) -> Result<LogIndex, ChangeError> {
        let (reply, answer) = async_channel::bounded(1);
        if let Err(error) = self.commands.try_send(HostCommand::Change { group, change, reply }) {
            return Err(if error.is_full() { ChangeError::Busy } else { ChangeError::Stopped });
        }
        self.wake();
        answer.recv().await.unwrap_or(Err(ChangeError::Stopped))
    }

    /// Passes on a message that arrived from `from`; dropped when the host cannot keep up.
    pub fn deliver(&self, from: MemberId, message: RaftMessage) {
        let size = message.size();
        if message.from != from || !self.reserve(size) {
            return;
        }
        if self.messages.try_send(message).is_err() {
            self.queued_bytes.fetch_sub(size, Ordering::Relaxed);
            return;
        }
        self.wake();
    }

    /// State of all groups; empty when the host has stopped.
    pub async fn status(&self) -> Vec<GroupStatus> {
        let (reply, answer) = async_channel::bounded(1);
        if !self.command(HostCommand::Status { reply }).await {
            return Vec::new();
        }
        answer.recv().await.unwrap_or_default()
    }

    /// Subscribes to a group; the channel closes when the subscriber falls too far behind.
    pub async fn subscribe(&self, group: GroupId) -> Receiver<GroupNotice> {
        let (sender, receiver) = async_channel::bounded(NOTICE_BACKLOG);
        self.command(HostCommand::Subscribe { group, sender }).await;
        receiver
    }

    /// Replaces the members that join requests are sent to.
    pub async fn contacts(&self, members: Vec<MemberId>) {
        self.command(HostCommand::Contacts(members)).await;
    }

    /// Starts to hand over leadership of all groups led here, to `to` or to the best voter.
    pub async fn transfer(&self, to: Option<MemberId>) {
        let (done, answer) = async_channel::bounded(1);
        if self.command(HostCommand::Transfer { to, done }).await {
            let _ = answer.recv().await;
        }
    }

    /// Stops the thread after it has processed what arrived before.
    pub async fn stop(&self) {
        let (done, answer) = async_channel::bounded(1);
        if self.command(HostCommand::Stop { done }).await {
            let _ = answer.recv().await;
        }
    }

    async fn command(&self, command: HostCommand) -> bool {
        let sent = self.commands.send(command).await.is_ok();
        self.wake();
        sent
    }

    fn reserve(&self, size: usize) -> bool {
        let before = self.queued_bytes.fetch_add(size, Ordering::Relaxed);
        if before + size <= MAX_QUEUED_BYTES {
            return true;
        }
        self.queued_bytes.fetch_sub(size, Ordering::Relaxed);
        false
    }

    fn wake(&self) {
        // A full channel means that the thread will wake anyway.
        let _ = self.wake.try_send(());
    }
}
