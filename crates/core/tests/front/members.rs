//! The number of hosts of which a leader needs more than half.

use amaranthshunt_core::front::Members;

// Guards against OWNER: a leader that had started before the others knew only itself, took that for all
// hosts, and moved keys while the leader before it was still followed by most of them.
#[test]
fn a_leader_that_has_not_read_the_list_of_hosts_trusts_the_number_it_was_told() {
    let mut members = Members::new(["h1".to_owned()]);
    members.add("h2");

    let before = members.majority_base(9);
    members.add_registered(["h1", "h3", "h4"].map(str::to_owned));

    assert_eq!(before, 9);
    assert_eq!(members.majority_base(9), 4);
    assert_eq!(members.count(), 4);
}
