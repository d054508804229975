//! Tests of the core: focused ones by feature, and long randomised runs over small fakes.

mod fixture;
mod fleet;
mod host;
mod pages;
mod peers;
mod random;
mod traces;
mod units;
