//! End-to-end tests with real host processes: crashes, pauses, store faults and graceful shutdowns.

use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use amaranthshunt_support::{
    Deployment, DeploymentOptions, Load, LoadOptions, LoadReport, send_request,
};
use async_std::future::timeout;
use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use async_std::task;

/// Serializes the tests, so that deployments do not slow each other down.
static SERIAL: Mutex<()> = Mutex::new(());

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_amaranthshunt");

fn load_options(deployment: &Deployment, seconds: u64) -> LoadOptions {
    LoadOptions {
        hosts: deployment.caller_addresses(),
        entries: vec![
            ("catalogue".to_owned(), false, 1),
            ("confirmation".to_owned(), true, 1),
        ],
        rate: 120.0,
        duration: Duration::from_secs(seconds),
        keys: 40,
        deadline: Duration::from_millis(2_500),
        max_attempts: 4,
        seed: 7,
    }
}

/// Returns the load report and the numbers of double runs, double owners and overruns.
fn run_with_fault(inject_fault: impl AsyncFnOnce(&mut Deployment)) -> (LoadReport, u64, u64, u64) {
    let _serial = SERIAL.lock().unwrap_or_else(PoisonError::into_inner);
    task::block_on(async {
        let mut deployment = Deployment::start(DeploymentOptions::one_region(), Path::new(PROGRAM))
            .await
            .unwrap();
        task::sleep(Duration::from_secs(1)).await;
        let load_task =
            task::spawn(Load::new(deployment.journal.clone()).run(load_options(&deployment, 4)));
        task::sleep(Duration::from_secs(1)).await;
        inject_fault(&mut deployment).await;
        let report = load_task.await;
        let journal = &deployment.journal;
        (
            report,
            journal.double_runs(),
            journal.double_owners(),
            journal.overruns(),
        )
    })
}

fn assert_guarantees(run: &(LoadReport, u64, u64, u64)) {
    let (report, double_runs, double_owners, overruns) = run;
    assert_eq!((*double_runs, *double_owners, *overruns), (0, 0, 0));
    let false_refusals: u64 = report
        .entries
        .values()
        .map(|tally| tally.false_refusals)
        .sum();
    assert_eq!(false_refusals, 0);
}

#[test]
fn requests_are_served_end_to_end() {
    let run = run_with_fault(async |_| {});
    assert_guarantees(&run);
    assert_eq!(run.0.count("answer"), run.0.latency().len());
    assert_eq!(run.0.count("not-run") + run.0.count("unknown"), 0);
}

#[test]
fn keys_of_a_crashed_server_are_reassigned() {
    let run = run_with_fault(async |deployment| deployment.backends[0].kill());
    assert_guarantees(&run);
    assert_eq!(run.0.count("not-run"), 0);
}

#[test]
fn keys_of_a_crashed_host_are_reassigned() {
    let run = run_with_fault(async |deployment| deployment.kill_host(0));
    assert_guarantees(&run);
    assert_eq!(run.0.count("not-run"), 0);
}

#[test]
fn host_paused_past_its_validity_runs_nothing_twice() {
    let run = run_with_fault(async |deployment| {
        deployment.pause_host(0, true);
        task::sleep(Duration::from_millis(1_500)).await;
        deployment.pause_host(0, false);
    });
    assert_guarantees(&run);
}

#[test]
fn requests_are_answered_during_a_store_outage() {
    let run = run_with_fault(async |deployment| {
        deployment.store.set_down(true);
        task::sleep(Duration::from_secs(2)).await;
        deployment.store.set_down(false);
    });
    assert_guarantees(&run);
    assert_eq!(run.0.count("not-run") + run.0.count("unknown"), 0);
}

#[test]
fn lost_store_replies_cause_no_refusals() {
    let run = run_with_fault(async |deployment| {
        deployment.store.set_lossy(true);
        deployment.backends[0].kill();
        task::sleep(Duration::from_secs(2)).await;
        deployment.store.set_lossy(false);
    });
    assert_guarantees(&run);
    assert_eq!(run.0.count("not-run"), 0);
}

