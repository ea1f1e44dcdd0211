//! Caller connections: pipelined requests, responses in request order, and connection close.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep_until;

use super::activity::RequestProgress;
use super::context::{EntryContext, EntryPhase};
use super::local_response::LocalResponse;
use super::metrics::GaugeGuard;
use super::reader::{ReadEvent, RequestReader};
use super::relay::{ConnectionEnd, ResponseRelay, write_local_response};
use super::request::{self, CallerRequest, CallerResponse};
use crate::fleet::link;
use crate::fleet::listener::accept_until;
use crate::fleet::stream::HttpStream;
use crate::http::HttpError;
use crate::log_info;

/// Maximum size of further requests that are buffered while one is processed.
const MAX_PIPELINE_BYTES: usize = 64 << 10;

/// Maximum number of requests of one connection that are processed concurrently.
const MAX_PIPELINED_REQUESTS: usize = 16;

/// Time after which unacknowledged data ends a caller's connection. It is long because callers may
/// pause while reading, and on a slow line their data queues behind that of others.
const CALLER_UNACKED_TIMEOUT: Duration = Duration::from_secs(20);

/// Time after an accept or a response for which a stopping entry waits for the next request. It arrives a
/// round trip later, on a slow line behind the data of others.
const NEXT_REQUEST_WAIT: Duration = Duration::from_millis(500);

/// Accepts callers until the entry closes.
pub async fn serve(listener: TcpListener, context: Rc<EntryContext>) {
    let serve = |stream| {
        if link::prepare_socket(&stream, CALLER_UNACKED_TIMEOUT).is_ok() {
            let mut phase = context.phase.subscribe();
            if context.is_stopping() {
                // The connection has seen no phase yet.
                phase.mark_changed();
            }
            let context = Rc::clone(&context);
            tokio::task::spawn_local(async move {
                serve_connection(&context, stream, phase).await;
            });
        }
    };
    let mut phase = context.phase.subscribe();
    let closing = async {
        // The sender lives as long as the context.
        let _ = phase.wait_for(|phase| *phase >= EntryPhase::Closing).await;
    };
    accept_until(closing, listener, "traffic", serve).await;
}

async fn serve_connection(
    context: &Rc<EntryContext>,
    stream: TcpStream,
    phase: watch::Receiver<EntryPhase>,
) {
    let _connection_guard = GaugeGuard::new(context.metrics.caller_connections.clone());
    let connection = CallerConnection {
        context: Rc::clone(context),
        stream: HttpStream::new(stream),
        reader: RequestReader::default(),
        last_response_at: Instant::now(),
        phase,
        closes_at: None,
        deferred: None,
        in_flight: VecDeque::new(),
        closing: false,
    };
    connection.run().await;
}

/// Request that is being processed. Dropping it cancels the request if its route is idempotent.
struct InFlightRequest {
    task: JoinHandle<CallerResponse>,
    /// Counts the request as active until its response is written and its task has ended.
    progress: Rc<RequestProgress>,
    method: Box<str>,
    keep_alive: bool,
    idempotent: bool,
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        // At-most-once requests run to completion, because a server may already be executing them.
        if self.idempotent {
            self.task.abort();
        }
    }
}

/// Connection of a caller. Pipelined requests are processed concurrently, and responses are written
/// in the order of the requests.
struct CallerConnection {
    context: Rc<EntryContext>,
    stream: HttpStream,
    reader: RequestReader,
    /// Time of the last response, or of the accept.
    last_response_at: Instant,
    phase: watch::Receiver<EntryPhase>,
    /// Time at which the idle connection is closed, set by a stop.
    closes_at: Option<Instant>,
    /// At-most-once request that starts when all requests before it are answered.
    deferred: Option<CallerRequest>,
    in_flight: VecDeque<InFlightRequest>,
    /// No further request is read.
    closing: bool,
}

/// Event on a caller's connection.
enum CallerEvent {
    Read(ReadEvent),
    Response(CallerResponse),
    PhaseChanged,
}

