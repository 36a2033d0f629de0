//! Tenants of the system, and the keys by which their clients identify themselves. Keys are secrets: outside the
//! parser of the operator's JSON only their digests exist.

use std::fmt;
use std::hash::{Hash, Hasher};

use bitcode::{Decode, Encode};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Secret of the keyed hash from which [`ApiKeyDigest`]s are computed. The digests of one configuration have the same
/// one, which is sent along with them.
#[derive(Clone, PartialEq, Eq, Encode, Decode)]
pub struct DigestKey([u8; DigestKey::BYTES]);

impl DigestKey {
    /// Size of the secret in bytes.
    pub const BYTES: usize = 32;

    /// Creates a secret from random bytes.
    pub fn new(random: [u8; DigestKey::BYTES]) -> DigestKey {
        DigestKey(random)
    }

    /// Returns the digest of a client's key.
    pub fn digest(&self, api_key: &[u8]) -> ApiKeyDigest {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes keys of any length");
        mac.update(api_key);
        ApiKeyDigest(mac.finalize().into_bytes().into())
    }
}

impl fmt::Debug for DigestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("DigestKey(..)")
    }
}

/// Keyed hash of a client's key.
#[derive(Clone, Copy, Encode, Decode)]
pub struct ApiKeyDigest([u8; 32]);

impl PartialEq for ApiKeyDigest {
    fn eq(&self, other: &ApiKeyDigest) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for ApiKeyDigest {}

impl Hash for ApiKeyDigest {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl fmt::Debug for ApiKeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKeyDigest(..)")
    }
}

/// Tenants of a configuration, one of whose keys each request has to carry unless its route is public.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct AccessControl {
    /// Secret of the digests.
    pub digest_key: DigestKey,
    /// Tenants in the order of the operator's list; no two have a key in common.
    pub tenants: Vec<Tenant>,
    /// For each route of the configuration, whether its requests need no key.
    pub public_routes: Vec<bool>,
}

impl AccessControl {
    /// Whether the requests of the route with this index need no key.
    pub fn is_public(&self, route: usize) -> bool {
        self.public_routes.get(route).is_some_and(|is_public| *is_public)
    }
}

/// Owner of keys, to whom the requests with one of them belong.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Tenant {
    /// Name that nodes receive with each request of the tenant.
    pub name: String,
    /// Priority of the tenant's requests, which takes precedence over that of the route; 0 is the highest.
    pub rank: Option<u32>,
    /// Digests of the tenant's keys; empty for a tenant whose keys were all taken away.
    pub keys: Vec<ApiKeyDigest>,
}
