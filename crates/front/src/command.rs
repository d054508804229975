//! The `front` command.

use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use amaranthshunt_core::front::FrontSettings;
use amaranthshunt_core::log::EventCode;
use amaranthshunt_platform as platform;
use async_std::net::TcpListener;
use async_std::task;
use miette::{IntoDiagnostic, WrapErr, miette};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use crate::clock;
use crate::entry_host::EntryHost;
use crate::{callers, leadership, logs, monitoring, peers, reach, registration, watch};

/// Interval of the checks for a signal.
const SIGNAL_POLL: Duration = Duration::from_millis(50);
/// Interval at which expired connections and entries are removed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Time after a stop signal in which the platform may still send new connections. It covers two
/// readiness checks, a second apart, and one more check interval.
const READINESS_DELAY: Duration = Duration::from_millis(3_200);
/// New connections that may wait to be accepted. The library's own queue of 128 overflows in bursts,
/// and what does not fit waits for seconds or is reset.
const BACKLOG: i32 = 4_096;
/// Time before the end of the grace period at which the process exits, even with requests in flight.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// Runs the command.
pub fn run() -> ExitCode {
    match load_settings().and_then(serve) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

fn load_settings() -> miette::Result<FrontSettings> {
    let variable = platform::SETTINGS_PATH_VARIABLE;
    let path = std::env::var(variable)
        .into_diagnostic()
        .wrap_err_with(|| {
            format!("environment variable {variable} must hold the path of the settings file")
        })?;
    let text = std::fs::read_to_string(&path)
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot read the settings file {path}"))?;
    platform::read_settings(&text).map_err(|findings| {
        let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
        miette!("{path}: {}", lines.join("; "))
    })
}

fn serve(settings: FrontSettings) -> miette::Result<()> {
    logs::start_logs();
    let stop = Arc::new(AtomicBool::new(false));
    let reload = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, stop.clone()).into_diagnostic()?;
    }
    signal_hook::flag::register(SIGHUP, reload.clone()).into_diagnostic()?;
    task::block_on(async {
        let host = Arc::new(EntryHost::new(settings));
        start_tasks(&host).await?;
        let mut last_sweep = clock::now();
        while !stop.load(Ordering::Relaxed) {
            let due = clock::now() + SIGNAL_POLL;
            task::sleep(SIGNAL_POLL).await;
            host.record_lateness(clock::now().since(due));
            if reload.swap(false, Ordering::Relaxed) {
                check_settings(&host);
            }
            if clock::now().since(last_sweep) >= SWEEP_INTERVAL {
                last_sweep = clock::now();
                host.pool.close_expired();
                host.with_router(|router, now| router.tick(now));
                host.suspects.sweep(&host);
                host.sweep_bodies(SWEEP_INTERVAL);
            }
        }
        shut_down(&host).await;
        Ok(())
    })
}

/// Validates the settings file on a reload. The settings in use stay as they were at the start.
fn check_settings(host: &EntryHost) {
    match load_settings() {
        Ok(_) => host.log(
            EventCode::Reloaded,
            &host.settings.name,
            "the settings file is valid",
        ),
        Err(report) => host.log(
            EventCode::ReloadFailed,
            &host.settings.name,
            format!("settings kept, cannot use the file: {report:#}"),
        ),
    }
}

async fn start_tasks(host: &Arc<EntryHost>) -> miette::Result<()> {
    let settings = &host.settings;
    let monitoring_listener = bind(settings.readiness_address).await?;
    let caller_listener = bind(settings.callers_address).await?;
    let host_listener = bind(settings.peers_address()).await?;
    task::spawn(monitoring::serve(host.clone(), monitoring_listener));
    for kind in watch::KINDS {
        task::spawn(watch::follow_kind(host.clone(), kind));
    }
    task::spawn(peers::accept(host.clone(), host_listener));
    task::spawn(leadership::run(host.clone()));
    task::spawn(registration::keep_registered(host.clone()));
    task::spawn(reach::watch(host.clone()));
    let accept_task = task::spawn(callers::accept(host.clone(), caller_listener));
    host.set_accept_task(accept_task);
    host.log(
        EventCode::Started,
        &settings.name,
        format!("listening for callers at {}", settings.callers_address),
    );
    Ok(())
}

async fn bind(address: std::net::SocketAddr) -> miette::Result<TcpListener> {
    let listener = TcpListener::bind(address)
        .await
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot listen on {address}"))?;
    if let Err(error) = rustix::net::listen(&listener, BACKLOG) {
        log::warn!("cannot lengthen the queue of new connections at {address}: {error}");
    }
    Ok(listener)
}

/// Shuts down: fails readiness checks at once, accepts callers for as long as the platform sends
/// them, then waits for the requests in flight.
async fn shut_down(host: &EntryHost) {
    let shutdown_start = clock::now();
    host.log(EventCode::Leaving, &host.settings.name, "");
    host.begin_shutdown();
    let grace = host.settings.grace.saturating_sub(EXIT_MARGIN);
    task::sleep(READINESS_DELAY.min(grace)).await;
    host.stop_accepting();
    while clock::now().since(shutdown_start) < grace {
        task::sleep(SIGNAL_POLL).await;
        if host.in_flight() == 0
            && clock::now().since(shutdown_start) > READINESS_DELAY + SWEEP_INTERVAL
        {
            break;
        }
    }
    let detail = format!("{} requests in flight", host.in_flight());
    host.log(EventCode::Left, &host.settings.name, detail);
    // Gives the log writer time for the last line.
    task::sleep(SIGNAL_POLL).await;
}
