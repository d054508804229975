//! Tenants of a run, and the check that servers run a request only for the tenant that sent it.

use std::collections::BTreeMap;

use amaranthshunt_support::platform::Execution;
use serde_json::{Value, json};

use crate::callers::{RequestKind, RequestResult};

/// Names and keys of the tenants; requests alternate between them.
const TENANTS: [(&str, &str); 2] = [("acme", "key-acme"), ("globex", "key-globex")];
/// A key that no tenant holds.
const UNKNOWN_KEY: &str = "key-unknown";

/// The tenants' section of the configuration.
pub(crate) fn section() -> Value {
    let tenants = TENANTS.map(|(name, key)| (name.to_owned(), json!({ "ApiKeys": [key] })));
    Value::Object(tenants.into_iter().collect())
}

/// The key that comes with a request.
pub(crate) fn key(kind: RequestKind, id: &str) -> &'static str {
    match kind {
        RequestKind::UnknownKey => UNKNOWN_KEY,
        _ => tenant(id).1,
    }
}

fn tenant(id: &str) -> (&'static str, &'static str) {
    let digits = id.bytes().map(usize::from);
    TENANTS[digits.sum::<usize>() % TENANTS.len()]
}

/// Describes the executions of requests that no tenant has sent, or that the server was told another
/// tenant's name or the key of.
pub(crate) fn mistaken_tenants(executions: &[Execution], results: &[RequestResult]) -> Vec<String> {
    let kinds = results
        .iter()
        .map(|result| (result.id.as_str(), result.kind));
    let kinds: BTreeMap<&str, RequestKind> = kinds.collect();
    let mistaken = executions.iter().filter(|execution| {
        let Some(kind) = kinds.get(execution.request.as_str()) else {
            return false;
        };
        let name = tenant(&execution.request).0;
        *kind == RequestKind::UnknownKey
            || execution.has_key
            || execution.tenant.as_deref() != Some(name)
    });
    mistaken
        .map(|execution| format!("tenant: {execution:?} is not as its caller sent it"))
        .collect()
}
