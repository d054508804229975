//! Measures how the cost of each component grows with its size, and prints the slopes that
//! docs/CAPACITY.md quotes.
//!
//! `cargo run --release --example slopes`

mod slopes {
    pub(crate) mod bench;
    pub(crate) mod fit;
    pub(crate) mod idle;
}

use slopes::bench;
use slopes::fit::{Line, print_header};
use slopes::idle;

fn main() {
    print_header();
    for line in lines() {
        println!("{line}");
    }
    for line in async_std::task::block_on(idle::store_calls()) {
        println!("{line}");
    }
}

fn lines() -> Vec<Line> {
    vec![
        bench::heartbeat_bytes(),
        bench::heartbeat_time(),
        bench::grant_bytes(),
        bench::grant_time(),
        bench::change_bytes(),
        bench::change_time(),
        bench::region_record_bytes(),
        bench::placement_bytes(),
        bench::copy_bytes(),
        bench::forward_time(),
        bench::service_time(),
        bench::shard_memory(),
        bench::ledger_memory(),
    ]
}
