//! Operator's HTTP interface of a control process: settings, status, metrics and dump.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use async_std::future::timeout;
use async_std::net::TcpListener;
use async_std::task;
use futures_util::future::{Either, select};
use serde::Serialize;
use tide::{Request, Response};

use super::machines::encode;
use super::operator_error::OperatorError;
use super::process::{
    ControlInput, LeaseReport, RunningGroups, RunningGroupsCell, SETTINGS_GROUP, leader_name,
};
use super::routes::MemberNames;
use crate::admin::{AdminServer, json_response};
use crate::consensus::host::{ConfirmError, GroupStatus, ProposeError};
use crate::generated::operator::{
    ChangeReply, ChangeRequest, ChangeVerb, DocumentError, OutcomeName,
};
use crate::ids::{MemberId, ProcessName, SettingsRevision};
use crate::link::LinkHub;
use crate::metrics::ProcessMetrics;
use crate::schema::{DocumentSchema, SchemaError};
use crate::settings::{
    ChangeAction, ChangeOutcome, ROOT_BRANCH, RefusalReason, SettingsChange, effective_values,
    token_sha256,
};
use crate::status::{ClaimGroupSummary, MemberSummary, SystemStatus};

/// Longest wait of a `PUT` request until its change is in force on every entry.
///
/// The lease of an unreachable entry ends within the lease duration plus the allowance for clock
/// drift.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(20);

/// Longest wait of a `watch` request for a newer version.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);

/// Interval at which a waiting `watch` request checks the version.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// State of the operator's interface.
pub struct OperatorState {
    /// Name of the process.
    pub name: ProcessName,
    /// Member id of the process.
    pub member: MemberId,
    /// Running groups, set once the cluster is formed.
    pub groups: RunningGroupsCell,
    /// Process names of the members.
    pub member_names: MemberNames,
    /// Input queue of the control thread.
    pub input_queue: Sender<ControlInput>,
    /// Links to other processes, for their traffic metrics.
    pub hub: LinkHub,
    /// Metrics of the process.
    pub metrics: ProcessMetrics,
    /// Server of the operator port, by which handlers learn that the process stops.
    pub server: AdminServer,
}

type State = Arc<OperatorState>;

/// Serves the operator's interface.
pub fn serve(state: State, listener: TcpListener) {
    let server = state.server.clone();
    let mut app = tide::with_state(state);
    app.at("/health").get(|request| answer(request, get_health));
    app.at("/metrics").get(|request| answer(request, get_metrics));
    app.at("/status").get(|request| answer(request, get_status));
    app.at("/dump").get(|request| answer(request, get_status));
    app.at("/settings").put(|request| answer(request, put_settings));
    app.at("/settings/:branch").get(|request| answer(request, get_settings));
    app.at("/settings/:branch/history").get(|request| answer(request, get_history));
    app.at("/settings/:branch/watch/:after").get(|request| answer(request, watch_settings));
    app.at("/settings/:branch/effective/:service").get(|request| answer(request, get_effective));
    server.serve(listener, app);
}

async fn answer<F>(
    request: Request<State>,
    handler: impl FnOnce(Request<State>) -> F,
) -> tide::Result
where
    F: Future<Output = Result<Response, OperatorError>>,
{
    Ok(handler(request).await.unwrap_or_else(OperatorError::response))
}

fn running_groups(state: &OperatorState) -> Result<&RunningGroups, OperatorError> {
    state.groups.get().ok_or(OperatorError::Unformed)
}

async fn get_health(request: Request<State>) -> Result<Response, OperatorError> {
    running_groups(request.state())?;
    Ok(Response::new(200))
}

async fn get_metrics(request: Request<State>) -> Result<Response, OperatorError> {
    let state = request.state();
    if let Some(groups) = state.groups.get() {
        let revision = i64::try_from(groups.settings.lock().revision()).unwrap_or(i64::MAX);
        state.metrics.settings_revision.set(revision);
    }
    state.metrics.set_link_totals(state.hub.traffic());
    let mut response = Response::new(200);
    response.set_body(state.metrics.encode());
    response.insert_header("content-type", crate::entry::METRICS_CONTENT_TYPE);
    Ok(response)
}

