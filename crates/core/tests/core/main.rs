//! Tests of the core: unit tests by feature, and long randomised simulations with fakes.

mod fixture;
mod fleet;
mod host;
mod pages;
mod peers;
mod random;
mod traces;
mod units;