#[test]
fn an_orderly_stop_cuts_no_request() {
    let run = run_with_fault(async |deployment| {
        deployment.stop_host(0);
        for _ in 0..200 {
            if deployment.has_ended(0) {
                return;
            }
            task::sleep(Duration::from_millis(20)).await;
        }
        panic!("the host did not exit");
    });
    assert_guarantees(&run);
    assert_eq!(run.0.cut, 0);
    assert_eq!(run.0.count("not-run") + run.0.count("unknown"), 0);
}

#[test]
fn draining_server_gets_no_new_requests() {
    let mut completed_while_draining = 0;
    let run = run_with_fault(async |deployment| {
        let server = &deployment.backends[0];
        server.set_draining(true);
        task::sleep(Duration::from_millis(1_500)).await;
        let before = server.completed();
        task::sleep(Duration::from_secs(1)).await;
        completed_while_draining = server.completed() - before;
    });
    assert_guarantees(&run);
    assert_eq!(completed_while_draining, 0);
    assert_eq!(run.0.cut, 0);
    assert_eq!(run.0.count("not-run") + run.0.count("unknown"), 0);
}

#[test]
fn load_shedding_server_causes_no_unknown_outcomes() {
    let run = run_with_fault(async |deployment| {
        deployment.backends[0].set_shedding(true);
        task::sleep(Duration::from_secs(1)).await;
        deployment.backends[0].set_shedding(false);
    });
    assert_guarantees(&run);
    assert_eq!(run.0.count("unknown"), 0);
    assert!(run.0.count("answer") > 0);
}

#[test]
fn frozen_server_is_replaced_and_runs_nothing_twice() {
    let run = run_with_fault(async |deployment| {
        deployment.backends[0].set_frozen(true);
        task::sleep(Duration::from_millis(1_500)).await;
        deployment.backends[0].set_frozen(false);
    });
    assert_guarantees(&run);
    assert!(run.0.count("answer") > 0);
}

#[test]
fn requests_are_answered_with_a_slow_store() {
    let run = run_with_fault(async |deployment| {
        deployment.store.set_delay(Duration::from_millis(150));
        task::sleep(Duration::from_secs(2)).await;
        deployment.store.set_delay(Duration::ZERO);
    });
    assert_guarantees(&run);
    assert_eq!(run.0.count("not-run") + run.0.count("unknown"), 0);
}

#[test]
fn host_started_during_a_store_outage_gets_its_configuration_from_listed_hosts() {
    let mut options = DeploymentOptions::one_region();
    options.seeds = false;
    let response = deploy(options, async |deployment| {
        deployment.kill_host(0);
        task::sleep(Duration::from_millis(1_500)).await;
        deployment.store.set_down(true);
        deployment.restart_host(0, Path::new(PROGRAM)).unwrap();
        let host = deployment.caller_addresses()[0];
        for _ in 0..50 {
            task::sleep(Duration::from_millis(100)).await;
            let response =
                send_request(host, "/v1/catalogue/k", &[("deadline-ms", "500")], "").await;
            if response
                .as_ref()
                .is_some_and(|response| response.status == 200)
            {
                return response;
            }
        }
        None
    });
    assert!(
        response.is_some(),
        "the restarted host does not serve requests"
    );
}

fn deploy<T>(options: DeploymentOptions, scenario: impl AsyncFnOnce(&mut Deployment) -> T) -> T {
    let _serial = SERIAL.lock().unwrap_or_else(PoisonError::into_inner);
    task::block_on(async {
        let mut deployment = Deployment::start(options, Path::new(PROGRAM))
            .await
            .unwrap();
        scenario(&mut deployment).await
    })
}

#[test]
fn poison_request_crashes_at_most_two_servers() {
    let results = deploy(DeploymentOptions::one_region(), async |deployment| {
        let hosts = deployment.caller_addresses();
        let headers = [("deadline-ms", "2500")];
        let mut last = None;
        for attempt in 0..8 {
            let host = hosts[attempt % hosts.len()];
            last = send_request(host, "/v1/catalogue/bad", &headers, "poison").await;
        }
        let other_body = send_request(hosts[0], "/v1/catalogue/bad", &headers, "good").await;
        let down = deployment
            .backends
            .iter()
            .filter(|backend| backend.is_down());
        (last.unwrap(), other_body.unwrap(), down.count())
    });
    assert_eq!(results.0.reason, "quarantined");
    assert_eq!(results.1.status, 200);
    assert!(results.2 <= 2, "{} servers are down", results.2);
}

