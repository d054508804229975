//! Files are read whole, and everything wrong is named at its place.

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
fn a_whole_host_file_is_read() {
    let file = read_host_file("h.toml", HOST).unwrap();
    assert_eq!(file.domain.region(), "este");
    assert_eq!(file.deadline_millis, 2_000);
}

#[test]
fn every_finding_of_a_host_file_is_named_in_one_run() {
    let text = "name = 3\ndomain = \"este\"\nspeed = 1\n[listen]\ncallers = \"here\"\n";
    let report = read_host_file("h.toml", text).unwrap_err();
    let all = report.texts().join("\n");
    for part in [
        "`name` must be a text",
        "`domain` must be of the form",
        "`speed` is no known field",
        "`listen.callers` must be an address",
        "`listen.hosts` is missing",
        "`platform` is missing",
    ] {
        assert!(all.contains(part), "{part} is not in:\n{all}");
    }
}

#[test]
fn a_finding_points_at_its_bytes() {
    let text = HOST.replace("127.0.0.1:9000", "nowhere");
    let report = read_host_file("h.toml", &text).unwrap_err();
    let (offset, length) = report.spans()[0];
    assert_eq!(&text[offset..offset + length], "\"nowhere\"");
}

#[parameterized(
    clash = { "[timing]\nheartbeat_ms = 300\n", "at least twice" },
    range = { "[limits]\nrequests = 0\n", "from 1 to 1000000" },
    same_address = { "[peers]\nseeds = [1]\n", "must be a text" },
    kind = { "[timing]\nlease_ms = \"long\"\n", "must be a whole number" },
)]
fn a_bad_host_file_is_refused(extra: &str, part: &str) {
    let report = read_host_file("h.toml", &format!("{HOST}{extra}")).unwrap_err();
    assert!(
        report.texts().join("\n").contains(part),
        "{:?}",
        report.texts()
    );
}

#[test]
fn broken_toml_is_refused_with_its_place() {
    let report = read_host_file("h.toml", "name = \n").unwrap_err();
    assert!(!report.texts().is_empty());
}

#[test]
fn a_whole_entry_is_read() {
    let entry = read_entry("b.toml", ENTRY).unwrap();
    assert_eq!(entry.class, Class::Payment);
    assert_eq!(entry.limits.cold_slots, 1);
    assert!(entry.servers[0].checks);
}

#[parameterized(
    outside = { "domain = \"este/e1\"", "domain = \"norte/n1\"", "lies outside `regions`" },
    class = { "class = \"payment\"", "class = \"gift\"", "must be `read`" },
    slots = { "slots = 4", "slots = 0", "must be at least 1" },
    connections = { "connections = 110", "connections = 1", "must be at least `limits.slots`" },
    shards = { "shards = 16", "shards = 0", "from 1 to 16384" },
    owner = { "owner = \"vidrial\"", "owner = \"\"", "must not be empty" },
)]
fn a_bad_entry_is_refused(good: &str, bad: &str, part: &str) {
    let report = read_entry("b.toml", &ENTRY.replace(good, bad)).unwrap_err();
    assert!(
        report.texts().join("\n").contains(part),
        "{:?}",
        report.texts()
    );
}

#[test]
fn the_reference_page_has_every_field() {
    let page = std::fs::read_to_string("../../docs/settings.md").unwrap();
    for field in FIELDS {
        assert!(
            page.contains(&format!("`{field}`")),
            "{field} is not in docs/settings.md"
        );
    }
}
