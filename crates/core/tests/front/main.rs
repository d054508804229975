//! Tests of the router and the granter of hosts that send requests directly to servers.

mod admission_queue;
mod balance;
mod bounds;
mod crash_tracker;
mod departures;
mod fixture;
mod freshness;
mod grants;
mod host_delay;
mod hot_keys;
mod large_bodies;
mod many_hosts;
mod members;
mod odd_entries;
mod pauses;
mod rate_limits;
mod reach;
mod restored_store;
mod routes;
mod servers;
mod sim;
mod two_priorities;
mod voters;
mod work_estimates;
