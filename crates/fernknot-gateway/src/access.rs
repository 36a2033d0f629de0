//! Authentication of clients' requests by the keys of tenants.

use crate::clients::Rejection;
use crate::headers;
use fernknot_protocol::http::Request;
use fernknot_schema::{AccessControl, ApiKeyDigest, Tenant};
use std::collections::HashMap;
use std::fmt;
use zeroize::Zeroizing;

/// Scheme of the only kind of credentials that a request may have.
const BEARER_SCHEME: &str = "Bearer";

/// Index of a tenant in the configuration that was in force when a request was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantIndex(pub usize);

/// Tenants of one revision of the configuration, by the digests of their keys.
pub struct AccessTable {
    access: AccessControl,
    tenant_by_key: HashMap<ApiKeyDigest, TenantIndex>,
}

impl AccessTable {
    pub(crate) fn new(access: AccessControl) -> AccessTable {
        let keys_of = |(index, tenant): (usize, &Tenant)| -> Vec<(ApiKeyDigest, TenantIndex)> {
            tenant.keys.iter().map(|key| (*key, TenantIndex(index))).collect()
        };
        let tenant_by_key = access.tenants.iter().enumerate().flat_map(keys_of).collect();
        AccessTable { access, tenant_by_key }
    }

    /// Returns the tenants and keys that the table was made from.
    pub(crate) fn access_control(&self) -> &AccessControl {
        &self.access
    }

    /// Returns the name of a tenant.
    pub fn tenant_name(&self, tenant: TenantIndex) -> &str {
        &self.access.tenants[tenant.0].name
    }

    /// Determines the tenant of a request to the route with this index, and sets the header fields that nodes receive:
    /// the tenant's name in place of the credentials and of whatever the client claims to be. A request to a public
    /// route without a known key belongs to no tenant.
    ///
    /// # Errors
    /// The route is not public, and the request has no known key.
    pub(crate) fn authenticate(
        &self,
        route: usize,
        request: &mut Request,
    ) -> Result<Option<TenantIndex>, Rejection> {
        let credentials = Credentials::take_from(request);
        request.remove_headers(headers::TENANT);
        match self.tenant_of(&credentials) {
            Ok(tenant) => {
                request.add_header(headers::TENANT, self.tenant_name(tenant));
                Ok(Some(tenant))
            }
            Err(_) if self.access.is_public(route) => Ok(None),
            Err(rejection) => Err(rejection),
        }
    }

    fn tenant_of(&self, credentials: &Credentials) -> Result<TenantIndex, Rejection> {
        let api_key = credentials.bearer_token().ok_or(Rejection::MissingApiKey)?;
        let digest = self.access.digest_key.digest(api_key.as_bytes());
        self.tenant_by_key.get(&digest).copied().ok_or(Rejection::UnknownApiKey)
    }
}

/// Values of a request's `Authorization` fields, overwritten in memory when dropped.
struct Credentials(Vec<Zeroizing<String>>);

impl Credentials {
    fn take_from(request: &mut Request) -> Credentials {
        let values = request.remove_headers(headers::AUTHORIZATION);
        Credentials(values.into_iter().map(Zeroizing::new).collect())
    }

    /// Returns the bearer token, if there are exactly these credentials.
    fn bearer_token(&self) -> Option<&str> {
        let [value] = self.0.as_slice() else { return None };
        let (scheme, token) = value.trim().split_once(' ')?;
        let token = token.trim_start_matches(' ');
        (scheme.eq_ignore_ascii_case(BEARER_SCHEME) && !token.is_empty()).then_some(token)
    }
}

impl fmt::Debug for Credentials {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Credentials(..)")
    }
}
