//! Real processes: a request from end to end, lost and paused hosts, an orderly stop.

use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use amaranthshunt_support::{Deployment, Load, LoadOptions, LoadReport, Shape, ask};
use async_std::task;

/// Deployments run one after another, so that they do not slow each other down.
static TURN: Mutex<()> = Mutex::new(());

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_amaranthshunt");

fn load(deployment: &Deployment, seconds: u64) -> LoadOptions {
    LoadOptions {
        hosts: deployment.callers(),
        entries: vec![
            ("catalogue".to_owned(), false, 1),
            ("confirmation".to_owned(), true, 1),
        ],
        rate: 120.0,
        span: Duration::from_secs(seconds),
        keys: 40,
        deadline: Duration::from_millis(2_500),
        sendings: 4,
        seed: 7,
    }
}

fn run(disturb: impl AsyncFnOnce(&mut Deployment)) -> (LoadReport, u64, u64, u64) {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    task::block_on(async {
        let mut deployment = Deployment::start(Shape::one_region(), Path::new(PROGRAM))
            .await
            .unwrap();
        task::sleep(Duration::from_secs(1)).await;
        let sending = task::spawn(Load::new(deployment.journal.clone()).run(load(&deployment, 4)));
        task::sleep(Duration::from_secs(1)).await;
        disturb(&mut deployment).await;
        let report = sending.await;
        let journal = &deployment.journal;
        (
            report,
            journal.double_runs(),
            journal.double_owners(),
            journal.overruns(),
        )
    })
}

