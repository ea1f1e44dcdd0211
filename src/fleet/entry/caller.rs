//! Connections of callers: requests in order, answers in order, and the close.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::context::{EntryContext, EntryPhase};
use super::metrics::GaugeGuard;
use super::reader::{ReadEvent, RequestReader};
use super::relay::{ConnectionEnd, relay, write_own};
use super::request::{self, CallerAnswer, CallerRequest, OwnAnswer};
use crate::fleet::link;
use crate::fleet::listener::accept_each;
use crate::fleet::stream::HttpStream;
use crate::http::HttpError;
use crate::log_info;

/// Bytes of further requests that are kept while one is processed.
const PIPELINE_BYTES: usize = 64 << 10;

/// Requests of one connection that are processed at the same time.
const MAX_PIPELINED: usize = 16;

/// Unacknowledged data older than this ends a caller's connection. Callers may read with pauses, and
/// their data waits behind others' on a slow line.
const CALLER_TIMEOUT: Duration = Duration::from_secs(20);

/// Accepts callers for as long as the process runs.
pub async fn serve(listener: TcpListener, context: Rc<EntryContext>) {
    let serve = |stream| {
        if link::prepare_socket(&stream, CALLER_TIMEOUT).is_ok() {
            let context = Rc::clone(&context);
            tokio::task::spawn_local(async move { serve_connection(&context, stream).await });
        }
    };
    accept_each(listener, "traffic", serve).await;
}

async fn serve_connection(context: &Rc<EntryContext>, stream: TcpStream) {
    let _open = GaugeGuard::new(context.metrics.caller_connections.clone());
    let connection = CallerConnection {
        context: Rc::clone(context),
        stream: HttpStream::new(stream),
        reader: RequestReader::default(),
        answered_at: Instant::now(),
        phase: context.phase.subscribe(),
        waiting: None,
        running: VecDeque::new(),
        last: false,
    };
    connection.serve().await;
}

/// Request in process; dropping it gives up what may be given up.
struct RunningRequest {
    task: JoinHandle<CallerAnswer>,
    method: Box<str>,
    keep: bool,
    idempotent: bool,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        // What runs at most once is left to its end; a server may be in the middle of it.
        if self.idempotent {
            self.task.abort();
        }
    }
}

/// Connection of a caller. Requests that arrive together are processed together; the answers leave
/// in the order of the requests.
struct CallerConnection {
    context: Rc<EntryContext>,
    stream: HttpStream,
    reader: RequestReader,
    /// Moment of the last answer, or of the accept.
    answered_at: Instant,
    phase: watch::Receiver<EntryPhase>,
    /// Request that is processed when all before it are answered.
    waiting: Option<CallerRequest>,
    running: VecDeque<RunningRequest>,
    /// No further request is read.
    last: bool,
}

/// What happened on a connection.
enum CallerEvent {
    Read(ReadEvent),
    Answer(CallerAnswer),
    Stopping,
}

impl CallerConnection {
    async fn serve(mut self) {
        loop {
            let event = self.next_event().await;
            let result = match event {
                CallerEvent::Read(ReadEvent::Request(request)) => {
                    self.take_request(request);
                    Ok(())
                }
                CallerEvent::Answer(answer) => self.answer(answer).await,
                CallerEvent::Read(ReadEvent::Left) => Err(ConnectionEnd::Drop),
                CallerEvent::Read(ReadEvent::Malformed(error)) => self.refuse(&error).await,
                CallerEvent::Read(ReadEvent::Idle) => Err(ConnectionEnd::Close),
                CallerEvent::Stopping => {
                    self.last = true;
                    if self.is_idle() { Err(ConnectionEnd::Close) } else { Ok(()) }
                }
            };
            match result {
                Ok(()) => {}
                Err(ConnectionEnd::Drop) => return,
                Err(ConnectionEnd::Close) => return self.stream.close().await,
            }
        }
    }

    fn is_idle(&self) -> bool {
        let nothing_read = !self.reader.has_begun() && self.stream.buffered().is_empty();
        self.running.is_empty() && self.waiting.is_none() && nothing_read
    }

