//! Randomized tests of grants under faults.

use yare::parameterized;

use crate::sim::Sim;

fn random_sim(seed: u64) -> Sim {
    Sim::new(seed, 3 + (seed % 4) as usize, 3 + (seed % 5) as usize)
}

/// Runs one seed; returns the violation found, if any.
fn run_seed(seed: u64) -> Option<String> {
    run_to_recovery(random_sim(seed))
}

/// Runs with faults and then without; returns the violation found, if any.
fn run_to_recovery(mut sim: Sim) -> Option<String> {
    sim.run(60_000);
    if sim.violation.is_none() {
        sim.heal(25_000);
    }
    let unserved = sim.unserved();
    let unserved_error = (unserved > 0)
        .then(|| format!("{unserved} keys are still not served after all faults ended"));
    sim.violation.or(unserved_error)
}

/// Runs many seeds and checks that none finds a violation.
fn check_seeds(run: impl Fn(u64) -> Option<String>) {
    let seeds: u64 = std::env::var("GRANT_SEEDS").map_or(60, |text| text.parse().unwrap());
    let first: u64 = std::env::var("GRANT_FIRST").map_or(0, |text| text.parse().unwrap());

    let violations: Vec<String> = (first..first + seeds)
        .filter_map(|seed| run(seed).map(|text| format!("seed {seed}: {text}")))
        .collect();

    assert!(
        violations.is_empty(),
        "{} of {seeds}: {:#?}",
        violations.len(),
        &violations[..violations.len().min(8)]
    );
}

#[test]
fn no_key_has_two_holders_and_all_keys_recover() {
    check_seeds(run_seed);
}

// Guards against OWNER: a leader that its region cuts off with most of the hosts goes on granting keys,
// and another one took them for gone after 20 s.
#[test]
fn no_key_has_two_holders_while_regions_lose_each_other() {
    check_seeds(|seed| run_to_recovery(random_sim(seed).with_region_cuts(seed)));
}

// Guards against OWNER: after the store was restored, a leader took its own older record for that of
// another one, and its successor granted keys by it that had moved in the lost seconds.
#[test]
fn no_key_has_two_holders_after_the_store_was_restored() {
    check_seeds(|seed| run_to_recovery(random_sim(seed).with_store_restores()));
}

// Guards against OWNER: the store had lost that another host had taken over for a moment, and keys
// were released while that one could still grant them to the same server.
#[test]
fn lost_takeover_grants_no_released_key() {
    let sim = random_sim(1_420).with_store_restores();

    assert_eq!(run_to_recovery(sim), None);
}

#[parameterized(
    first = { 0 },
    order_sent_without_permission_1 = { 146 },
    order_sent_without_permission_2 = { 204 },
    order_sent_without_permission_3 = { 299 },
    released_server_restarts = { 928 },
)]
fn past_failure_seeds_pass(seed: u64) {
    assert_eq!(run_seed(seed), None);
}
