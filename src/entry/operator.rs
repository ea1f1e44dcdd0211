//! Operator HTTP interface of an entry: health, metrics, status and dump.

use std::sync::Arc;
use std::time::Instant;

use async_std::net::TcpListener;
use tide::{Request, Response, StatusCode};

use super::context::EntryContext;
use super::control::ControlInput;
use crate::admin::{self, AdminServer};

/// Media type of the OpenMetrics text format.
pub const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

type State = Arc<EntryContext>;

/// Serves the operator's HTTP interface; the returned server can be stopped.
pub fn serve(context: State, listener: TcpListener) -> AdminServer {
    let mut app = tide::with_state(context);
    app.at("/health").get(health);
    app.at("/metrics").get(metrics);
    app.at("/dump").get(dump);
    app.at("/status").get(dump);
    let server = AdminServer::default();
    server.serve(listener, app);
    server
}

async fn health(request: Request<State>) -> tide::Result {
    let is_healthy = request.state().is_healthy(Instant::now());
    Ok(Response::new(if is_healthy { StatusCode::Ok } else { StatusCode::ServiceUnavailable }))
}

async fn metrics(request: Request<State>) -> tide::Result {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(request.state().metrics.encode());
    response.insert_header("content-type", METRICS_CONTENT_TYPE);
    Ok(response)
}

async fn dump(request: Request<State>) -> tide::Result {
    let (sender, receiver) = async_channel::bounded(1);
    let sent = request.state().inbox.send(ControlInput::Dump(sender)).await;
    let state = match sent {
        Ok(()) => receiver.recv().await.ok(),
        Err(_) => None,
    };
    match state {
        Some(state) => Ok(admin::json_response(200, &state)),
        None => Ok(Response::new(StatusCode::ServiceUnavailable)),
    }
}