fn assert_promises(run: &(LoadReport, u64, u64, u64)) {
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
fn requests_are_served_from_end_to_end() {
    let run = run(async |_| {});
    assert_promises(&run);
    assert_eq!(run.0.count("answer"), run.0.latency().len());
    assert_eq!(run.0.count("not-run") + run.0.count("unknown"), 0);
}

#[test]
fn keys_of_a_lost_server_are_served_again() {
    let run = run(async |deployment| deployment.backends[0].kill());
    assert_promises(&run);
    assert_eq!(run.0.count("not-run"), 0);
}

#[test]
fn keys_of_a_lost_host_are_served_again() {
    let run = run(async |deployment| deployment.kill_host(0));
    assert_promises(&run);
    assert_eq!(run.0.count("not-run"), 0);
}

#[test]
fn a_host_that_was_paused_longer_than_its_validity_runs_nothing_twice() {
    let run = run(async |deployment| {
        deployment.pause_host(0, true);
        task::sleep(Duration::from_millis(1_500)).await;
        deployment.pause_host(0, false);
    });
    assert_promises(&run);
}

#[test]
fn a_store_outage_stops_nobody() {
    let run = run(async |deployment| {
        deployment.store.set_down(true);
        task::sleep(Duration::from_secs(2)).await;
        deployment.store.set_down(false);
    });
    assert_promises(&run);
    assert_eq!(run.0.count("not-run") + run.0.count("unknown"), 0);
}

#[test]
fn lost_store_replies_change_nothing() {
    let run = run(async |deployment| {
        deployment.store.set_lossy(true);
        deployment.backends[0].kill();
        task::sleep(Duration::from_secs(2)).await;
        deployment.store.set_lossy(false);
    });
    assert_promises(&run);
    assert_eq!(run.0.count("not-run"), 0);
}

#[test]
fn an_orderly_stop_cuts_no_request() {
    let run = run(async |deployment| {
        deployment.stop_host(0);
        for _ in 0..200 {
            if deployment.has_ended(0) {
                return;
            }
            task::sleep(Duration::from_millis(20)).await;
        }
        panic!("the host did not end");
    });
    assert_promises(&run);
    assert_eq!(run.0.cut, 0);
    assert_eq!(run.0.count("not-run") + run.0.count("unknown"), 0);
}

#[test]
fn a_draining_server_gets_no_new_work_and_nothing_fails() {
    let mut late = 0;
    let run = run(async |deployment| {
        let server = &deployment.backends[0];
        server.set_draining(true);
        task::sleep(Duration::from_millis(1_500)).await;
        let before = server.completed();
        task::sleep(Duration::from_secs(1)).await;
        late = server.completed() - before;
    });
    assert_promises(&run);
    assert_eq!(late, 0);
    assert_eq!(run.0.cut, 0);
    assert_eq!(run.0.count("not-run") + run.0.count("unknown"), 0);
}

#[test]
fn a_server_that_sheds_its_load_leaves_nothing_in_doubt() {
    let run = run(async |deployment| {
        deployment.backends[0].set_shedding(true);
        task::sleep(Duration::from_secs(1)).await;
        deployment.backends[0].set_shedding(false);
    });
    assert_promises(&run);
    assert_eq!(run.0.count("unknown"), 0);
    assert!(run.0.count("answer") > 0);
}

#[test]
fn a_frozen_server_is_replaced_and_runs_nothing_twice() {
    let run = run(async |deployment| {
        deployment.backends[0].set_frozen(true);
        task::sleep(Duration::from_millis(1_500)).await;
        deployment.backends[0].set_frozen(false);
    });
    assert_promises(&run);
    assert!(run.0.count("answer") > 0);
}

#[test]
fn a_slow_store_stops_nobody() {
    let run = run(async |deployment| {
        deployment.store.set_delay(Duration::from_millis(150));
        task::sleep(Duration::from_secs(2)).await;
        deployment.store.set_delay(Duration::ZERO);
    });
    assert_promises(&run);
    assert_eq!(run.0.count("not-run") + run.0.count("unknown"), 0);
}

#[test]
fn a_host_that_starts_in_an_outage_learns_from_the_hosts_on_the_list() {
    let mut shape = Shape::one_region();
    shape.seeds = false;
    let seen = deploy(shape, async |deployment| {
        deployment.kill_host(0);
        task::sleep(Duration::from_millis(1_500)).await;
        deployment.store.set_down(true);
        deployment.restart_host(0, Path::new(PROGRAM)).unwrap();
        let host = deployment.callers()[0];
        for _ in 0..50 {
            task::sleep(Duration::from_millis(100)).await;
            let seen = ask(host, "/v1/catalogue/k", &[("deadline-ms", "500")], "").await;
            if seen.as_ref().is_some_and(|seen| seen.status == 200) {
                return seen;
            }
        }
        None
    });
    assert!(seen.is_some(), "the new host does not serve");
}

fn deploy<T>(shape: Shape, act: impl AsyncFnOnce(&mut Deployment) -> T) -> T {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    task::block_on(async {
        let mut deployment = Deployment::start(shape, Path::new(PROGRAM)).await.unwrap();
        act(&mut deployment).await
    })
}

#[test]
fn a_poison_request_takes_down_two_servers_at_most() {
    let seen = deploy(Shape::one_region(), async |deployment| {
        let hosts = deployment.callers();
        let headers = [("deadline-ms", "2500")];
        let mut last = None;
        for number in 0..8 {
            let host = hosts[number % hosts.len()];
            last = ask(host, "/v1/catalogue/bad", &headers, "poison").await;
        }
        let others = ask(hosts[0], "/v1/catalogue/bad", &headers, "good").await;
        let down = deployment
            .backends
            .iter()
            .filter(|backend| backend.is_down());
        (last.unwrap(), others.unwrap(), down.count())
    });
    assert_eq!(seen.0.reason, "quarantined");
    assert_eq!(seen.1.status, 200);
    assert!(seen.2 <= 2, "{} servers are down", seen.2);
}

#[test]
fn a_request_for_another_region_is_refused_with_its_home() {
    let (seen, here, runs) = deploy(Shape::two_regions(), async |deployment| {
        let host = deployment.callers()[0];
        let before = deployment.journal.total();
        let away = [("tenant", "only-norte")];
        let seen = ask(host, "/v1/catalogue/k", &away, "secret").await.unwrap();
        let runs = deployment.journal.total() - before;
        let home = [("tenant", "only-este")];
        let here = ask(host, "/v1/catalogue/k", &home, "open").await.unwrap();
        (seen, here, runs)
    });
    assert_eq!((seen.status, seen.home.as_str()), (421, "norte"));
    assert_eq!(here.status, 200);
    assert_eq!(runs, 0);
}

#[test]
fn a_catalogue_change_is_in_force_everywhere_within_three_seconds() {
    let mut shape = Shape::one_region();
    shape.blind_host = true;
    let took = deploy(shape, async |deployment| {
        let written = deployment.add_entry("fresh").await.unwrap();
        let headers = [("deadline-ms", "1")];
        for host in deployment.callers() {
            loop {
                let seen = ask(host, "/v1/fresh/k", &headers, "").await.unwrap();
                if seen.reason != "unknown-entry" {
                    break;
                }
                assert!(
                    written.elapsed() < Duration::from_secs(10),
                    "{host}: {seen:?}"
                );
                task::sleep(Duration::from_millis(10)).await;
            }
        }
        written.elapsed()
    });
    println!("in force on five hosts, one without the store, after {took:?}");
    assert!(took < Duration::from_secs(3), "{took:?}");
}

#[test]
fn bad_settings_start_nothing_and_name_everything() {
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
    assert!(text.contains("`colour` is no known field"), "{text}");
    assert!(text.contains("`name` must be a text"), "{text}");
}
