//! HTTP endpoint at which servers announce themselves.

use std::sync::Arc;

use super::context::EntryContext;
use super::control::ControlInput;
use super::page;
use crate::directory::{AnnouncedState, ServerAnnouncement};
use crate::generated::announcement::{AnnouncedState as WireState, AnnouncementDocument};
use crate::http::{CallerConnection, HttpError, RequestHead};
use crate::schema::{DocumentSchema, SchemaError};
use crate::settings::{token_matches, token_sha256};

/// Maximum size of an announcement body in bytes.
const MAX_ANNOUNCEMENT_BYTES: u64 = 4096;

/// Reason for which an announcement was refused.
#[derive(Debug, thiserror::Error)]
enum AnnounceError {
    #[error("announcements are sent by POST")]
    Method,
    #[error("the body is not UTF-8")]
    NotText,
    #[error("the body is not a valid announcement: {0}")]
    Document(Box<SchemaError>),
    #[error("the body is not a valid announcement")]
    Unreadable,
    #[error("no settings are in force yet")]
    NoSettings,
    #[error("the token is wrong for this team, or the team does not exist")]
    Token,
    #[error("the team has no such service")]
    Service,
    #[error("too many announcements wait")]
    Overloaded,
}

impl AnnounceError {
    fn status(&self) -> u16 {
        match self {
            Self::Method => 405,
            Self::NotText | Self::Document(_) | Self::Unreadable => 400,
            Self::Token => 403,
            Self::Service => 404,
            Self::NoSettings | Self::Overloaded => 503,
        }
    }
}

/// Serves one announcement request; returns whether the connection stays open.
pub async fn receive_announcement(
    context: &Arc<EntryContext>,
    connection: &mut CallerConnection,
    head: &RequestHead,
) -> Result<bool, HttpError> {
    let Some(content) = page::read_body(connection, head, MAX_ANNOUNCEMENT_BYTES).await? else {
        context.metrics.count_event("announcement_refused");
        return Ok(false);
    };
    let (status, text) = match accept_announcement(context, head, &content) {
        Ok(()) => (202, String::from("accepted\n")),
        Err(error) => {
            context.metrics.count_event("announcement_refused");
            log::info!(peer:% = connection.peer(), error:%; "announcement refused");
            (error.status(), format!("{error}\n"))
        }
    };
    page::send_text(context, connection, head, status, &text).await
}

fn accept_announcement(
    context: &Arc<EntryContext>,
    head: &RequestHead,
    content: &[u8],
) -> Result<(), AnnounceError> {
    if &*head.method != "POST" {
        return Err(AnnounceError::Method);
    }
    let document = parse_document(content)?;
    let table = context.table();
    let tree = table.tree.as_ref().ok_or(AnnounceError::NoSettings)?;
    let team = tree.teams.get(document.team.as_str()).ok_or(AnnounceError::Token)?;
    let token = bearer_token(head).ok_or(AnnounceError::Token)?;
    if !token_matches(&team.token_sha256, &token_sha256(token)) {
        return Err(AnnounceError::Token);
    }
    if !team.services.contains_key(document.service.as_str()) {
        return Err(AnnounceError::Service);
    }
    let announcement = to_announcement(context, document)?;
    let input = ControlInput::Announced(announcement);
    context.inbox.try_send(input).map_err(|_| AnnounceError::Overloaded)
}

fn parse_document(content: &[u8]) -> Result<AnnouncementDocument, AnnounceError> {
    let text = std::str::from_utf8(content).map_err(|_| AnnounceError::NotText)?;
    let first = |errors: Vec<SchemaError>| match errors.into_iter().next() {
        Some(error) => AnnounceError::Document(Box::new(error)),
        None => AnnounceError::Unreadable,
    };
    DocumentSchema::announcement().parse(text).map_err(first)
}

/// Returns the token of an `Authorization: Bearer` header.
pub fn bearer_token(head: &RequestHead) -> Option<&str> {
    let value = head.headers.get_str("authorization")?;
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

fn to_announcement(
    context: &EntryContext,
    document: AnnouncementDocument,
) -> Result<ServerAnnouncement, AnnounceError> {
    let address = document.address.parse().map_err(|_| AnnounceError::Unreadable)?;
    let slots = u32::try_from(document.slots.get()).unwrap_or(u32::MAX);
    let running = u32::try_from(document.load.unwrap_or(0)).unwrap_or(u32::MAX);
    Ok(ServerAnnouncement {
        team: document.team.into(),
        service: document.service.into(),
        server: document.server.into(),
        address,
        availability_zone: document.availability_zone.into(),
        region: context.region.clone(),
        slots,
        connections: u32::try_from(document.connections.get()).unwrap_or(u32::MAX),
        state: match document.state {
            WireState::Starting => AnnouncedState::Starting,
            WireState::Ready => AnnouncedState::Ready,
            WireState::Draining => AnnouncedState::Draining,
            WireState::Gone => AnnouncedState::Gone,
        },
        load: running.saturating_mul(1000) / slots.max(1),
        incarnation: document.incarnation.try_into().unwrap_or_default(),
        sequence: document.sequence.try_into().unwrap_or_default(),
    })
}
