//! Store calls and control traffic of idle hosts.

use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_clients::StoreClient;
use amaranthshunt_core::ids::Revision;
use amaranthshunt_core::object::ObjectKey;
use amaranthshunt_host::Node;
use amaranthshunt_settings::read_host_file;
use amaranthshunt_support::{FakeStore, free_address};
use async_std::task;

use super::fit::Line;

/// Time for which idle hosts are measured.
const MEASUREMENT_TIME: Duration = Duration::from_secs(5);

/// Store calls and bytes sent to other hosts per idle second, by number of hosts in one failure
/// domain.
pub(crate) async fn store_calls() -> Vec<Line> {
    let mut calls = Vec::new();
    let mut bytes = Vec::new();
    for hosts in [2_u32, 4, 8] {
        let (calls_per_second, bytes_per_second) = measure_idle(hosts).await;
        calls.push((f64::from(hosts), calls_per_second));
        bytes.push((f64::from(hosts), bytes_per_second));
    }
    vec![
        Line::fit("store calls, idle second", "calls a host", calls),
        Line::fit("control bytes sent, idle second", "bytes a host", bytes),
    ]
}

async fn measure_idle(hosts: u32) -> (f64, f64) {
    let store = FakeStore::start(free_address())
        .await
        .unwrap_or_else(|error| panic!("{error}"));
    let client = StoreClient::new(store.address(), Duration::from_secs(2));
    let entry = r#"{"name":"e","owner":"o","class":"read","regions":["este"],"shards":1,
        "limits":{"slots":1,"cold_slots":1,"warm_up":1,"connections":1,"queue":1,"body":1},
        "servers":[]}"#;
    let written = client
        .put(&ObjectKey::entry("e"), Revision(0), entry.into())
        .await;
    assert!(written.is_ok(), "{written:?}");
    let mut nodes: Vec<Arc<Node>> = Vec::new();
    for index in 0..hosts {
        let text = format!(
            "name = \"h{index}\"\ndomain = \"este/e1\"\n\
             [listen]\ncallers = \"{}\"\nhosts = \"{}\"\n[platform]\nstore = \"{}\"\n",
            free_address(),
            free_address(),
            store.address()
        );
        let settings = read_host_file("slopes", &text).unwrap_or_else(|report| panic!("{report}"));
        let node = Node::start(settings).await;
        nodes.push(node.unwrap_or_else(|error| panic!("{error}")));
    }
    task::sleep(Duration::from_secs(3)).await;
    let total_sent =
        |nodes: &[Arc<Node>]| nodes.iter().map(|node| node.control_bytes()).sum::<u64>();
    let (reads, writes, watches) = store.calls();
    let sent = total_sent(&nodes);
    task::sleep(MEASUREMENT_TIME).await;
    let (reads_after, writes_after, watches_after) = store.calls();
    let sent_after = total_sent(&nodes);
    for node in &nodes {
        node.abort();
    }
    let before = reads + writes + watches;
    let after = reads_after + writes_after + watches_after;
    let seconds = MEASUREMENT_TIME.as_secs_f64();
    (
        (after - before) as f64 / seconds,
        (sent_after - sent) as f64 / seconds,
    )
}
