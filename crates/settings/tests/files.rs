//! Parsing of settings and catalogue files, with all findings and their locations.

use amaranthshunt_core::catalogue::Class;
use amaranthshunt_settings::{FIELDS, read_entry, read_host_file};
use yare::parameterized;

const HOST: &str = r#"
name = "h0"
domain = "este/e1"
[listen]
callers = "127.0.0.1:8080"
hosts = "127.0.0.1:7000"
[platform]
store = "127.0.0.1:9000"
"#;

const ENTRY: &str = r#"
name = "billing"
owner = "vidrial"
class = "payment"
regions = ["este"]
shards = 16
[limits]
slots = 4
connections = 110
[[servers]]
name = "b0"
domain = "este/e1"
address = "127.0.0.1:9101"
checks = true
"#;

#[test]
fn valid_host_file_is_parsed() {
    let file = read_host_file("h.toml", HOST).unwrap();
    assert_eq!(file.domain.region(), "este");
    assert_eq!(file.deadline_millis, 2_000);
}

#[test]
fn all_findings_of_a_host_file_are_reported_together() {
    let text = "name = 3\ndomain = \"este\"\nspeed = 1\n[listen]\ncallers = \"here\"\n";
    let report = read_host_file("h.toml", text).unwrap_err();
    let all = report.messages().join("\n");
    for part in [
        "`name` must be a string",
        "`domain` must be of the form",
        "`speed` is not a known field",
        "`listen.callers` must be an address",
        "`listen.hosts` is missing",
        "`platform` is missing",
    ] {
        assert!(all.contains(part), "{part} is not in:\n{all}");
    }
}

#[test]
fn finding_span_covers_the_invalid_value() {
    let text = HOST.replace("127.0.0.1:9000", "nowhere");
    let report = read_host_file("h.toml", &text).unwrap_err();
    let (offset, length) = report.spans()[0];
    assert_eq!(&text[offset..offset + length], "\"nowhere\"");
}

#[parameterized(
    inconsistent_timing = { "[timing]\nheartbeat_ms = 300\n", "at least twice" },
    number_out_of_range = { "[limits]\nrequests = 0\n", "from 1 to 1000000" },
    seed_of_wrong_type = { "[peers]\nseeds = [1]\n", "must be a string" },
    number_of_wrong_type = { "[timing]\nlease_ms = \"long\"\n", "must be a whole number" },
)]
fn invalid_host_file_is_rejected(extra: &str, part: &str) {
    let report = read_host_file("h.toml", &format!("{HOST}{extra}")).unwrap_err();
    assert!(
        report.messages().join("\n").contains(part),
        "{:?}",
        report.messages()
    );
}

#[test]
fn malformed_toml_is_rejected() {
    let report = read_host_file("h.toml", "name = \n").unwrap_err();
    assert!(!report.messages().is_empty());
}

#[test]
fn valid_entry_is_parsed() {
    let entry = read_entry("b.toml", ENTRY).unwrap();
    assert_eq!(entry.class, Class::Payment);
    assert_eq!(entry.limits.cold_slots, 1);
    assert!(entry.servers[0].checks_token);
}

#[parameterized(
    server_outside_regions = { "domain = \"este/e1\"", "domain = \"norte/n1\"", "lies outside `regions`" },
    class = { "class = \"payment\"", "class = \"gift\"", "must be `read`" },
    slots = { "slots = 4", "slots = 0", "must be at least 1" },
    connections = { "connections = 110", "connections = 1", "must be at least `limits.slots`" },
    shards = { "shards = 16", "shards = 0", "from 1 to 16384" },
    owner = { "owner = \"vidrial\"", "owner = \"\"", "must not be empty" },
)]
fn invalid_entry_is_rejected(good: &str, bad: &str, part: &str) {
    let report = read_entry("b.toml", &ENTRY.replace(good, bad)).unwrap_err();
    assert!(
        report.messages().join("\n").contains(part),
        "{:?}",
        report.messages()
    );
}

#[test]
fn settings_reference_lists_every_field() {
    let page = std::fs::read_to_string("../../docs/settings.md").unwrap();
    for field in FIELDS {
        assert!(
            page.contains(&format!("`{field}`")),
            "{field} is not in docs/settings.md"
        );
    }
}
