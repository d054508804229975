//! What the leader does when the store was restored from a copy.
//!
//! The restored record is older than what the leader knows. If more than half of the hosts still
//! follow it, no other host can have led in the seconds that the store has lost, and the leader
//! writes what it knows under a term of the new era. Otherwise it gives up. See
//! `docs/platform-path.md`, "A restored store".

use std::sync::Arc;
use std::sync::atomic::Ordering;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{Placement, first_term};
use amaranthshunt_core::log::EventCode;
use async_std::task;

use super::leader_state::LeaderState;
use super::record::{WriteOutcome, read_record, write_record_if};
use super::{CONFIRMATION_TIMEOUT, STORE_RETRY_DELAY};
use crate::clock;
use crate::entry_host::EntryHost;
use crate::lock::lock;

/// When a leader learnt of a new era of the store.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EraWatch {
    era: u64,
    since: Time,
}

impl EraWatch {
    /// Begins a term in a new era of the store, or gives up the leadership, if there is one.
    pub(super) fn follow_store(
        &mut self,
        host: &Arc<EntryHost>,
        leader: &Arc<LeaderState>,
        now: Time,
    ) {
        let era = host.store.era();
        if era == lock(&leader.granter).era() {
            return;
        }
        if self.era != era {
            *self = Self { era, since: now };
        }
        let (known, replies) = (leader.known_hosts(host), leader.last_replies());
        let reply = lock(&leader.granter).majority_reply(now, &replies, known);
        if reply.is_some_and(|reply| reply >= self.since) {
            if !leader.rewriting.swap(true, Ordering::Relaxed) {
                task::spawn(begin_term(host.clone(), leader.clone(), era));
            }
        } else if now.since(self.since) >= CONFIRMATION_TIMEOUT {
            leader.supersede(format!(
                "too few hosts follow in era {era}, so another host may have led"
            ));
        }
    }
}

/// Tries once to write the record under a term of a new era.
async fn begin_term(host: Arc<EntryHost>, leader: Arc<LeaderState>, era: u64) {
    if let Err(reason) = write_new_term(&host, &leader, era).await {
        log::warn!("cannot write the placement record in era {era}: {reason}");
        task::sleep(STORE_RETRY_DELAY).await;
    }
    leader.rewriting.store(false, Ordering::Relaxed);
}

async fn write_new_term(
    host: &EntryHost,
    leader: &LeaderState,
    era: u64,
) -> std::result::Result<(), String> {
    let mut revision = leader.record_revision.lock().await;
    let read_from = clock::now();
    let stored = read_record(host).await.map_err(|error| error.to_string())?;
    if stored.era() != era {
        return Err(format!("the store has begun era {}", stored.era()));
    }
    let (term, own_record) = {
        let granter = lock(&leader.granter);
        (granter.term(), lock(&leader.era_record).clone())
    };
    if stored.placement.is_some() && stored.placement == own_record {
        // An earlier attempt succeeded, but its response was lost.
        *revision = stored.revision;
        if let Some(record) = own_record {
            begin_era(host, leader, &record, era, read_from);
        }
        return Ok(());
    }
    if stored.term() > term {
        leader.supersede(format!("the record has term {}", stored.term()));
        return Ok(());
    }
    let next_term = first_term(era).max(term + 1);
    let record = lock(&leader.granter).record_for_era(next_term, era);
    *lock(&leader.era_record) = Some(record.clone());
    let written_from = clock::now();
    match write_record_if(host, &record, stored.revision).await {
        WriteOutcome::Done(written) => {
            *revision = written;
            begin_era(host, leader, &record, era, written_from);
            let detail = format!("term {next_term}, the store has begun era {era}");
            host.log(EventCode::GranterStarted, &host.settings.name, detail);
            Ok(())
        }
        WriteOutcome::Conflict(stored_term, _) => {
            Err(format!("a write met a record of term {stored_term}"))
        }
        WriteOutcome::Failed(error) => Err(error),
    }
}

/// Begins the term of a record that was in the store at some time after `recorded`.
fn begin_era(host: &EntryHost, leader: &LeaderState, record: &Placement, era: u64, recorded: Time) {
    host.learn_leader(record.term, &record.leader, record.address);
    let mut granter = lock(&leader.granter);
    granter.begin_era(clock::now(), record, era);
    granter.confirm_by_record(recorded);
}
