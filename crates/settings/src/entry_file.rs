//! Parses catalogue entry files.

use std::collections::BTreeMap;

use amaranthshunt_core::catalogue::{Class, Entry, Limits, Server};
use amaranthshunt_core::finding::Finding;

use crate::reader::{Findings, Section, parse};
use crate::report::{Report, Result};

/// The exclusive upper bound of a numeric limit.
const LIMIT_RANGE_END: u32 = 1_000_001;

/// Parses and validates a catalogue entry; `file_name` is shown in the report.
///
/// # Errors
///
/// Fails with a report of all findings in the text, or in the entry if the text parses.
pub fn read_entry(file_name: &str, text: &str) -> Result<Entry> {
    let mut findings = Findings::default();
    let mut root = parse(text, &mut findings);
    let entry_name = root.text("name", &mut findings);
    let owner = root.text("owner", &mut findings);
    let class = read_class(&mut root, &mut findings);
    let regions = root.list("regions", "a region name", &mut findings);
    let tenants = read_tenants(root.section("tenants", true, &mut findings), &mut findings);
    let shards = root.number("shards", 1..16_385, None, &mut findings);
    let limits = read_limits(root.section("limits", false, &mut findings), &mut findings);
    let servers = root
        .sections("servers", &mut findings)
        .into_iter()
        .filter_map(|section| read_server(section, &mut findings))
        .collect();
    root.finish(&mut findings);
    let entry = Entry {
        name: entry_name,
        owner,
        class,
        regions,
        tenants,
        shards,
        limits,
        servers,
    };
    if findings.is_empty() {
        for finding in entry.findings() {
            findings.add_at_path(&finding);
        }
    }
    if findings.is_empty() {
        return Ok(entry);
    }
    Err(Report::new(file_name, text, findings.into_sorted()))
}

fn read_class(root: &mut Section<'_>, findings: &mut Findings) -> Class {
    match root.text("class", findings).as_str() {
        "confirm" => Class::Confirm,
        "payment" => Class::Payment,
        // `Section::text` returns an empty string after it has reported an error.
        "read" | "" => Class::Read,
        _ => {
            let text = "must be `read`, `confirm` or `payment`";
            findings.add_at_path(&Finding::new("class", text));
            Class::Read
        }
    }
}

fn read_tenants(
    mut section: Section<'_>,
    findings: &mut Findings,
) -> BTreeMap<String, Vec<String>> {
    let names = section.remaining_names();
    names
        .into_iter()
        .map(|name| {
            let regions = section.list(&name, "a region name", findings);
            (name, regions)
        })
        .collect()
}

fn read_limits(mut section: Section<'_>, findings: &mut Findings) -> Limits {
    let mut number = |name, default| section.number(name, 0..LIMIT_RANGE_END, default, findings);
    let limits = Limits {
        slots: number("slots", None),
        cold_slots: number("cold_slots", Some(1)),
        warm_up: number("warm_up", Some(1_000)),
        connections: number("connections", None),
        queue: number("queue", Some(64)),
        body: section.number("body", 1..1_048_577, Some(65_536), findings),
    };
    section.finish(findings);
    limits
}

fn read_server(mut section: Section<'_>, findings: &mut Findings) -> Option<Server> {
    let name = section.text("name", findings);
    let domain = section.parsed("domain", "of the form `region/domain`", findings);
    let address = section.parsed("address", "an address such as `127.0.0.1:9101`", findings);
    let checks = section.flag("checks", false, findings);
    section.finish(findings);
    Some(Server {
        name,
        domain: domain?,
        address: address?,
        checks_token: checks,
    })
}
