//! Conversions between core messages and the wire format.

use amaranthshunt_core::ids::{Epoch, FenceToken, IdempotencyKey, RequestId, Revision};
use amaranthshunt_core::ledger::{RecordState, Tenure};
use amaranthshunt_core::message::{LedgerBatch, LedgerRecord, ShardCompleteness, WarmServer};
use amaranthshunt_core::object::{Object, ObjectKey};
use amaranthshunt_core::quarantine::CrashId;
use amaranthshunt_core::{Answer, HostId, Message, Outcome, Refusal, Request, Time, UnknownReason};
use bytes::Bytes;
use uuid::Uuid;

use crate::codec::{Frame, Hello};
use crate::error::{Result, WireError};
use crate::proto::{self, Body, End, Envelope, State};

/// Refusals in the order of their numbers on the wire, which start at 1.
const REFUSALS: [Refusal; 10] = [
    Refusal::UnknownEntry,
    Refusal::WrongRegion,
    Refusal::TooLarge,
    Refusal::KeyMissing,
    Refusal::KeyAhead,
    Refusal::KeyReused,
    Refusal::Deadline,
    Refusal::Overloaded,
    Refusal::Unavailable,
    Refusal::Quarantined,
];

/// Reasons of unknown outcomes in the order of their numbers on the wire, which start at 1.
const UNKNOWN_REASONS: [UnknownReason; 5] = [
    UnknownReason::ServerLost,
    UnknownReason::HostLost,
    UnknownReason::Deadline,
    UnknownReason::Forgotten,
    UnknownReason::NotAsked,
];

impl From<Frame> for Envelope {
    fn from(frame: Frame) -> Self {
        let body = match frame {
            Frame::Hello(hello) => Body::Hello(proto::Hello {
                from: hello.from.0,
                address: hello.address.to_string(),
            }),
            Frame::Message(message) => encode_message(message),
        };
        Self { body: Some(body) }
    }
}

impl TryFrom<Envelope> for Frame {
    type Error = WireError;

    fn try_from(envelope: Envelope) -> Result<Self> {
        let body = envelope.body.ok_or(WireError::Field("body"))?;
        if let Body::Hello(hello) = body {
            let address = hello.address.parse();
            return Ok(Self::Hello(Hello {
                from: HostId(hello.from),
                address: address.map_err(|_| WireError::Field("address"))?,
            }));
        }
        decode_message(body).map(Self::Message)
    }
}

fn encode_message(message: Message) -> Body {
    match message {
        Message::Heartbeat {
            sent,
            term,
            revision,
        } => Body::Heartbeat(encode_heartbeat(sent, term, revision)),
        Message::Promise {
            sent,
            term,
            revision,
        } => Body::Promise(encode_heartbeat(sent, term, revision)),
        Message::Forward { id, request } => Body::Forward(encode_forward(id, request)),
        Message::Outcome { id, outcome } => Body::Outcome(proto::Outcome {
            id: id.0,
            end: outcome.map(encode_outcome),
        }),
        Message::Pull { after } => Body::Pull(after.0),
        Message::Delta { objects, complete } => Body::Delta(proto::Delta {
            objects: objects.into_iter().map(encode_object).collect(),
            complete: complete.0,
        }),
        Message::Copy {
            sequence,
            full,
            ledger,
        } => Body::Copy(proto::LedgerCopy {
            sequence,
            full,
            ledger: Some(encode_ledger(ledger)),
        }),
        Message::CopyKept { sequence } => Body::CopyKept(sequence),
        Message::CopyBroken { sequence } => Body::CopyBroken(sequence),
        Message::Handover {
            id,
            source,
            server,
            control,
            shards,
            ledger,
        } => Body::Handover(proto::Handover {
            id,
            source: source.0,
            server,
            control: control.map(|token| token.0),
            shards: shards
                .into_iter()
                .map(|(index, epoch)| proto::ShardEpoch {
                    index,
                    epoch: epoch.0,
                })
                .collect(),
            ledger: Some(encode_ledger(ledger)),
        }),
        Message::HandoverTaken { id, taken } => {
            Body::HandoverTaken(proto::HandoverTaken { id, taken })
        }
        Message::Provision {
            id,
            term,
            entry,
            region,
            owners,
        } => Body::Provision(proto::Provision {
            id,
            term,
            entry,
            region,
            owners: owners
                .into_iter()
                .map(|(index, server, epoch)| proto::ShardOwner {
                    index,
                    server,
                    epoch: epoch.0,
                })
                .collect(),
        }),
        Message::Provisioned { id } => Body::Provisioned(id),
        Message::Suspect { fingerprint, crash } => Body::Suspect(proto::Suspect {
            fingerprint,
            crash: crash.0,
        }),
    }
}