impl CallerConnection {
    async fn run(mut self) {
        loop {
            let event = self.next_event().await;
            let result = match event {
                CallerEvent::Read(ReadEvent::Request(request)) => {
                    self.accept_request(request);
                    Ok(())
                }
                CallerEvent::Response(response) => self.write_response(response).await,
                CallerEvent::Read(ReadEvent::Closed) => Err(ConnectionEnd::Drop),
                CallerEvent::Read(ReadEvent::Malformed(error)) => {
                    self.refuse_malformed(&error).await
                }
                CallerEvent::Read(ReadEvent::Overloaded) => self.refuse_overloaded().await,
                CallerEvent::Read(ReadEvent::IdleTimeout) => self.close_if_idle(),
                CallerEvent::PhaseChanged => self.follow_phase().await,
            };
            match result {
                Ok(()) => {}
                Err(ConnectionEnd::Drop) => return,
                Err(ConnectionEnd::Close) => {
                    let metrics = &self.context.metrics;
                    let _unread_guard = self
                        .stream
                        .may_hold_unread()
                        .then(|| GaugeGuard::new(metrics.closing_connections.clone()));
                    return self.stream.close().await;
                }
            }
        }
    }

    /// Reacts to a stop of the entry. A request that has arrived, even if only in part, still gets a
    /// response; after it the connection is closed.
    async fn follow_phase(&mut self) -> Result<(), ConnectionEnd> {
        self.closes_at = None;
        if !self.in_flight.is_empty() || self.deferred.is_some() {
            self.closing = true;
            return Ok(());
        }
        let phase = *self.phase.borrow_and_update();
        // Bytes that the reader has left in the buffer are the start of a head.
        if self.reader.has_partial_request() || !self.stream.buffered().is_empty() {
            return match phase {
                EntryPhase::Ending | EntryPhase::GivingUp => self.refuse_partial().await,
                _ => Ok(()),
            };
        }
        if phase < EntryPhase::Closing {
            return Ok(());
        }
        let closes_at = self.last_response_at + NEXT_REQUEST_WAIT;
        if phase == EntryPhase::Closing && Instant::now() < closes_at {
            self.closes_at = Some(closes_at);
            return Ok(());
        }
        self.close_if_idle()
    }

    /// Ends the connection unless bytes of a request have arrived.
    fn close_if_idle(&mut self) -> Result<(), ConnectionEnd> {
        match self.stream.fill_available() {
            Ok(_) if !self.stream.buffered().is_empty() => Ok(()),
            _ => Err(ConnectionEnd::Close),
        }
    }