#[test]
fn request_for_another_region_is_refused_with_its_home_region() {
    let (refused, served, runs) = deploy(DeploymentOptions::two_regions(), async |deployment| {
        let host = deployment.caller_addresses()[0];
        let before = deployment.journal.total();
        let other_region = [("tenant", "only-norte")];
        let refused = send_request(host, "/v1/catalogue/k", &other_region, "secret")
            .await
            .unwrap();
        let runs = deployment.journal.total() - before;
        let home_region = [("tenant", "only-este")];
        let served = send_request(host, "/v1/catalogue/k", &home_region, "open")
            .await
            .unwrap();
        (refused, served, runs)
    });
    assert_eq!(
        (refused.status, refused.home_regions.as_str()),
        (421, "norte")
    );
    assert_eq!(served.status, 200);
    assert_eq!(runs, 0);
}

#[test]
fn catalogue_change_applies_on_all_hosts_within_three_seconds() {
    let mut options = DeploymentOptions::one_region();
    options.storeless_host = true;
    let elapsed = deploy(options, async |deployment| {
        let written = deployment.add_entry("fresh").await.unwrap();
        let headers = [("deadline-ms", "1")];
        for host in deployment.caller_addresses() {
            loop {
                let response = send_request(host, "/v1/fresh/k", &headers, "")
                    .await
                    .unwrap();
                if response.reason != "unknown-entry" {
                    break;
                }
                assert!(
                    written.elapsed() < Duration::from_secs(10),
                    "{host}: {response:?}"
                );
                task::sleep(Duration::from_millis(10)).await;
            }
        }
        written.elapsed()
    });
    println!("applied on five hosts, one without the store, after {elapsed:?}");
    assert!(elapsed < Duration::from_secs(3), "{elapsed:?}");
}

#[test]
fn invalid_settings_are_reported_with_all_findings() {
    let folder = std::env::temp_dir();
    let path = folder.join(format!("amaranthshunt-bad-{}.toml", std::process::id()));
    std::fs::write(&path, "name = 1\ncolour = \"red\"\n").unwrap();
    let output = std::process::Command::new(PROGRAM)
        .args(["--settings", path.to_str().unwrap()])
        .output()
        .unwrap();
    std::fs::remove_file(&path).unwrap();
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2));
    assert!(text.contains("`colour` is not a known field"), "{text}");
    assert!(text.contains("`name` must be a string"), "{text}");
}

// Guards against requests that run though their heads have malformed lines.
#[test]
fn request_with_a_malformed_head_does_not_run() {
    let lines = [
        "X Odd: 1",
        "X-Odd : 1",
        " X-Odd: 1",
        "X\0Odd: 1",
        "X-Odd\u{7f}: 1",
        ": 1",
        "X: 1\rY: 2",
    ];
    let (successes, runs, served) = deploy(DeploymentOptions::one_region(), async |deployment| {
        let host = deployment.caller_addresses()[0];
        let before = deployment.journal.total();
        let mut successes = Vec::new();
        for line in lines {
            let request = format!(
                "POST /v1/catalogue/k HTTP/1.1\r\nhost: a\r\n{line}\r\ncontent-length: 2\r\n\r\nok"
            );
            let mut caller = TcpStream::connect(host).await.unwrap();
            caller.write_all(request.as_bytes()).await.unwrap();
            let mut start = [0; 10];
            let count = timeout(Duration::from_secs(2), caller.read(&mut start)).await;
            let start = &start[..count.map_or(0, Result::unwrap_or_default)];
            if start.starts_with(b"HTTP/1.1 2") {
                successes.push(line);
            }
        }
        let runs = deployment.journal.total() - before;
        let served = send_request(host, "/v1/catalogue/k", &[], "ok").await;
        (successes, runs, served.unwrap())
    });
    assert_eq!(successes, Vec::<&str>::new());
    assert_eq!(runs, 0);
    assert_eq!(served.status, 200);
}