fn decode_message(body: Body) -> Result<Message> {
    let message = match body {
        Body::Hello(_) => return Err(WireError::Field("message")),
        Body::Heartbeat(heartbeat) => Message::Heartbeat {
            sent: Time::from_micros(heartbeat.sent),
            term: heartbeat.term,
            revision: Revision(heartbeat.revision),
        },
        Body::Promise(promise) => Message::Promise {
            sent: Time::from_micros(promise.sent),
            term: promise.term,
            revision: Revision(promise.revision),
        },
        Body::Forward(forward) => decode_forward(forward)?,
        Body::Outcome(outcome) => Message::Outcome {
            id: RequestId(outcome.id),
            outcome: outcome.end.map(decode_outcome).transpose()?,
        },
        Body::Pull(after) => Message::Pull {
            after: Revision(after),
        },
        Body::Delta(delta) => Message::Delta {
            objects: delta.objects.into_iter().map(decode_object).collect(),
            complete: Revision(delta.complete),
        },
        Body::Copy(copy) => Message::Copy {
            sequence: copy.sequence,
            full: copy.full,
            ledger: decode_ledger(copy.ledger)?,
        },
        Body::CopyKept(sequence) => Message::CopyKept { sequence },
        Body::CopyBroken(sequence) => Message::CopyBroken { sequence },
        Body::Handover(handover) => decode_handover(handover)?,
        Body::HandoverTaken(reply) => Message::HandoverTaken {
            id: reply.id,
            taken: reply.taken,
        },
        Body::Provision(provision) => Message::Provision {
            id: provision.id,
            term: provision.term,
            entry: provision.entry,
            region: provision.region,
            owners: provision
                .owners
                .into_iter()
                .map(|owner| (owner.index, owner.server, Epoch(owner.epoch)))
                .collect(),
        },
        Body::Provisioned(id) => Message::Provisioned { id },
        Body::Suspect(suspect) => Message::Suspect {
            fingerprint: suspect.fingerprint,
            crash: CrashId(suspect.crash),
        },
    };
    Ok(message)
}

fn encode_heartbeat(sent: Time, term: u64, revision: Revision) -> proto::HeartbeatBody {
    proto::HeartbeatBody {
        sent: sent.as_micros(),
        term,
        revision: revision.0,
    }
}

fn encode_forward(id: RequestId, request: Request) -> proto::Forward {
    let idempotency_key = request.idempotency_key;
    proto::Forward {
        id: id.0,
        entry: request.entry,
        tenant: request.tenant,
        key: request.key,
        idempotency: idempotency_key.map(encode_idempotency_key),
        repeat: request.is_retry,
        deadline: request.deadline.as_micros(),
        body: request.body,
    }
}

fn decode_forward(forward: proto::Forward) -> Result<Message> {
    let idempotency = forward.idempotency.as_ref();
    let request = Request {
        entry: forward.entry,
        tenant: forward.tenant,
        key: forward.key,
        idempotency_key: idempotency.map(decode_idempotency_key).transpose()?,
        is_retry: forward.repeat,
        deadline: Time::from_micros(forward.deadline),
        body: forward.body,
    };
    let id = RequestId(forward.id);
    Ok(Message::Forward { id, request })
}

fn decode_handover(handover: proto::Handover) -> Result<Message> {
    Ok(Message::Handover {
        id: handover.id,
        source: FenceToken(handover.source),
        server: handover.server,
        control: handover.control.map(FenceToken),
        shards: handover
            .shards
            .into_iter()
            .map(|shard| (shard.index, Epoch(shard.epoch)))
            .collect(),
        ledger: decode_ledger(handover.ledger)?,
    })
}

fn encode_outcome(outcome: Outcome) -> End {
    match outcome {
        Outcome::Answer(answer) => End::Answer(encode_answer(answer)),
        Outcome::NotRun(refusal) => End::NotRun(to_wire_number(&REFUSALS, refusal)),
        Outcome::Unknown(reason) => End::Unknown(to_wire_number(&UNKNOWN_REASONS, reason)),
    }
}

fn decode_outcome(end: End) -> Result<Outcome> {
    Ok(match end {
        End::Answer(answer) => Outcome::Answer(decode_answer(answer)?),
        End::NotRun(number) => Outcome::NotRun(from_wire_number(&REFUSALS, number, "refusal")?),
        End::Unknown(number) => {
            Outcome::Unknown(from_wire_number(&UNKNOWN_REASONS, number, "doubt")?)
        }
    })
}

fn encode_answer(answer: Answer) -> proto::Answer {
    proto::Answer {
        status: u32::from(answer.status),
        body: answer.body,
    }
}

