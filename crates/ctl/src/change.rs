//! Checked and audited changes to catalogue entries and operators' orders.

use std::time::{SystemTime, UNIX_EPOCH};

use amaranthshunt_clients::{CallError, StoreClient, StoreObject};
use amaranthshunt_core::catalogue::Entry;
use amaranthshunt_core::finding::Finding;
use amaranthshunt_core::ids::Revision;
use amaranthshunt_core::object::{CONFIG_PREFIX, ObjectKey};
use amaranthshunt_core::record::{OperatorOrder, PlacementRecord, Subject};
use bytes::Bytes;
use miette::{IntoDiagnostic, Result, WrapErr, miette};
use serde_json::Value;

use crate::audit::{AuditRecord, Intent};
use crate::write::write;

/// A write that takes effect only if the object is still at the revision in `before`.
struct Change<'a> {
    operator: &'a str,
    action: &'a str,
    subject: String,
    key: ObjectKey,
    before: StoreObject,
    after: Option<Bytes>,
}

/// Writes a catalogue entry after checking it against the stored entries and placements.
pub(crate) async fn apply_entry(
    store: &StoreClient,
    operator: &str,
    entry: &Entry,
) -> Result<Revision> {
    let key = ObjectKey::entry(&entry.name);
    let before = read(store, &key).await?;
    if let Some(value) = &before.value {
        let old: Entry = serde_json::from_slice(value).into_diagnostic()?;
        reject_findings(entry.replacement_findings(&old))?;
        reject_findings(dropped_owner_findings(store, entry, &old).await?)?;
    }
    reject_findings(duplicate_name_findings(store, entry).await?)?;
    let after = serde_json::to_vec(entry).into_diagnostic()?;
    let change = Change {
        operator,
        action: "entry-apply",
        subject: entry.name.clone(),
        key,
        before,
        after: Some(after.into()),
    };
    change.execute(store).await
}

/// Removes a catalogue entry.
pub(crate) async fn remove_entry(
    store: &StoreClient,
    operator: &str,
    name: &str,
) -> Result<Revision> {
    let key = ObjectKey::entry(name);
    let before = read(store, &key).await?;
    if before.value.is_none() {
        return Err(miette!(
            "no entry named `{name}`; run `amaranthctl entry list` to see all entries"
        ));
    }
    let change = Change {
        operator,
        action: "entry-remove",
        subject: name.to_owned(),
        key,
        before,
        after: None,
    };
    change.execute(store).await
}

/// Writes an order that takes a subject out of service (`out`) or returns it.
pub(crate) async fn write_order(
    store: &StoreClient,
    operator: &str,
    subject: &Subject,
    out: bool,
) -> Result<Revision> {
    let key = ObjectKey::order(subject);
    let before = read(store, &key).await?;
    let order = OperatorOrder {
        out,
        operator: operator.to_owned(),
    };
    let after = serde_json::to_vec(&order).into_diagnostic()?;
    let change = Change {
        operator,
        action: if out { "take-out" } else { "return" },
        subject: key.0.trim_start_matches(CONFIG_PREFIX).to_owned(),
        key,
        before,
        after: Some(after.into()),
    };
    change.execute(store).await
}

impl Change<'_> {
    async fn execute(self, store: &StoreClient) -> Result<Revision> {
        let record = AuditRecord {
            actor: self.operator.to_owned(),
            action: self.action.to_owned(),
            subject: self.subject.clone(),
            detail: String::new(),
            at_millis: now_millis(),
            before: parse_json(self.before.value.as_ref()),
            after: parse_json(self.after.as_ref()),
            revision: None,
        };
        let intent = Intent::open(store, record)
            .await
            .into_diagnostic()
            .wrap_err("cannot write the audit record; nothing was changed")?;
        let revision = self.write(store).await?;
        intent
            .confirm(store, revision)
            .await
            .into_diagnostic()
            .wrap_err(
                "the change took effect, but its audit record could not be marked as confirmed",
            )?;
        Ok(revision)
    }

    async fn write(&self, store: &StoreClient) -> Result<Revision> {
        let value = self.after.as_ref();
        match write(store, &self.key, self.before.revision, value).await {
            Ok(revision) => Ok(revision),
            Err(CallError::Conflict) => self.report_conflict(store).await,
            Err(error) => Err(error).into_diagnostic().wrap_err(
                "the object store did not answer; the change may have taken effect: \
                 check with `amaranthctl status` (orders) or \
                 `amaranthctl entry show` (entries)",
            ),
        }
    }

    async fn report_conflict(&self, store: &StoreClient) -> Result<Revision> {
        let latest = read(store, &self.key).await?;
        let current = parse_json(latest.value.as_ref()).unwrap_or_default();
        Err(miette!(
            help = format!(
                "it now reads {current}; run the command again if the change is still wanted"
            ),
            "somebody else changed {} first; nothing was written",
            self.subject
        ))
    }
}

async fn read(store: &StoreClient, key: &ObjectKey) -> Result<StoreObject> {
    store
        .get(key)
        .await
        .into_diagnostic()
        .wrap_err("the object store does not answer; nothing was changed")
}

fn reject_findings(findings: Vec<Finding>) -> Result<()> {
    if findings.is_empty() {
        return Ok(());
    }
    let lines: Vec<String> = findings.iter().map(Finding::to_string).collect();
    Err(miette!("nothing was changed:\n{}", lines.join("\n")))
}

/// Finds servers that the new entry drops while they still own shards.
async fn dropped_owner_findings(
    store: &StoreClient,
    new: &Entry,
    old: &Entry,
) -> Result<Vec<Finding>> {
    let mut findings = Vec::new();
    let is_kept = |name: &str| new.servers.iter().any(|server| server.name == name);
    for region in &old.regions {
        let object = read(store, &ObjectKey::placement(&old.name, region)).await?;
        let Some(value) = object.value else {
            continue;
        };
        let record: PlacementRecord = serde_json::from_slice(&value).into_diagnostic()?;
        for server in old.servers.iter().filter(|server| !is_kept(&server.name)) {
            let shards = record.shards.iter();
            let owned = shards.filter(|shard| shard.server == server.name).count();
            if owned > 0 {
                let text = format!(
                    "drops `{}`, which still owns {owned} shards; \
                     run `amaranthctl server out {}` first",
                    server.name, server.name
                );
                findings.push(Finding::new("servers", text));
            }
        }
    }
    Ok(findings)
}

/// Finds servers whose names are already used by another entry.
async fn duplicate_name_findings(store: &StoreClient, entry: &Entry) -> Result<Vec<Finding>> {
    let others = entries(store).await?;
    let mut findings = Vec::new();
    for other in others.iter().filter(|other| other.name != entry.name) {
        for server in &entry.servers {
            if other.servers.iter().any(|known| known.name == server.name) {
                let text = format!(
                    "contains `{}`, a server name that entry `{}` already uses",
                    server.name, other.name
                );
                findings.push(Finding::new("servers", text));
            }
        }
    }
    Ok(findings)
}

/// Reads every entry of the catalogue.
pub(crate) async fn entries(store: &StoreClient) -> Result<Vec<Entry>> {
    let prefix = format!("{CONFIG_PREFIX}entry/");
    let objects = store
        .list(&prefix)
        .await
        .into_diagnostic()
        .wrap_err("the object store does not answer")?;
    let values = objects.iter().filter_map(|object| object.value.as_ref());
    values
        .map(|value| serde_json::from_slice(value).into_diagnostic())
        .collect()
}

fn parse_json(value: Option<&Bytes>) -> Option<Value> {
    serde_json::from_slice(value?).ok()
}

fn now_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
