//! Authenticates callers by their tenants' keys, when a request is read and before each send.

use std::rc::Rc;
use std::time::Duration;

use super::context::EntryContext;
use super::local_response::LocalResponse;
use super::outgoing::OutgoingRequest;
use crate::fleet::document::RouteRule;
use crate::fleet::routes::RouteTable;
use crate::fleet::tenant::{CallerIdentity, IdentityError, KnownTenant};
use crate::http::RequestHead;
use crate::log_info;

impl EntryContext {
    /// Authenticates the caller of a request, and removes what its headers say of keys and tenants if the
    /// document has tenants.
    pub fn authenticate(
        &self,
        table: &RouteTable,
        rule: &RouteRule,
        head: &mut RequestHead,
    ) -> Result<CallerIdentity, LocalResponse> {
        let identity =
            CallerIdentity::check(&table.tenants, &*self.dialect, &head.headers, rule.is_public)
                .map_err(|error| self.refuse_unidentified(error.label(), error.reason()))?;
        if identity.hides_credentials() {
            let names = self.dialect.headers();
            head.headers.remove(names.authorization);
            head.headers.remove(names.tenant);
        }
        Ok(identity)
    }

    /// Returns the tenant in whose name the request is sent now.
    pub fn current_tenant(
        &self,
        request: &OutgoingRequest,
    ) -> Result<Option<Rc<KnownTenant>>, IdentityError> {
        match self.route_table() {
            Some(table) => request.identity.tenant_now(&table.tenants),
            None => Ok(request.tenant.clone()),
        }
    }

    /// Refuses a request that was not sent, because the tenants have changed since it was read.
    pub fn refuse_changed_identity(
        &self,
        request: &OutgoingRequest,
        error: IdentityError,
    ) -> LocalResponse {
        match error {
            IdentityError::Withdrawn => {
                let tenant = request.tenant.as_ref().map_or("-", |tenant| &tenant.name);
                log_info!("key_withdrawn", "request={} tenant={tenant}", request.id);
                self.refuse_unidentified("withdrawn", "the key was withdrawn")
            }
            // The next attempt is read under the document in force, and its key is checked.
            IdentityError::Outdated => {
                self.metrics.keys.record_refusal("outdated");
                let reason = "keys are needed since the request was read";
                LocalResponse::not_run(reason, Duration::ZERO, request.time_left())
            }
        }
    }

    /// Refuses a request that names no key in force.
    fn refuse_unidentified(&self, label: &'static str, reason: &'static str) -> LocalResponse {
        self.metrics.keys.record_refusal(label);
        LocalResponse::unauthorized(reason, self.dialect.key_scheme())
    }
}
