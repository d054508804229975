//! Status report from the records in the object store.

use std::collections::BTreeMap;

use amaranthshunt_clients::StoreClient;
use amaranthshunt_core::object::{CONFIG_PREFIX, ObjectKey, ObjectKind};
use amaranthshunt_core::record::{OperatorOrder, PlacementRecord, RegionRecord, Subject};
use miette::{IntoDiagnostic, Result, WrapErr};

/// Lists hosts with the servers they control, shard owners, and orders in force.
pub(crate) async fn status_lines(store: &StoreClient) -> Result<Vec<String>> {
    let objects = store
        .list(CONFIG_PREFIX)
        .await
        .into_diagnostic()
        .wrap_err("the object store does not answer")?;
    let mut lines = Vec::new();
    for object in &objects {
        let Some(value) = object.value.as_ref() else {
            continue;
        };
        match object.key.kind() {
            Some(ObjectKind::Region(name)) => {
                let record = serde_json::from_slice(value).into_diagnostic()?;
                region_lines(name, &record, &mut lines);
            }
            Some(ObjectKind::Placement { entry, region }) => {
                let record = serde_json::from_slice(value).into_diagnostic()?;
                placement_lines(entry, region, &record, &mut lines);
            }
            Some(ObjectKind::Order(subject)) => {
                let order: OperatorOrder = serde_json::from_slice(value).into_diagnostic()?;
                if order.out {
                    lines.push(format!(
                        "order   {} is out, by {}",
                        subject_text(&subject),
                        order.operator
                    ));
                }
            }
            Some(ObjectKind::Entry(_)) | None => {}
        }
    }
    Ok(lines)
}

fn region_lines(name: &str, record: &RegionRecord, lines: &mut Vec<String>) {
    for (id, host) in &record.hosts {
        let controlled = record
            .control
            .values()
            .filter(|control| control.host == *id);
        let successor = host.successor.map_or_else(
            || "nobody".to_owned(),
            |successor| {
                let successor_host = record.hosts.get(&successor);
                successor_host.map_or_else(|| successor.to_string(), |host| host.name.clone())
            },
        );
        lines.push(format!(
            "host    {} ({id}) in {}, {} servers, succeeded by {successor}",
            host.name,
            host.domain,
            controlled.count()
        ));
    }
    if record.hosts.is_empty() {
        lines.push(format!("region  {name} has no host on record"));
    }
}

fn placement_lines(entry: &str, region: &str, record: &PlacementRecord, lines: &mut Vec<String>) {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for shard in &record.shards {
        *counts.entry(&shard.server).or_default() += 1;
    }
    for (server, count) in counts {
        lines.push(format!(
            "server  {server} owns {count} shards of {entry} in {region}"
        ));
    }
}

fn subject_text(subject: &Subject) -> String {
    let key = ObjectKey::order(subject).0;
    key.trim_start_matches("cfg/order/").replacen('/', " ", 1)
}
