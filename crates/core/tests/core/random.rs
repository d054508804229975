//! Long randomised simulations with fixed seeds.

use std::time::Duration;

use super::fleet::{Fault, Fleet, FleetConfig};

/// Number of seeds in a test run unless `AMARANTHSHUNT_SEEDS` sets another.
const SEEDS: u64 = 40;

fn seeds() -> u64 {
    let value = std::env::var("AMARANTHSHUNT_SEEDS").ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

fn first_seed() -> u64 {
    let value = std::env::var("AMARANTHSHUNT_FIRST_SEED").ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(0)
}

#[test]
fn invariants_hold_while_messages_are_delayed() {
    for seed in first_seed()..first_seed() + seeds() {
        println!("seed {seed}");
        let mut fleet = Fleet::new(&FleetConfig::default(), seed);
        fleet.run(Duration::from_secs(20));
    }
}

fn run_with_faults(config: &FleetConfig, seed: u64, faults: u32) -> Fleet {
    let mut fleet = Fleet::new(config, seed);
    fleet.run(Duration::from_secs(3));
    for number in 0..faults {
        let fault = fleet.random_fault();
        fleet.schedule_fault(Duration::ZERO, fault);
        if number % 3 == 0 {
            let second = fleet.random_fault();
            fleet.schedule_fault(Duration::from_millis(30), second);
        }
        fleet.run(Duration::from_millis(200 + u64::from(number * 97 % 900)));
    }
    fleet
}

#[test]
fn invariants_hold_under_random_faults_and_service_recovers() {
    for seed in first_seed()..first_seed() + seeds() {
        println!("seed {seed}");
        let mut fleet = run_with_faults(&FleetConfig::default(), seed, 25);
        fleet.clear_faults();
        fleet.run(Duration::from_secs(2));
        fleet.declare_lost_hosts();
        fleet.run(Duration::from_secs(6));
        let settled_at = fleet.now();
        fleet.run(Duration::from_secs(2));
        for entry in ["catalogue", "billing"] {
            let last = fleet.checks.last_answer.get(entry).copied();
            assert!(
                last > Some(settled_at),
                "seed {seed}: {entry} is not served after the faults ended\n{}",
                fleet.describe()
            );
        }
    }
}

#[test]
fn a_partitioned_domain_keeps_serving_its_keys() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(&FleetConfig::default(), seed);
        fleet.jitter_enabled = false;
        fleet.run(Duration::from_secs(4));
        let duration = Duration::from_secs(6);
        fleet.schedule_fault(Duration::ZERO, Fault::PartitionDomain(0, duration));
        fleet.run(Duration::from_secs(4));
        let before = ["este/e1", "este/e2"].map(|domain| fleet.answer_count_in(domain));
        fleet.run(Duration::from_secs(2));
        let after = ["este/e1", "este/e2"].map(|domain| fleet.answer_count_in(domain));
        println!("seed {seed}: answers {before:?} to {after:?} in the last 2 s of the partition");
        assert!(after[0] > before[0] + 100 && after[1] > before[1] + 100);
        fleet.run(Duration::from_secs(4));
        for entry in ["catalogue", "billing"] {
            let last = fleet.checks.last_answer.get(entry).copied();
            assert!(
                last > Some(fleet.now() - 1_000_000),
                "{entry} is not served"
            );
        }
    }
}

#[test]
fn keys_are_served_again_within_a_second_of_a_server_crash_during_a_handover() {
    for seed in first_seed()..first_seed() + seeds() / 2 {
        let mut fleet = Fleet::new(&FleetConfig::default(), seed);
        fleet.jitter_enabled = false;
        fleet.run(Duration::from_secs(3));
        fleet.gap_micros = 100..600;
        let slot = (seed % 4) as usize;
        let server = (seed / 4 % 6) as usize;
        let crash_delay = Duration::from_millis(seed % 11 * 9);
        fleet.schedule_fault(Duration::ZERO, Fault::StopHost(slot));
        fleet.schedule_fault(
            crash_delay,
            Fault::KillServer(server, Duration::from_secs(9)),
        );
        fleet.run(crash_delay);
        fleet.checks.runs_after = fleet.now();
        fleet.checks.first_runs.clear();
        fleet.run(Duration::from_secs(3));
        let slowest = fleet.checks.first_runs.iter().max_by_key(|(_, at)| **at);
        let (shard, at) = slowest.unwrap();
        let took = Duration::from_micros(at - fleet.checks.runs_after);
        assert_eq!(fleet.checks.first_runs.len(), 48, "seed {seed}");
        assert!(
            took < Duration::from_secs(1),
            "seed {seed}: {shard:?} ran again only after {took:?}"
        );
    }
}

/// Graceful shutdowns of hosts cause handovers and moves throughout the run; no host crashes.
#[test]
fn a_poison_request_crashes_at_most_two_servers() {
    for seed in first_seed()..first_seed() + seeds() {
        println!("seed {seed}");
        let mut fleet = Fleet::new(&FleetConfig::default(), seed);
        fleet.run(Duration::from_millis(500 + seed % 7 * 300));
        fleet.poison_enabled = true;
        for number in 0..12 {
            fleet.schedule_fault(Duration::ZERO, Fault::StopHost(number % 4));
            fleet.run(Duration::from_millis(300 + seed % 5 * 120));
        }
        assert_eq!(fleet.checks.poison_crashes.len(), 2, "seed {seed}");
        let refused = fleet
            .checks
            .outcome_counts
            .get("catalogue not run Quarantined");
        assert!(refused.is_some_and(|count| *count > 0), "seed {seed}");
    }
}

#[test]
fn a_fleet_without_faults_answers_nearly_everything() {
    for seed in 0..3 {
        let mut fleet = Fleet::new(&FleetConfig::default(), seed);
        fleet.load_enabled = false;
        fleet.jitter_enabled = false;
        fleet.run(Duration::from_secs(3));
        fleet.load_enabled = true;
        fleet.run(Duration::from_secs(5));
        let answered: u64 = fleet.checks.answered.values().sum();
        let not_run: u64 = fleet.checks.not_run.values().sum();
        let unknown: u64 = fleet.checks.unknown.values().sum();
        println!("answered {answered}, {:?}", fleet.checks.outcome_counts);
        assert!(answered > 1_000);
        assert_eq!(unknown, 0);
        assert!(not_run * 200 < answered);
    }
}
