//! Runs operators' commands against a fake object store.

use std::path::PathBuf;
use std::process::{Command, Output};

use amaranthshunt_support::{FakeStore, free_address};
use async_std::task;

const PROGRAM: &str = env!("CARGO_BIN_EXE_amaranthctl");

const ENTRY: &str = r#"
name = "billing"
owner = "vidrial"
class = "payment"
regions = ["este"]
shards = 16
[limits]
slots = 4
connections = 110
"#;

fn start_store() -> FakeStore {
    task::block_on(FakeStore::start(free_address())).unwrap()
}

fn run_ctl(store: &FakeStore, operator: &str, arguments: &[&str]) -> Output {
    let address = store.address().to_string();
    Command::new(PROGRAM)
        .args(["--store", &address, "--operator", operator])
        .args(arguments)
        .output()
        .unwrap()
}

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("amaranthctl-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn an_entry_is_applied_listed_audited_and_removed() {
    let store = start_store();
    let path = write_file("good.toml", ENTRY);
    let applied = run_ctl(&store, "ana", &["entry", "apply", path.to_str().unwrap()]);
    assert!(applied.status.success(), "{}", stderr(&applied));
    let listed = run_ctl(&store, "ana", &["entry", "list"]);
    assert!(stdout(&listed).contains("billing Payment of vidrial"));
    let removed = run_ctl(&store, "bea", &["entry", "remove", "billing"]);
    assert!(removed.status.success(), "{}", stderr(&removed));
    let trail = stdout(&run_ctl(&store, "ana", &["audit"]));
    let lines: Vec<&str> = trail.lines().collect();
    assert_eq!(lines.len(), 2, "{trail}");
    assert!(lines[0].contains("\"actor\":\"ana\"") && lines[0].contains("entry-apply"));
    assert!(lines[1].contains("\"actor\":\"bea\"") && lines[1].contains("\"after\":null"));
    std::fs::remove_file(path).unwrap();
}

#[test]
fn an_invalid_entry_changes_nothing() {
    let store = start_store();
    let path = write_file("bad.toml", &ENTRY.replace("slots = 4", "slots = 0"));
    let applied = run_ctl(&store, "ana", &["entry", "apply", path.to_str().unwrap()]);
    assert_eq!(applied.status.code(), Some(1));
    assert!(
        stderr(&applied).contains("must be at least 1"),
        "{}",
        stderr(&applied)
    );
    assert_eq!(
        stdout(&run_ctl(&store, "ana", &["entry", "list"])).trim(),
        ""
    );
    std::fs::remove_file(path).unwrap();
}

#[test]
fn the_shard_count_of_a_stored_entry_cannot_change() {
    let store = start_store();
    let first = write_file("first.toml", ENTRY);
    let second = write_file("second.toml", &ENTRY.replace("shards = 16", "shards = 32"));
    run_ctl(&store, "ana", &["entry", "apply", first.to_str().unwrap()]);
    let applied = run_ctl(&store, "ana", &["entry", "apply", second.to_str().unwrap()]);
    assert_eq!(applied.status.code(), Some(1));
    assert!(
        stderr(&applied).contains("cannot change"),
        "{}",
        stderr(&applied)
    );
    std::fs::remove_file(first).unwrap();
    std::fs::remove_file(second).unwrap();
}

#[test]
fn concurrent_orders_succeed_or_report_a_conflict() {
    let store = start_store();
    let address = store.address().to_string();
    let orders: Vec<_> = (0..8)
        .map(|number| {
            let verb = if number % 2 == 0 { "out" } else { "return" };
            let operator = format!("op{number}");
            Command::new(PROGRAM)
                .args(["--store", &address, "--operator", &operator])
                .args(["domain", verb, "este/e1"])
                .stderr(std::process::Stdio::piped())
                .stdout(std::process::Stdio::null())
                .spawn()
                .unwrap()
        })
        .collect();
    let mut succeeded = 0;
    for order in orders {
        let output = order.wait_with_output().unwrap();
        if output.status.success() {
            succeeded += 1;
        } else {
            let text = stderr(&output);
            assert!(text.contains("somebody else changed"), "{text}");
            assert!(text.contains("it now reads"), "{text}");
        }
    }
    assert!(succeeded >= 1);
    let trail = stdout(&run_ctl(&store, "ana", &["audit"]));
    let confirmed = trail
        .lines()
        .filter(|line| !line.contains("\"revision\":null"));
    assert_eq!(confirmed.count(), succeeded);
}

#[test]
fn a_lost_reply_is_resolved_by_reading_back() {
    let store = start_store();
    store.set_lossy(true);
    let done = run_ctl(&store, "ana", &["server", "out", "s1"]);
    store.set_lossy(false);
    assert!(done.status.success(), "{}", stderr(&done));
    assert!(stdout(&run_ctl(&store, "ana", &["status"])).contains("server s1 is out"));
}

#[test]
fn hosts_and_domains_are_taken_out_and_returned() {
    let store = start_store();
    for arguments in [
        ["host", "out", "este-e1-h0"],
        ["host", "lost", "4611686018427387904"],
        ["domain", "out", "este/e1"],
        ["domain", "return", "este/e1"],
    ] {
        let done = run_ctl(&store, "ana", &arguments);
        assert!(done.status.success(), "{arguments:?}: {}", stderr(&done));
    }
    let status = stdout(&run_ctl(&store, "ana", &["status"]));
    assert!(
        status.contains("host este-e1-h0 is out, by ana"),
        "{status}"
    );
    assert!(
        status.contains("lost 4611686018427387904 is out"),
        "{status}"
    );
    assert!(!status.contains("este/e1 is out"), "{status}");
}

// Guards against an order for another host or server than the one that was named.
#[test]
fn an_order_for_a_name_that_no_host_or_server_has_is_rejected() {
    let store = start_store();
    for name in ["s1#2", "s1?x", "s1 2", "s1%32", "s1/2", "..", ""] {
        for kind in ["host", "server"] {
            let done = run_ctl(&store, "ana", &[kind, "out", name]);
            assert_eq!(done.status.code(), Some(1), "{kind} {name}");
            assert!(stderr(&done).contains("1 to 64"), "{}", stderr(&done));
        }
    }
    let removed = run_ctl(&store, "ana", &["entry", "remove", "../order/x"]);
    assert_eq!(removed.status.code(), Some(1));
    let status = stdout(&run_ctl(&store, "ana", &["status"]));
    assert!(!status.contains("is out"), "{status}");
    assert_eq!(stdout(&run_ctl(&store, "ana", &["audit"])).trim(), "");
}

#[test]
fn invalid_command_lines_exit_with_two() {
    for arguments in [
        &["dance"][..],
        &["--store", "nowhere", "status"],
        &["--bogus"],
    ] {
        let output = Command::new(PROGRAM).args(arguments).output().unwrap();
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
    }
}

#[test]
fn help_and_version_are_printed() {
    for flag in ["--help", "--version"] {
        let output = Command::new(PROGRAM).arg(flag).output().unwrap();
        assert!(output.status.success());
        assert!(stdout(&output).contains("amaranthctl"));
    }
}
