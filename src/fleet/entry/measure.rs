//! Choice of a server with a look at its load at this moment.
//!
//! A server's load changes within tens of milliseconds, and an entry sees only a part of the traffic,
//! so what servers told with earlier responses is mostly too old. The health page tells the load
//! within one or two milliseconds, on the connection that the request will use. It also shows that
//! the connection and the server are alive, which matters most for what must not be sent twice.

use std::rc::Rc;
use std::time::{Duration, Instant};

use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::context::EntryContext;
use crate::fleet::balance::{ChosenServer, SendOutcome};
use crate::fleet::dialect::ReportedLoad;
use crate::fleet::link;
use crate::fleet::stream::HttpStream;
use crate::http::{BodyDecoder, BodyFraming, HttpError, HttpLimits, ResponseHead};
use crate::ids::{ServerId, ServiceName};

/// A load that was told within this time is not asked for again.
const FRESH_LOAD: Duration = Duration::from_millis(25);

/// Time for one measurement. The page of a server with a free slot takes 2 to 8 ms; one that takes
/// longer is full or disturbed.
const MEASURE_TIMEOUT: Duration = Duration::from_millis(25);

/// Time for a connection to a server; those in reach take a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Servers that are measured for one send; up to four in ten may be disturbed at the same time.
const MAX_MEASURED: usize = 6;

/// Full servers after which the service counts as crowded.
const FIRST_FULL: usize = 3;

/// The same after a pause. Each health page takes some milliseconds of a slot.
const MORE_FULL: usize = 2;

/// Pause before a crowded service is looked at again.
const CROWDED_PAUSE: Duration = Duration::from_millis(20);

/// Largest body of a health page.
const MAX_PAGE_BYTES: usize = 16 << 10;

/// Why a measurement brought no load.
#[derive(Debug, Error)]
pub enum MeasureError {
    #[error("no connection: {0}")]
    Connect(std::io::Error),
    #[error("no answer within {} ms", MEASURE_TIMEOUT.as_millis())]
    Timeout,
    #[error("no connection within {} ms", CONNECT_TIMEOUT.as_millis())]
    ConnectTimeout,
    #[error("the answer cannot be read: {0}")]
    Broken(#[from] HttpError),
    #[error("another server has the address")]
    OtherServer,
}

/// What the search for a server with room met.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Error)]
#[error("{asked} servers asked, {full} full, {disturbed} disturbed, {unanswered} without answer")]
pub struct LookCounts {
    asked: u32,
    full: u32,
    disturbed: u32,
    unanswered: u32,
}

/// What to do when no measured server has room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrowdedChoice {
    /// Look again after a pause, then take a server with a free slot.
    LookAgain,
    /// Take none: a second send would only add to the queue in which the first one waits.
    Nothing,
}

/// Chooses a server for `service` that is not in `tried`.
///
/// A server without a free slot is not chosen. Servers slow down when they are nearly full, so what
/// is pushed into a crowded service makes all its requests late; a refusal brings the caller back.
pub async fn choose_server(
    context: &Rc<EntryContext>,
    service: &ServiceName,
    tried: &[ServerId],
    crowded: CrowdedChoice,
) -> Result<ChosenServer, LookCounts> {
    let mut counts = LookCounts::default();
    let mut rejected = tried.to_vec();
    let found = find_room(context, service, &mut rejected, FIRST_FULL, &mut counts).await;
    if let Some(found) = found {
        return Ok(found);
    }
    if crowded == CrowdedChoice::Nothing {
        return Err(counts);
    }
    sleep(CROWDED_PAUSE).await;
    let mut rejected = tried.to_vec();
    let found = find_room(context, service, &mut rejected, MORE_FULL, &mut counts).await;
    let found = found.or_else(|| context.choose(service, tried).filter(|chosen| chosen.has_slot));
    found.ok_or(counts)
}