fn decode_answer(answer: proto::Answer) -> Result<Answer> {
    let status = u16::try_from(answer.status);
    Ok(Answer {
        status: status.map_err(|_| WireError::Field("status"))?,
        body: answer.body,
    })
}

fn encode_object(object: Object) -> proto::Object {
    proto::Object {
        key: object.key.0,
        revision: object.revision.0,
        value: object.value,
    }
}

fn decode_object(object: proto::Object) -> Object {
    Object {
        key: ObjectKey(object.key),
        revision: Revision(object.revision),
        value: object.value,
    }
}

fn encode_ledger(batch: LedgerBatch) -> proto::Ledger {
    proto::Ledger {
        since: batch.since.into_iter().map(encode_completeness).collect(),
        records: batch.records.into_iter().map(encode_record).collect(),
        warm: batch
            .warm
            .into_iter()
            .map(|warm| proto::WarmServer {
                server: warm.server,
                boot: warm.boot,
            })
            .collect(),
    }
}

fn decode_ledger(ledger: Option<proto::Ledger>) -> Result<LedgerBatch> {
    let ledger = ledger.ok_or(WireError::Field("ledger"))?;
    let records: Result<Vec<LedgerRecord>> =
        ledger.records.into_iter().map(decode_record).collect();
    Ok(LedgerBatch {
        since: ledger.since.into_iter().map(decode_completeness).collect(),
        records: records?,
        warm: ledger
            .warm
            .into_iter()
            .map(|warm| WarmServer {
                server: warm.server,
                boot: warm.boot,
            })
            .collect(),
    })
}

fn encode_completeness(shard: ShardCompleteness) -> proto::ShardCompleteness {
    proto::ShardCompleteness {
        entry: shard.entry,
        region: shard.region,
        index: shard.index,
        since: shard.since.as_micros(),
        epoch: shard.tenure.epoch.0,
        token: shard.tenure.token.0,
    }
}

fn decode_completeness(shard: proto::ShardCompleteness) -> ShardCompleteness {
    ShardCompleteness {
        entry: shard.entry,
        region: shard.region,
        index: shard.index,
        since: Time::from_micros(shard.since),
        tenure: Tenure {
            epoch: Epoch(shard.epoch),
            token: FenceToken(shard.token),
        },
    }
}

fn encode_record(record: LedgerRecord) -> proto::LedgerRecord {
    let state = match record.state {
        RecordState::Started => State::Started(true),
        RecordState::Answered(answer) => State::Answered(encode_answer(answer)),
        RecordState::Doubtful(reason) => State::Doubtful(to_wire_number(&UNKNOWN_REASONS, reason)),
        RecordState::NotRun => State::NotRun(true),
    };
    proto::LedgerRecord {
        entry: record.entry,
        region: record.region,
        index: record.index,
        key: encode_idempotency_key(record.key),
        fingerprint: record.fingerprint,
        state: Some(state),
    }
}

fn decode_record(record: proto::LedgerRecord) -> Result<LedgerRecord> {
    let state = match record.state.ok_or(WireError::Field("state"))? {
        State::Started(_) => RecordState::Started,
        State::Answered(answer) => RecordState::Answered(decode_answer(answer)?),
        State::Doubtful(number) => {
            RecordState::Doubtful(from_wire_number(&UNKNOWN_REASONS, number, "doubt")?)
        }
        State::NotRun(_) => RecordState::NotRun,
    };
    Ok(LedgerRecord {
        entry: record.entry,
        region: record.region,
        index: record.index,
        key: decode_idempotency_key(&record.key)?,
        fingerprint: record.fingerprint,
        state,
    })
}

fn encode_idempotency_key(key: IdempotencyKey) -> Bytes {
    Bytes::copy_from_slice(key.0.as_bytes())
}

fn decode_idempotency_key(bytes: &Bytes) -> Result<IdempotencyKey> {
    let uuid = Uuid::from_slice(bytes);
    uuid.map(IdempotencyKey)
        .map_err(|_| WireError::Field("idempotency"))
}

/// The wire number of a value: its position in `table`, starting at 1, or the invalid number 0 if
/// the table lacks it.
fn to_wire_number<T: PartialEq>(table: &[T], value: T) -> u32 {
    let position = table.iter().position(|known| *known == value);
    position.map_or(0, |position| position as u32 + 1)
}

fn from_wire_number<T: Copy>(table: &[T], number: u32, field: &'static str) -> Result<T> {
    let position = (number as usize).checked_sub(1);
    let value = position.and_then(|position| table.get(position));
    value.copied().ok_or(WireError::Field(field))
}
