//! Tests of the router and the granter of hosts that send requests directly to servers.

mod balance;
mod bounds;
mod crash_tracker;
mod departures;
mod fixture;
mod freshness;
mod grants;
mod host_delay;
mod hot_keys;
mod many_hosts;
mod members;
mod odd_entries;
mod pauses;
mod quota_hosts;
mod quotas;
mod rate_limits;
mod reach;
mod response_order;
mod restored_store;
mod routes;
mod servers;
mod sim;
mod speeds;
mod spreading;
mod voters;
