//! Native wire dialect of fleet mode: header names, paths and JSON formats.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use super::announcement::{AnnouncementError, IncarnationStart, ServerAnnouncement, ServerState};
use super::dialect::{CallPaths, HeaderNames, QUARANTINE_PATH, WireDialect};
use super::document::{
    CallerLimits, DocumentError, Repetition, RouteDocument, RouteRule, ServiceRule,
};
use super::tenant::{TenantRule, deserialize_tenants};
use crate::ids::{ServiceName, TenantName};

const HEADERS: HeaderNames = HeaderNames {
    request_id: "x-request-id",
    deadline: "x-request-deadline",
    signature: "x-server-signature",
    expected_server: "x-server-id",
    server_id: "x-own-server-id",
    load: "x-server-load",
    not_run: "x-not-run",
    leaving: "x-server-leaving",
    pause: "retry-after",
    tenant: "x-tenant",
    authorization: "authorization",
    warmup: "x-server-warmup",
};

const PATHS: CallPaths = CallPaths {
    readiness: "/.curranthollow/ready",
    document: "/.curranthollow/document",
    servers: "/.curranthollow/servers/",
    evacuations: "/.curranthollow/evacuations/",
    quarantine: QUARANTINE_PATH,
};

/// The project's own wire dialect.
#[derive(Debug, Clone, Copy)]
pub struct NativeDialect;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NativeDocument {
    version: u64,
    #[serde(default)]
    limits: Option<NativeLimits>,
    services: std::collections::BTreeMap<ServiceName, NativeService>,
    routes: Vec<NativeRoute>,
    #[serde(default, deserialize_with = "deserialize_tenants")]
    tenants: Vec<NativeTenant>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NativeTenant {
    name: TenantName,
    keys: Vec<Box<str>>,
    priority: Option<u32>,
    #[serde(default)]
    rate_per_second: f64,
    #[serde(default)]
    burst: f64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct NativeLimits {
    head_bytes: usize,
    body_bytes: u64,
    head_timeout_ms: u64,
    idle_timeout_ms: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct NativeService {
    health_path: Box<str>,
    max_connections: u32,
    #[serde(default)]
    warmup_ms: u64,
    #[serde(default)]
    warmup_per_second: f64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct NativeRoute {
    name: Box<str>,
    host: Box<str>,
    prefix: Box<str>,
    idempotent: bool,
    timeout_ms: u64,
    target_latency_ms: u64,
    max_attempts: u32,
    #[serde(default)]
    priority: u32,
    #[serde(default)]
    public: bool,
    targets: Vec<(ServiceName, f64)>,
}

#[derive(Debug, Deserialize)]
struct NativeAnnouncement {
    service: ServiceName,
    address: SocketAddr,
    availability_zone: Box<str>,
    slots: u32,
    draining: bool,
    #[serde(default)]
    warmup_ms: u64,
    started: IncarnationStart,
    sequence: u64,
}

impl WireDialect for NativeDialect {
    fn headers(&self) -> &HeaderNames {
        &HEADERS
    }

    fn paths(&self) -> &CallPaths {
        &PATHS
    }

    fn parse_document(&self, body: &[u8]) -> Result<RouteDocument, DocumentError> {
        let native: NativeDocument = serde_json::from_slice(body)
            .map_err(|error| DocumentError::Unreadable(error.to_string().into()))?;
        let services = native.services.into_iter().map(|(name, service)| {
            let rule = ServiceRule {
                health_path: service.health_path,
                max_connections: service.max_connections,
                warmup: Duration::from_millis(service.warmup_ms),
                warmup_rate: service.warmup_per_second,
            };
            (name, rule)
        });
        let limits = native.limits.map_or_else(CallerLimits::default, |limits| CallerLimits {
            head_bytes: limits.head_bytes,
            body_bytes: limits.body_bytes,
            head_timeout: Duration::from_millis(limits.head_timeout_ms),
            idle_timeout: Duration::from_millis(limits.idle_timeout_ms),
        });
        let mut document = RouteDocument {
            version: native.version,
            limits,
            services: services.collect(),
            ..RouteDocument::default()
        };
        for route in native.routes {
            let key = (route.host.clone(), route.prefix.clone());
            document.add_route(key, route.into_rule())?;
        }
        for tenant in native.tenants {
            let NativeTenant { name, keys, priority, rate_per_second, burst } = tenant;
            document.add_tenant(name, &keys, TenantRule::new(priority, rate_per_second, burst))?;
        }
        Ok(document)
    }

    fn key_scheme(&self) -> &'static str {
        "Bearer"
    }

    fn parse_announcement(&self, body: &[u8]) -> Result<ServerAnnouncement, AnnouncementError> {
        let announcement: NativeAnnouncement = serde_json::from_slice(body)
            .map_err(|error| AnnouncementError(error.to_string().into()))?;
        let state = if announcement.draining { ServerState::Draining } else { ServerState::Ready };
        Ok(ServerAnnouncement {
            service: announcement.service,
            address: announcement.address,
            availability_zone: announcement.availability_zone,
            slots: announcement.slots,
            state,
            warmup: Duration::from_millis(announcement.warmup_ms),
            started: announcement.started,
            sequence: announcement.sequence,
        })
    }

    fn parse_leave(&self, body: &[u8]) -> Option<IncarnationStart> {
        serde_json::from_slice(body).ok()
    }

    fn error_body(&self, message: &str) -> Vec<u8> {
        serde_json::json!({ "message": message }).to_string().into_bytes()
    }
}

impl NativeRoute {
    fn into_rule(self) -> RouteRule {
        let repetition =
            if self.idempotent { Repetition::Idempotent } else { Repetition::AtMostOnce };
        RouteRule {
            name: self.name,
            repetition,
            timeout: Duration::from_millis(self.timeout_ms),
            target_latency: Duration::from_millis(self.target_latency_ms),
            max_attempts: self.max_attempts,
            priority: self.priority,
            is_public: self.public,
            targets: self.targets,
        }
    }
}
