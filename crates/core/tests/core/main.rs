//! Tests of the core: focused ones by feature, and long randomised runs over small fakes.

mod fleet;
mod host;
mod pages;
mod random;
mod traces;
mod units;
