//! One run.

use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_std::task;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::callers::{Ask, Seen, send};
use crate::faults::{mend, revive_all, strike};
use crate::fleet::Fleet;
use crate::report::Report;

/// Time for everything to start.
const START: Duration = Duration::from_secs(9);
/// Time after the last fault in which service has to come back.
const RECOVERY: Duration = Duration::from_secs(15);
/// Time after that in which service is measured.
const MEASURED: Duration = Duration::from_secs(5);
/// Time between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(12);
/// Time between two faults, on average.
const FAULT_PAUSE: Duration = Duration::from_millis(900);
/// Time after which the platform starts a process that has ended.
const REVIVAL: Duration = Duration::from_millis(1_000);

/// How large the deployment is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Size {
    /// 5 hosts, 8 servers.
    Small,
    /// 20 hosts, 32 servers.
    Large,
}

/// Plays a seed: faults for a while, then none; reports what was broken.
///
/// # Errors
///
/// Fails where processes or stand-ins cannot be started.
pub async fn play(program: &Path, seed: u64, span: Duration, size: Size) -> io::Result<Report> {
    let scale = if size == Size::Large { 4 } else { 1 };
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut fleet = Fleet::start(program, 5 * scale, 4 * scale).await?;
    let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
    let mut report = Report::new(seed);
    let began = Instant::now();
    let faults_begin = began + START;
    let faults_end = faults_begin + span;
    let end = faults_end + RECOVERY + MEASURED;
    let mut next_fault = faults_begin;
    let mut revived = began;
    let mut mended = false;
    let mut number = 0;
    while Instant::now() < end {
        let now = Instant::now();
        if now >= next_fault && now < faults_end {
            let what = strike(&mut fleet, program, &mut rng).await;
            report.note(now - began, &what);
            next_fault = now + FAULT_PAUSE.mul_f64(rng.random_range(0.1..2.0));
        }
        if now >= faults_end && !mended {
            mended = true;
            mend(&mut fleet, program).await;
            report.note(now - began, "all is mended for good");
        }
        if now - revived >= REVIVAL {
            revived = now;
            revive_all(&mut fleet, program);
        }
        if now >= began + START / 2 {
            number += 1;
            call(&fleet, &mut rng, &seen, seed, number);
        }
        task::sleep(REQUEST_PAUSE).await;
    }
    task::sleep(Duration::from_secs(5)).await;
    let seen = seen.lock().unwrap_or_else(PoisonError::into_inner).clone();
    report.check(&fleet, &seen, faults_end + RECOVERY);
    fleet.end(!report.is_clean());
    Ok(report)
}

/// Sends one request in the background.
fn call(fleet: &Fleet, rng: &mut SmallRng, seen: &Arc<Mutex<Vec<Seen>>>, seed: u64, number: u64) {
    let host = rng.random_range(0..fleet.entries.len());
    let ask = match rng.random_range(0..10) {
        0..=4 => Ask::Read,
        5..=7 => Ask::Pay,
        8 => Ask::Home,
        _ => Ask::Version(fleet.version),
    };
    let key = rng.random();
    let id = format!("{seed:04x}{number:08x}");
    let address = fleet.entries[host].callers;
    let seen = seen.clone();
    task::spawn(async move {
        let result = send(host, address, ask, id, key).await;
        seen.lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(result);
    });
}
