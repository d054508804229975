//! Pages that have to match the code.

use amaranthshunt_front::Counters;

#[test]
fn the_page_of_metrics_has_every_counter() {
    let page = std::fs::read_to_string("../../docs/metrics.md").unwrap();
    for name in Counters::NAMES {
        assert!(
            page.contains(&format!("| `{name}` |")),
            "docs/metrics.md lacks {name}"
        );
    }
}