    async fn next_event(&mut self) -> CallerEvent {
        let has_capacity = self.deferred.is_none() && self.in_flight.len() < MAX_PIPELINED_REQUESTS;
        // No request is started behind an at-most-once request before its response.
        let may_read = !self.closing
            && has_capacity
            && self.in_flight.iter().all(|in_flight| in_flight.idempotent);
        let idle_since = self.in_flight.is_empty().then_some(self.last_response_at);
        let in_flight = self.in_flight.front_mut();
        let (context, stream, reader) = (&self.context, &mut self.stream, &mut self.reader);
        let read = async {
            if may_read {
                return reader.read_event(context, stream, self.last_response_at, idle_since).await;
            }
            stream.closed(MAX_PIPELINE_BYTES).await;
            ReadEvent::Closed
        };
        let closes = async {
            match self.closes_at {
                Some(closes_at) => sleep_until(closes_at.into()).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            response = next_response(in_flight) => CallerEvent::Response(response),
            event = read => CallerEvent::Read(event),
            _ = self.phase.changed(), if !self.closing => CallerEvent::PhaseChanged,
            () = closes, if !self.closing => CallerEvent::PhaseChanged,
        }
    }

    fn accept_request(&mut self, request: CallerRequest) {
        let idempotent = self.context.is_idempotent(&request.head);
        if !idempotent && !self.in_flight.is_empty() {
            self.deferred = Some(request);
            return;
        }
        self.start_request(request, idempotent);
    }

    fn start_request(&mut self, request: CallerRequest, idempotent: bool) {
        let method = request.head.method.clone();
        let keep_alive = request.head.keep_alive();
        // On a connection that will be closed, the response to a further request would be lost.
        self.closing |= !keep_alive || self.context.is_stopping();
        let progress = Rc::clone(&request.progress);
        let id = request::request_id(&self.context, &request.head);
        progress.set_received(&id);
        let (context, task_progress) = (Rc::clone(&self.context), Rc::clone(&progress));
        let task = tokio::task::spawn_local(async move {
            let _task_progress = task_progress;
            request::handle_request(&context, request, id).await
        });
        self.in_flight.push_back(InFlightRequest {
            task,
            progress,
            method,
            keep_alive,
            idempotent,
        });
    }

    async fn write_response(&mut self, response: CallerResponse) -> Result<(), ConnectionEnd> {
        let Some(in_flight) = self.in_flight.pop_front() else { return Ok(()) };
        self.closing |= self.context.is_stopping() && self.deferred.is_none();
        let closes = self.closing && self.in_flight.is_empty() && self.deferred.is_none();
        let keep_alive = in_flight.keep_alive && !closes;
        let waited_before = self.stream.write_wait();
        match response {
            CallerResponse::Local(response) => {
                write_local_response(&mut self.stream, &response, keep_alive).await?
            }
            CallerResponse::Relayed(server_response) => {
                let relay = ResponseRelay {
                    context: &self.context,
                    progress: &in_flight.progress,
                    method: &in_flight.method,
                    keep_alive,
                };
                relay.run(&mut self.stream, *server_response).await?;
            }
        }
        self.last_response_at = Instant::now();
        let caller_wait = self.stream.write_wait() - waited_before;
        self.reader.caller_pace.record(caller_wait, in_flight.progress.response_bytes());
        if !keep_alive {
            return Err(ConnectionEnd::Close);
        }
        if self.in_flight.is_empty()
            && let Some(request) = self.deferred.take()
        {
            self.start_request(request, false);
        }
        Ok(())
    }

    /// Refuses a request that has not arrived completely before the entry exits.
    async fn refuse_partial(&mut self) -> Result<(), ConnectionEnd> {
        log_info!("request_refused", "reason=\"incomplete at the end of the stop\" status=503");
        write_local_response(&mut self.stream, &LocalResponse::stopping(), false).await?;
        // It is answered, so it no longer counts as active.
        self.reader = RequestReader::default();
        Err(ConnectionEnd::Close)
    }

    async fn answer_in_flight(&mut self) -> Result<(), ConnectionEnd> {
        while let Some(front) = self.in_flight.front_mut() {
            let response = next_response(Some(front)).await;
            self.write_response(response).await?;
        }
        Ok(())
    }

    /// Refuses a request whose body does not fit into memory, after all requests before it are answered.
    async fn refuse_overloaded(&mut self) -> Result<(), ConnectionEnd> {
        self.answer_in_flight().await?;
        log_info!("request_refused", "reason=\"too many request bodies\" status=503");
        write_local_response(&mut self.stream, &LocalResponse::overloaded(), false).await?;
        // Its memory is free before the connection is.
        self.reader = RequestReader::default();
        Err(ConnectionEnd::Close)
    }

    /// Refuses a malformed request after all requests before it are answered.
    async fn refuse_malformed(&mut self, error: &HttpError) -> Result<(), ConnectionEnd> {
        self.answer_in_flight().await?;
        write_malformed_response(&self.context, &mut self.stream, error).await
    }
}

/// Waits for the response to the oldest request; never completes when there is none.
async fn next_response(in_flight: Option<&mut InFlightRequest>) -> CallerResponse {
    let Some(in_flight) = in_flight else { return std::future::pending().await };
    match (&mut in_flight.task).await {
        Ok(response) => response,
        Err(_) => CallerResponse::Local(LocalResponse::new(502, "the request was given up")),
    }
}

async fn write_malformed_response(
    context: &EntryContext,
    stream: &mut HttpStream,
    error: &HttpError,
) -> Result<(), ConnectionEnd> {
    let Some(status) = error.response_status() else { return Err(ConnectionEnd::Drop) };
    log_info!("request_malformed", "entry={} status={status} error=\"{error}\"", context.name);
    let response = LocalResponse::new(status, "malformed request");
    write_local_response(stream, &response, false).await?;
    Err(ConnectionEnd::Close)
}