/// Measures servers in the order of their cost until one has room.
///
/// A disturbed server says nothing of the others, a full one shows that the service is crowded; then
/// more questions would only take more of its slots.
async fn find_room(
    context: &Rc<EntryContext>,
    service: &ServiceName,
    rejected: &mut Vec<ServerId>,
    max_full: usize,
    counts: &mut LookCounts,
) -> Option<ChosenServer> {
    let (mut measured, mut full) = (0, 0);
    while measured < MAX_MEASURED && full < max_full {
        let chosen = context.choose(service, rejected)?;
        if chosen.told_age.is_some_and(|age| age < FRESH_LOAD) {
            if chosen.has_room {
                return Some(chosen);
            }
            rejected.push(chosen.server);
            continue;
        }
        measured += 1;
        counts.asked += 1;
        match measure(context, service, &chosen).await {
            Ok(Some(told)) if !told.has_spare_capacity() => {
                full += usize::from(!told.is_degraded());
                counts.disturbed += u32::from(told.is_degraded());
                counts.full += u32::from(!told.is_degraded());
            }
            Ok(_) => return Some(chosen),
            Err(error) => {
                full += usize::from(matches!(error, MeasureError::Timeout));
                counts.unanswered += 1;
                note_failure(context, service, &chosen, &error);
            }
        }
        rejected.push(chosen.server);
    }
    None
}

fn note_failure(
    context: &EntryContext,
    service: &ServiceName,
    chosen: &ChosenServer,
    error: &MeasureError,
) {
    let now = Instant::now();
    let outcome = match error {
        // A full server lets the page wait as long as any request.
        MeasureError::Timeout => SendOutcome::Unanswered,
        _ => SendOutcome::Unreachable,
    };
    context.with_service(service, |balance| balance.begin(&chosen.server));
    let closed = context.end_send(now, service, &chosen.server, outcome, Duration::ZERO);
    crate::log_routine!(
        "server_unreachable",
        "service={service} server={} closed={closed} error=\"{error}\"",
        chosen.server
    );
}

/// Asks the server for its load; `None` when it tells none.
async fn measure(
    context: &EntryContext,
    service: &ServiceName,
    chosen: &ChosenServer,
) -> Result<Option<ReportedLoad>, MeasureError> {
    let Some(path) = context.health_path(service) else { return Ok(None) };
    let mut stream = connect(context, service, chosen).await?;
    context.metrics.note_send(service, "measured");
    let question = format!("GET {path} HTTP/1.1\r\nhost: {}\r\n\r\n", chosen.address);
    let asked = ask(context, &mut stream, &question, chosen);
    let answer = timeout(MEASURE_TIMEOUT, asked).await;
    let (head, whole) = answer.map_err(|_| MeasureError::Timeout)??;
    let now = Instant::now();
    let told = context.note_load(now, service, &chosen.server, &head);
    if whole {
        context.connections.put(now, &chosen.server, chosen.address, stream, &head);
    }
    Ok(told)
}

/// Asks for the health page; returns its head and whether its body was read whole.
async fn ask(
    context: &EntryContext,
    stream: &mut HttpStream,
    question: &str,
    chosen: &ChosenServer,
) -> Result<(ResponseHead, bool), MeasureError> {
    let names = context.dialect.headers();
    stream.write(question.as_bytes()).await.map_err(HttpError::from)?;
    let head = stream.read_response(&HttpLimits::default()).await?;
    if head.headers.get(names.request_id).is_some() {
        // A late response to an earlier request; the connection is not used again.
        return Err(HttpError::UnexpectedBytes.into());
    }
    let framing = BodyFraming::of_response("GET", &head)?;
    let mut page = Vec::new();
    let mut decoder = BodyDecoder::new(framing);
    let whole = stream.read_body(&mut decoder, &mut page, MAX_PAGE_BYTES).await?;
    let server = head.headers.get(names.server_id);
    if server.is_some_and(|server| server != chosen.server.as_bytes()) {
        return Err(MeasureError::OtherServer);
    }
    Ok((head, whole))
}

/// Takes an idle connection to the server, or opens one.
pub async fn connect(
    context: &EntryContext,
    service: &ServiceName,
    chosen: &ChosenServer,
) -> Result<HttpStream, MeasureError> {
    let now = Instant::now();
    let idle = context.connections.take(now, &chosen.server, chosen.address);
    if let Some(stream) = idle {
        return Ok(stream);
    }
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(chosen.address)).await;
    let connected = connected.map_err(|_| MeasureError::ConnectTimeout)?;
    let stream = connected.map_err(MeasureError::Connect)?;
    link::prepare_socket(&stream, link::USER_TIMEOUT).map_err(MeasureError::Connect)?;
    context.metrics.note_opened_connection(service);
    Ok(HttpStream::new(stream))
}