    async fn next_event(&mut self) -> CallerEvent {
        let room = self.waiting.is_none() && self.running.len() < MAX_PIPELINED;
        // Behind a request that runs at most once nothing is started before its answer.
        let reads = !self.last && room && self.running.iter().all(|running| running.idempotent);
        let idle_since = self.running.is_empty().then_some(self.answered_at);
        let running = self.running.front_mut();
        let (context, stream, reader) = (&self.context, &mut self.stream, &mut self.reader);
        let read = async {
            if reads {
                return reader.next(context, stream, self.answered_at, idle_since).await;
            }
            stream.closed(PIPELINE_BYTES).await;
            ReadEvent::Left
        };
        tokio::select! {
            biased;
            answer = answer_of(running) => CallerEvent::Answer(answer),
            event = read => CallerEvent::Read(event),
            _ = self.phase.changed(), if !self.last => CallerEvent::Stopping,
        }
    }

    fn take_request(&mut self, request: CallerRequest) {
        let idempotent = request::is_idempotent(&self.context, &request.head);
        if !idempotent && !self.running.is_empty() {
            self.waiting = Some(request);
            return;
        }
        self.start(request, idempotent);
    }

    fn start(&mut self, request: CallerRequest, idempotent: bool) {
        let method = request.head.method.clone();
        let keep = request.head.keep_alive();
        // A connection that ends takes no further request whose answer would be lost.
        self.last |= !keep || self.context.is_stopping();
        let active = GaugeGuard::new(self.context.active_requests.clone());
        let context = Rc::clone(&self.context);
        let task = tokio::task::spawn_local(async move {
            let answer = request::process(&context, request).await;
            drop(active);
            answer
        });
        self.running.push_back(RunningRequest { task, method, keep, idempotent });
    }

    async fn answer(&mut self, answer: CallerAnswer) -> Result<(), ConnectionEnd> {
        let Some(running) = self.running.pop_front() else { return Ok(()) };
        let _active = GaugeGuard::new(self.context.active_requests.clone());
        self.last |= self.context.is_stopping() && self.waiting.is_none();
        let ends = self.last && self.running.is_empty() && self.waiting.is_none();
        let keep = running.keep && !ends;
        match answer {
            CallerAnswer::Own(own) => write_own(&mut self.stream, &own, keep).await?,
            CallerAnswer::Relay(response) => {
                relay(&mut self.stream, *response, &running.method, keep).await?;
            }
        }
        self.answered_at = Instant::now();
        if !keep {
            return Err(ConnectionEnd::Close);
        }
        if self.running.is_empty()
            && let Some(request) = self.waiting.take()
        {
            self.start(request, false);
        }
        Ok(())
    }

    /// Answers a malformed request when all before it are answered.
    async fn refuse(&mut self, error: &HttpError) -> Result<(), ConnectionEnd> {
        while let Some(front) = self.running.front_mut() {
            let answer = answer_of(Some(front)).await;
            self.answer(answer).await?;
        }
        refuse_malformed(&self.context, &mut self.stream, error).await
    }
}

/// Waits for the answer of the first request; for ever when there is none.
async fn answer_of(running: Option<&mut RunningRequest>) -> CallerAnswer {
    let Some(running) = running else { return std::future::pending().await };
    match (&mut running.task).await {
        Ok(answer) => answer,
        Err(_) => CallerAnswer::Own(OwnAnswer::of(502, "the request was given up")),
    }
}

async fn refuse_malformed(
    context: &EntryContext,
    stream: &mut HttpStream,
    error: &HttpError,
) -> Result<(), ConnectionEnd> {
    let Some(status) = error.response_status() else { return Err(ConnectionEnd::Drop) };
    log_info!("request_malformed", "entry={} status={status} error=\"{error}\"", context.name);
    let own = OwnAnswer::of(status, "malformed request");
    write_own(stream, &own, false).await?;
    Err(ConnectionEnd::Close)
}