/// Confirms that this process leads the settings group, so that it does not serve stale settings.
async fn confirm_leadership(state: &OperatorState) -> Result<&RunningGroups, OperatorError> {
    let groups = running_groups(state)?;
    match groups.host.confirm_leadership(SETTINGS_GROUP).await {
        Ok(_) => Ok(groups),
        Err(ConfirmError::NotLeader { leader }) => Err(OperatorError::NotLeader(
            leader.and_then(|member| state.member_names.process_name(member)),
        )),
        Err(ConfirmError::Busy) => Err(OperatorError::Busy),
        Err(ConfirmError::Stopped | ConfirmError::UnknownGroup(_)) => {
            Err(OperatorError::NotLeader(None))
        }
    }
}

/// Returns the SHA-256 of the request's bearer token.
fn bearer_token_sha256(request: &Request<State>) -> Option<Box<str>> {
    let value = request.header("authorization")?.last().as_str();
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token_sha256(token.trim()))
}

/// Authorizes reading a branch with the branch's own token or the root token.
fn authorize(
    request: &Request<State>,
    groups: &RunningGroups,
    branch: &str,
) -> Result<(), OperatorError> {
    let token = bearer_token_sha256(request).ok_or(OperatorError::Unauthorized)?;
    let store = groups.settings.lock();
    if store.authorizes(branch, &token) || store.authorizes(ROOT_BRANCH, &token) {
        return Ok(());
    }
    Err(OperatorError::Unauthorized)
}

fn path_parameter(request: &Request<State>, name: &str) -> String {
    request.param(name).unwrap_or_default().to_owned()
}

#[derive(Serialize)]
struct BranchBody<'a> {
    branch: &'a str,
    version: u64,
    revision: SettingsRevision,
    document: &'a str,
}

async fn get_settings(request: Request<State>) -> Result<Response, OperatorError> {
    let groups = confirm_leadership(request.state()).await?;
    let branch = path_parameter(&request, "branch");
    authorize(&request, groups, &branch)?;
    branch_response(groups, &branch)
}

fn branch_response(groups: &RunningGroups, branch: &str) -> Result<Response, OperatorError> {
    let store = groups.settings.lock();
    let (version, document) = store.document(branch).ok_or(OperatorError::NotFound)?;
    let body = BranchBody { branch, version, revision: store.revision(), document };
    Ok(json_response(200, &body))
}

#[derive(Serialize)]
struct HistoryLine {
    version: u64,
    revision: SettingsRevision,
    change_id: Box<str>,
    document: Option<Arc<str>>,
}

async fn get_history(request: Request<State>) -> Result<Response, OperatorError> {
    let groups = confirm_leadership(request.state()).await?;
    let branch = path_parameter(&request, "branch");
    authorize(&request, groups, &branch)?;
    let mut lines = Vec::new();
    for entry in groups.settings.lock().history(&branch) {
        lines.push(HistoryLine {
            version: entry.version,
            revision: entry.revision,
            change_id: entry.change_id.clone(),
            document: entry.document.clone(),
        });
    }
    Ok(json_response(200, &lines))
}

/// Responds with the branch once its version is above `after`, or with the current version after
/// [`WATCH_TIMEOUT`] or when the process stops.
async fn watch_settings(request: Request<State>) -> Result<Response, OperatorError> {
    let groups = confirm_leadership(request.state()).await?;
    let branch = path_parameter(&request, "branch");
    authorize(&request, groups, &branch)?;
    let after: u64 = path_parameter(&request, "after").parse().unwrap_or(0);
    let wait_for_newer_version = async {
        loop {
            let version = groups.settings.lock().document(&branch).map(|(version, _)| version);
            if version.is_some_and(|version| version > after) {
                return;
            }
            task::sleep(WATCH_POLL_INTERVAL).await;
        }
    };
    let wait_for_newer_version = timeout(WATCH_TIMEOUT, wait_for_newer_version);
    let _ = select(pin!(wait_for_newer_version), pin!(request.state().server.stopping())).await;
    confirm_leadership(request.state()).await?;
    branch_response(groups, &branch)
}

#[derive(Serialize)]
struct EffectiveLine {
    path: Box<str>,
    value: serde_json::Value,
    source: String,
}

