//! What hosts do when the store comes back from a copy.

use std::time::{Duration, Instant};

use amaranthshunt_support::platform::StoreFault;
use async_std::task;
use http_types::Method;
use serde_json::Value;

use crate::PROPAGATION_LIMIT;
use crate::site::{add_host, ask, config, send, start_site, status, wait_until};

/// Age of the copy from which the store is restored.
const COPY_AGE: Duration = Duration::from_millis(1_500);
/// Time after which a copy of that age lacks everything that was written before the wait.
const SETTLE_TIME: Duration = Duration::from_millis(1_800);

// Guards against CONFIG: after the store was restored, revisions were lower than those that hosts
// knew, and they took a new configuration for an old answer.
#[test]
fn configuration_is_in_force_in_time_after_the_store_was_restored() {
    task::block_on(async {
        let site = start_site("restored").await;
        let host = add_host(&site, "restored-second").await;
        task::sleep(SETTLE_TIME).await;
        for version in 2..40 {
            let lost = config(version, "/pay/");
            site.store.put("config", "main", lost, Value::Null);
        }
        task::sleep(COPY_AGE - Duration::from_millis(500)).await;

        let revision = site.store.revision();
        site.store.set_fault(StoreFault::Unavailable);
        site.store.restore(COPY_AGE);
        task::sleep(Duration::from_millis(500)).await;
        site.store.set_fault(StoreFault::None);
        let acknowledged = Instant::now();
        site.store
            .put("config", "main", config(41, "/new/"), Value::Null);
        wait_until("both hosts serve the new route", async || {
            let leader = ask(&site, Method::Post, "/new/x", "r1").await;
            let follower = send(host.callers, Method::Post, "/new/x", "r2").await;
            status(&leader) == 200 && status(&follower) == 200
        })
        .await;

        assert!(site.store.revision() < revision);
        let delay = acknowledged.elapsed();
        assert!(delay < PROPAGATION_LIMIT, "in force after {delay:?}");
    });
}
