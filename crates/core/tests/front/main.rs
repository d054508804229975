//! Tests of the router and the granter for hosts that send straight to servers.

mod fixture;
mod grants;
mod sim;