async fn get_effective(request: Request<State>) -> Result<Response, OperatorError> {
    let groups = confirm_leadership(request.state()).await?;
    let branch = path_parameter(&request, "branch");
    let service = path_parameter(&request, "service");
    authorize(&request, groups, &branch)?;
    let store = groups.settings.lock();
    let (_, root) = store.document(ROOT_BRANCH).ok_or(OperatorError::NotFound)?;
    let (_, team) = store.document(&branch).ok_or(OperatorError::NotFound)?;
    let values = effective_values(root, &branch, team, &service)
        .map_err(first_error)?
        .ok_or(OperatorError::NotFound)?;
    let mut lines = Vec::new();
    for value in values {
        lines.push(EffectiveLine {
            path: value.path,
            value: value.value,
            source: value.source.to_string(),
        });
    }
    Ok(json_response(200, &lines))
}

fn first_error(errors: Vec<SchemaError>) -> OperatorError {
    match errors.into_iter().next() {
        Some(error) => OperatorError::Invalid(Box::new(error)),
        None => OperatorError::NotUtf8,
    }
}

async fn put_settings(mut request: Request<State>) -> Result<Response, OperatorError> {
    let body = request.body_bytes().await.unwrap_or_default();
    let text = String::from_utf8(body).map_err(|_| OperatorError::NotUtf8)?;
    let change_request: ChangeRequest =
        DocumentSchema::change_request().parse(&text).map_err(first_error)?;
    let token = bearer_token_sha256(&request).ok_or(OperatorError::Unauthorized)?;
    let change = build_change(change_request, token);
    let state = request.state();
    // The change would have to be in force before the process exits.
    if state.server.is_stopping() {
        return Err(OperatorError::Stopping);
    }
    let groups = running_groups(state)?;
    let outcome = propose_change(state, groups, &change).await?;
    if let ChangeOutcome::Accepted { revision, .. } = outcome {
        let (sender, receiver) = async_channel::bounded(1);
        let _ = state.input_queue.send(ControlInput::TrackChange(revision, sender)).await;
        let in_force = timeout(IN_FORCE_TIMEOUT, receiver.recv());
        match select(pin!(in_force), pin!(state.server.stopping())).await {
            Either::Left((Ok(Ok(true)), _)) => (),
            _ => return Err(OperatorError::NotInForce),
        }
        log::info!(branch:% = change.branch, change_id:% = change.change_id, revision; "settings change in force");
    }
    Ok(json_response(outcome_status(&outcome), &change_reply(outcome)))
}

fn build_change(request: ChangeRequest, token_sha256: Box<str>) -> SettingsChange {
    let document: Box<str> = request.document.unwrap_or_default().into();
    let team_token_sha256: Box<str> = request.team_token_sha256.unwrap_or_default().into();
    SettingsChange {
        branch: request.branch.into(),
        base_version: request.base_version.try_into().unwrap_or_default(),
        change_id: request.change_id.into(),
        token_sha256,
        action: match request.action {
            ChangeVerb::Replace => ChangeAction::Replace { document },
            ChangeVerb::Create => ChangeAction::Create { document, team_token_sha256 },
            ChangeVerb::Delete => ChangeAction::Delete,
            ChangeVerb::RotateToken => ChangeAction::RotateToken { team_token_sha256 },
        },
    }
}

async fn propose_change(
    state: &OperatorState,
    groups: &RunningGroups,
    change: &SettingsChange,
) -> Result<ChangeOutcome, OperatorError> {
    match groups.host.propose(SETTINGS_GROUP, encode(change)).await {
        Ok(response) => ciborium::from_reader(&*response).map_err(|_| OperatorError::Unknown),
        Err(ProposeError::NotLeader { leader }) => Err(OperatorError::NotLeader(
            leader.and_then(|member| state.member_names.process_name(member)),
        )),
        Err(ProposeError::Busy | ProposeError::TooLarge) => Err(OperatorError::Busy),
        Err(ProposeError::UnknownGroup(_)) => Err(OperatorError::Unformed),
        Err(ProposeError::LeadershipLost | ProposeError::Stopped) => Err(OperatorError::Unknown),
    }
}

fn outcome_status(outcome: &ChangeOutcome) -> u16 {
    match outcome {
        ChangeOutcome::Accepted { .. } => 200,
        ChangeOutcome::Conflict { .. } => 409,
        ChangeOutcome::Refused(RefusalReason::WrongToken) => 403,
        ChangeOutcome::Refused(RefusalReason::UnknownBranch) => 404,
        ChangeOutcome::Refused(_) => 422,
    }
}

