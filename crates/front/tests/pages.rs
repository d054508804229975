//! Checks that pages of the documentation match the code.

use amaranthshunt_front::{Counters, Gauges};

#[test]
fn metrics_page_lists_every_counter_and_gauge() {
    let page = std::fs::read_to_string("../../docs/metrics.md").unwrap();
    for name in Counters::NAMES.iter().chain(&Gauges::NAMES) {
        assert!(
            page.contains(&format!("| `{name}` |")),
            "docs/metrics.md lacks {name}"
        );
    }
}
