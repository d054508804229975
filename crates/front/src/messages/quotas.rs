//! Messages about the quotas of tenants.

use std::sync::Arc;

use amaranthshunt_core::front::TenantUsage;
use prost::Message;

/// A follower's request for more of a tenant's requests than its share of the quota allows.
#[derive(Clone, Message, PartialEq)]
pub(crate) struct TenantNeed {
    #[prost(string, tag = "1")]
    pub(crate) tenant: String,
    /// Number of requests.
    #[prost(uint32, tag = "2")]
    pub(crate) count: u32,
}

/// A host's share of a tenant's quota.
#[derive(Clone, Message, PartialEq)]
pub(crate) struct TenantShareMessage {
    #[prost(string, tag = "1")]
    pub(crate) tenant: String,
    /// Millionths of what is divided by demand.
    #[prost(uint32, tag = "2")]
    pub(crate) millionths: u32,
}

impl TenantShareMessage {
    pub(crate) fn new(tenant: &str, share: f64) -> Self {
        Self {
            tenant: tenant.to_owned(),
            millionths: (share * 1e6) as u32,
        }
    }

    pub(crate) fn to_share(&self) -> (Arc<str>, f64) {
        let share = f64::from(self.millionths) / 1e6;
        (Arc::from(self.tenant.as_str()), share)
    }
}

/// Requests of a tenant with a quota that came to a host since its last report.
#[derive(Clone, Message, PartialEq)]
pub(crate) struct TenantUsageMessage {
    #[prost(string, tag = "1")]
    pub(crate) tenant: String,
    #[prost(uint32, tag = "2")]
    pub(crate) count: u32,
    /// The share that the host holds, in millionths.
    #[prost(uint32, tag = "3")]
    pub(crate) millionths: u32,
}

impl From<&TenantUsage> for TenantUsageMessage {
    fn from(usage: &TenantUsage) -> Self {
        Self {
            tenant: usage.tenant.to_string(),
            count: usage.requests,
            // Shares are told in millionths, so that rounding gives back the number that was told.
            millionths: (usage.share * 1e6).round() as u32,
        }
    }
}

impl From<&TenantUsageMessage> for TenantUsage {
    fn from(message: &TenantUsageMessage) -> Self {
        Self {
            tenant: Arc::from(message.tenant.as_str()),
            requests: message.count,
            share: f64::from(message.millionths) / 1e6,
        }
    }
}
