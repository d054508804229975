//! A fake object store.

use std::collections::{BTreeMap, HashMap};

use amaranthshunt_core::HostId;
use amaranthshunt_core::event::{StoreCall, StoreResult};
use amaranthshunt_core::ids::{CallId, Revision};
use amaranthshunt_core::object::{CONFIG_PREFIX, Object, ObjectKey};
use amaranthshunt_core::record::RegionRecord;
use bytes::Bytes;
use rand::Rng;
use rand::rngs::SmallRng;

#[derive(Default)]
pub(super) struct Store {
    objects: BTreeMap<ObjectKey, Object>,
    revision: u64,
    watches_since: HashMap<(CallId, HostId), u64>,
    unacknowledged: Vec<(u64, StoreCall)>,
    pub down_until: u64,
    pub lossy_until: u64,
    pub slow_until: u64,
}

pub(super) enum CallResult {
    NoReply,
    /// A result, and the delay of the reply in microseconds.
    Reply(u64, StoreResult),
    /// A watch without changes after the revision.
    Pending(Revision),
}

impl Store {
    pub(super) fn set(&mut self, key: &ObjectKey, value: &[u8]) {
        self.revision += 1;
        let object = Object {
            key: key.clone(),
            revision: Revision(self.revision),
            value: Some(Bytes::copy_from_slice(value)),
        };
        self.objects.insert(key.clone(), object);
    }

    pub(super) fn operator_orders(&self) -> Vec<ObjectKey> {
        let prefix = format!("{CONFIG_PREFIX}order/");
        self.objects
            .keys()
            .filter(|key| key.0.starts_with(&prefix))
            .cloned()
            .collect()
    }

    pub(super) fn hosts_on_record(&self) -> Vec<HostId> {
        let prefix = format!("{CONFIG_PREFIX}region/");
        let records = self
            .objects
            .values()
            .filter(|object| object.key.0.starts_with(&prefix));
        records
            .filter_map(|object| {
                serde_json::from_slice::<RegionRecord>(object.value.as_ref()?).ok()
            })
            .flat_map(|record| record.hosts.into_keys())
            .collect()
    }

    pub(super) fn clear_faults(&mut self) {
        self.down_until = 0;
        self.lossy_until = 0;
        self.slow_until = 0;
    }

    /// Handles a call; a lossy or slow store may apply a write and lose or delay the reply.
    pub(super) fn call(&mut self, call: StoreCall, now: u64, rng: &mut SmallRng) -> CallResult {
        if self.down_until > now {
            return CallResult::NoReply;
        }
        if self.lossy_until > now && rng.random_range(0..2) == 0 {
            if rng.random_range(0..2) == 0 {
                self.unacknowledged.push((now, call));
            }
            return CallResult::NoReply;
        }
        let store_delay = if self.slow_until > now {
            rng.random_range(20_000..400_000)
        } else {
            rng.random_range(500..4_000)
        };
        match self.apply(call) {
            Some(result) => CallResult::Reply(store_delay, result),
            None => CallResult::Pending(Revision(self.revision)),
        }
    }

    pub(super) fn is_watch_expired(&mut self, call: CallId, id: HostId, now: u64) -> bool {
        let since = *self.watches_since.entry((call, id)).or_insert(now);
        now > since + 5_000_000
    }

    pub(super) fn take_unacknowledged(&mut self) -> Vec<(u64, StoreCall)> {
        std::mem::take(&mut self.unacknowledged)
    }

    pub(super) fn apply_unacknowledged(&mut self, call: StoreCall) {
        self.apply(call);
    }

    fn apply(&mut self, call: StoreCall) -> Option<StoreResult> {
        match call {
            StoreCall::Hosts => Some(StoreResult::Hosts(Vec::new())),
            StoreCall::Get { key } => {
                let missing = Object {
                    key: key.clone(),
                    revision: Revision(0),
                    value: None,
                };
                let object = self.objects.get(&key).cloned().unwrap_or(missing);
                Some(StoreResult::Read(object))
            }
            StoreCall::Put {
                key,
                expected,
                value,
            } => {
                let current = self
                    .objects
                    .get(&key)
                    .map_or(Revision(0), |object| object.revision);
                if current != expected {
                    return Some(StoreResult::Conflict);
                }
                self.set(&key, &value);
                Some(StoreResult::Written(Revision(self.revision)))
            }
            StoreCall::Watch { after } => {
                let objects: Vec<Object> = self
                    .objects
                    .values()
                    .filter(|object| object.key.0.starts_with(CONFIG_PREFIX))
                    .filter(|object| object.revision > after)
                    .cloned()
                    .collect();
                if objects.is_empty() {
                    return None;
                }
                let complete = Revision(self.revision);
                Some(StoreResult::Changes { objects, complete })
            }
        }
    }
}
