//! Checks that pages of the documentation match the code.

use amaranthshunt_front::Counters;

#[test]
fn metrics_page_lists_every_counter() {
    let page = std::fs::read_to_string("../../docs/metrics.md").unwrap();
    for name in Counters::NAMES {
        assert!(
            page.contains(&format!("| `{name}` |")),
            "docs/metrics.md lacks {name}"
        );
    }
}