fn change_reply(outcome: ChangeOutcome) -> ChangeReply {
    let mut reply = ChangeReply {
        errors: Vec::new(),
        outcome: OutcomeName::Refused,
        reason: None,
        revision: None,
        version: None,
    };
    match outcome {
        ChangeOutcome::Accepted { version, revision } => {
            reply.outcome = OutcomeName::Accepted;
            reply.version = i64::try_from(version).ok();
            reply.revision = i64::try_from(revision).ok();
        }
        ChangeOutcome::Conflict { current } => {
            reply.outcome = OutcomeName::Conflict;
            reply.version = i64::try_from(current).ok();
        }
        ChangeOutcome::Refused(reason) => {
            reply.reason = Some(reason.to_string());
            if let RefusalReason::InvalidDocument { errors } = reason {
                reply.errors = errors.into_iter().map(document_error).collect();
            }
        }
    }
    reply
}

fn document_error(error: SchemaError) -> DocumentError {
    let at_least_one =
        |value: u32| std::num::NonZeroU64::new(value.into()).unwrap_or(std::num::NonZeroU64::MIN);
    DocumentError {
        column: at_least_one(error.column),
        line: at_least_one(error.line),
        message: error.message.into(),
        path: error.path.into(),
    }
}

async fn get_status(request: Request<State>) -> Result<Response, OperatorError> {
    let state = request.state();
    let report = lease_report(state).await;
    let Some(groups) = state.groups.get() else {
        return Ok(json_response(200, &unformed_status(state, report)));
    };
    let confirmed = groups.host.confirm_leadership(SETTINGS_GROUP).await.is_ok();
    let statuses = groups.host.status().await;
    Ok(json_response(200, &system_status(state, groups, report, &statuses, confirmed)))
}

async fn lease_report(state: &OperatorState) -> LeaseReport {
    let (sender, receiver) = async_channel::bounded(1);
    if state.input_queue.send(ControlInput::LeaseReport(sender)).await.is_err() {
        return LeaseReport::default();
    }
    receiver.recv().await.unwrap_or_default()
}

fn unformed_status(state: &OperatorState, report: LeaseReport) -> SystemStatus {
    SystemStatus {
        name: state.name.clone(),
        cluster: None,
        leader: None,
        term: 0,
        confirmed: false,
        survivable_losses: None,
        members: Vec::new(),
        claim_groups: Vec::new(),
        branches: Default::default(),
        revision: 0,
        epoch: 0,
        entries: report.entries,
        servers: report.servers,
    }
}

fn system_status(
    state: &OperatorState,
    groups: &RunningGroups,
    report: LeaseReport,
    statuses: &[GroupStatus],
    confirmed: bool,
) -> SystemStatus {
    let own_member = (state.member, &state.name);
    let settings_status = statuses.iter().find(|status| status.group == SETTINGS_GROUP);
    let mut claim_groups = Vec::new();
    for status in statuses {
        let Some(store) = groups.claims.stores().get(&status.group) else {
            continue;
        };
        claim_groups.push(ClaimGroupSummary {
            group: status.group,
            leader: leader_name(status, own_member, &state.member_names),
            claims: store.lock().len(),
            survivable_losses: status.survivable_losses,
        });
    }
    let store = groups.settings.lock();
    let mut branches = std::collections::BTreeMap::new();
    for (name, version) in store.versions() {
        branches.insert(name.into(), version);
    }
    SystemStatus {
        name: state.name.clone(),
        cluster: Some(format!("{:016x}", store.cluster()).into()),
        leader: report.leader,
        term: report.term,
        confirmed,
        // Covers the settings group only; the client adds the claim groups, whose leaders may be
        // other processes.
        survivable_losses: settings_status.and_then(|status| status.survivable_losses),
        members: settings_status.map(member_lines).unwrap_or_default(),
        claim_groups,
        branches,
        revision: store.revision(),
        epoch: report.epoch,
        entries: report.entries,
        servers: report.servers,
    }
}

fn member_lines(status: &GroupStatus) -> Vec<MemberSummary> {
    let mut lines = Vec::new();
    for (member, record) in &status.members.members {
        lines.push(MemberSummary {
            name: record.name.clone(),
            member: format!("{member:016x}").into(),
            state: if record.voter { "voter" } else { "learner" }.into(),
            holds: status.match_indexes.get(member).copied(),
        });
    }
    // Member ids are random; the order by name stays the same when a member is replaced.
    lines.sort_by(|left, right| left.name.cmp(&right.name));
    lines
}
