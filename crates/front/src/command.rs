//! The `front` command.

use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use amaranthshunt_core::front::FrontSettings;
use amaranthshunt_core::log::Code;
use amaranthshunt_platform as platform;
use async_std::net::TcpListener;
use async_std::task;
use miette::{IntoDiagnostic, WrapErr, miette};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use crate::clock;
use crate::front::Front;
use crate::{callers, granting, logs, peers, ready, watch};

/// Time between two looks for a signal.
const SIGNAL_POLL: Duration = Duration::from_millis(50);
/// Time between two sweeps of idle connections and lapsed entries.
const SWEEP: Duration = Duration::from_millis(500);
/// Time after a request to stop in which the platform still sends new connections: two questions
/// a second apart, and one more.
const FAREWELL: Duration = Duration::from_millis(3_200);
/// Time before the end of the grace in which the process ends whatever is under way.
const GRACE_MARGIN: Duration = Duration::from_millis(400);

/// Runs the command.
pub fn run() -> ExitCode {
    match settings().and_then(serve) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

fn settings() -> miette::Result<FrontSettings> {
    let variable = platform::SETTINGS_PATH;
    let path = std::env::var(variable)
        .into_diagnostic()
        .wrap_err_with(|| format!("{variable} does not name the settings file"))?;
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
        let front = Arc::new(Front::new(settings));
        start(&front).await?;
        let mut swept = clock::now();
        while !stop.load(Ordering::Relaxed) {
            task::sleep(SIGNAL_POLL).await;
            if reload.swap(false, Ordering::Relaxed) {
                check_settings(&front);
            }
            if clock::now().since(swept) >= SWEEP {
                swept = clock::now();
                front.pool.sweep();
                front.route(|router, now| router.tick(now));
            }
        }
        leave(&front).await;
        Ok(())
    })
}

/// Reads the settings anew. Addresses and names stay as they were at the start.
fn check_settings(front: &Front) {
    match settings() {
        Ok(_) => front.log(
            Code::Reloaded,
            &front.settings.name,
            "settings have no findings",
        ),
        Err(report) => front.log(
            Code::Reloaded,
            &front.settings.name,
            format!("kept: {report}"),
        ),
    }
}

async fn start(front: &Arc<Front>) -> miette::Result<()> {
    let settings = &front.settings;
    let ready = bind(settings.ready).await?;
    let callers = bind(settings.callers).await?;
    let hosts = bind(settings.peers()).await?;
    task::spawn(ready::answer(front.clone(), ready));
    for kind in watch::KINDS {
        task::spawn(watch::follow(front.clone(), kind));
    }
    task::spawn(peers::accept(front.clone(), hosts));
    task::spawn(granting::run(front.clone()));
    let accepting = task::spawn(callers::accept(front.clone(), callers));
    front.set_accepting(accepting);
    front.log(
        Code::Started,
        &settings.name,
        format!("callers at {}", settings.callers),
    );
    Ok(())
}

async fn bind(address: std::net::SocketAddr) -> miette::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot listen at {address}"))
}

/// Stops in order: no longer ready at once, new callers for as long as the platform sends them,
/// then what is under way to its end.
async fn leave(front: &Front) {
    let began = clock::now();
    front.log(Code::Leaving, &front.settings.name, "");
    front.leave();
    let grace = front.settings.grace.saturating_sub(GRACE_MARGIN);
    task::sleep(FAREWELL.min(grace)).await;
    front.close_idle();
    while clock::now().since(began) < grace {
        task::sleep(SIGNAL_POLL).await;
        if front.under_way() == 0 && clock::now().since(began) > FAREWELL + SWEEP {
            break;
        }
    }
    let detail = format!("{} requests under way", front.under_way());
    front.log(Code::Left, &front.settings.name, detail);
    // The writer of the log gets a moment for the last line.
    task::sleep(SIGNAL_POLL).await;
}
