//! Recording and replay of one host's events.

use serde::{Deserialize, Serialize};

use crate::event::{Effect, Event};
use crate::host::Host;
use crate::request::Outcome;
use crate::settings::HostSettings;
use crate::time::Time;

/// The events of one host since its start.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Trace {
    /// The host's settings.
    pub settings: HostSettings,
    /// The seed of its random number generator.
    pub seed: u64,
    /// When the host started.
    pub started: Time,
    /// The events in order.
    pub steps: Vec<Step>,
    /// The outcomes of its callers' requests, in order.
    pub outcomes: Vec<Outcome>,
}

/// One event with its time.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Step {
    /// The time on the host's clock.
    pub at: Time,
    /// The event that was passed to [`Host::handle`].
    pub event: Event,
}

impl Trace {
    /// Replays the events on a new host and returns the effects of each step.
    pub fn replay(&self) -> Vec<Vec<Effect>> {
        let mut host = Host::new(self.settings.clone(), self.seed, self.started);
        self.steps
            .iter()
            .map(|step| host.handle(step.at, step.event.clone()))
            .collect()
    }

    /// The outcomes of all [`Effect::Respond`] effects, in order.
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
