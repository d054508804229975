//! Recorded events of one host, and their replay.

use serde::{Deserialize, Serialize};

use crate::event::{Effect, Event};
use crate::host::Host;
use crate::request::Outcome;
use crate::settings::HostSettings;
use crate::time::Time;

/// The events of one host from its start.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Trace {
    /// How the host was set up.
    pub settings: HostSettings,
    /// The seed of its random choices.
    pub seed: u64,
    /// When it started.
    pub started: Time,
    /// What it was told, in order.
    pub steps: Vec<Step>,
    /// How the requests of its callers ended, in order.
    pub outcomes: Vec<Outcome>,
}

/// One event and when it happened.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Step {
    /// The time by the host's clock.
    pub at: Time,
    /// The event.
    pub event: Event,
}

impl Trace {
    /// Runs the events through a fresh host and returns all effects, step by step.
    pub fn replay(&self) -> Vec<Vec<Effect>> {
        let mut host = Host::new(self.settings.clone(), self.seed, self.started);
        self.steps
            .iter()
            .map(|step| host.handle(step.at, step.event.clone()))
            .collect()
    }

    /// The outcomes among effects, in order.
    pub fn outcomes_of(effects: &[Vec<Effect>]) -> Vec<Outcome> {
        effects
            .iter()
            .flatten()
            .filter_map(|effect| match effect {
                Effect::Respond { outcome, .. } => Some(outcome.clone()),
                _ => None,
            })
            .collect()
    }
}
