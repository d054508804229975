//! Conversions between core messages and the bytes on the wire.

use amaranthshunt_core::ids::{Epoch, IdempotencyKey, RequestId, Revision, Token};
use amaranthshunt_core::ledger::{RecordState, Tenure};
use amaranthshunt_core::message::{LedgerPart, LedgerRecord, ShardSince, WarmServer};
use amaranthshunt_core::object::{Object, ObjectKey};
use amaranthshunt_core::quarantine::CrashId;
use amaranthshunt_core::{Answer, Doubt, HostId, Message, Outcome, Refusal, Request, Time};
use bytes::Bytes;
use uuid::Uuid;

use crate::codec::{Frame, Hello};
use crate::error::{Result, WireError};
use crate::proto::{self, Body, End, Envelope, State};

/// Refusals by their number on the wire.
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

/// Doubts by their number on the wire.
const DOUBTS: [Doubt; 5] = [
    Doubt::ServerLost,
    Doubt::HostLost,
    Doubt::Deadline,
    Doubt::Forgotten,
    Doubt::NotAsked,
];

impl From<Frame> for Envelope {
    fn from(frame: Frame) -> Self {
        let body = match frame {
            Frame::Hello(hello) => Body::Hello(proto::Hello {
                from: hello.from.0,
                address: hello.address.to_string(),
            }),
            Frame::Message(message) => body_of(message),
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
        message_of(body).map(Self::Message)
    }
}

fn body_of(message: Message) -> Body {
    match message {
        Message::Heartbeat {
            sent,
            term,
            revision,
        } => Body::Heartbeat(beat(sent, term, revision)),
        Message::Promise {
            sent,
            term,
            revision,
        } => Body::Promise(beat(sent, term, revision)),
        Message::Forward { id, request } => Body::Forward(forward(id, request)),
        Message::Outcome { id, outcome } => Body::Outcome(proto::Outcome {
            id: id.0,
            end: outcome.map(end_of),
        }),
        Message::Pull { after } => Body::Pull(after.0),
        Message::Delta { objects, complete } => Body::Delta(proto::Delta {
            objects: objects.into_iter().map(object).collect(),
            complete: complete.0,
        }),
        Message::Copy {
            sequence,
            full,
            ledger,
        } => Body::Copy(proto::Copy {
            sequence,
            full,
            ledger: Some(ledger_of(ledger)),
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
                .map(|(index, epoch)| proto::Shard {
                    index,
                    epoch: epoch.0,
                })
                .collect(),
            ledger: Some(ledger_of(ledger)),
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
                .map(|(index, server, epoch)| proto::Owner {
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

fn message_of(body: Body) -> Result<Message> {
    let message = match body {
        Body::Hello(_) => return Err(WireError::Field("message")),
        Body::Heartbeat(beat) => Message::Heartbeat {
            sent: Time::from_micros(beat.sent),
            term: beat.term,
            revision: Revision(beat.revision),
        },
        Body::Promise(beat) => Message::Promise {
            sent: Time::from_micros(beat.sent),
            term: beat.term,
            revision: Revision(beat.revision),
        },
        Body::Forward(forward) => read_forward(forward)?,
        Body::Outcome(outcome) => Message::Outcome {
            id: RequestId(outcome.id),
            outcome: outcome.end.map(read_end).transpose()?,
        },
        Body::Pull(after) => Message::Pull {
            after: Revision(after),
        },
        Body::Delta(delta) => Message::Delta {
            objects: delta.objects.into_iter().map(read_object).collect(),
            complete: Revision(delta.complete),
        },
        Body::Copy(copy) => Message::Copy {
            sequence: copy.sequence,
            full: copy.full,
            ledger: read_ledger(copy.ledger)?,
        },
        Body::CopyKept(sequence) => Message::CopyKept { sequence },
        Body::CopyBroken(sequence) => Message::CopyBroken { sequence },
        Body::Handover(handover) => read_handover(handover)?,
        Body::HandoverTaken(answer) => Message::HandoverTaken {
            id: answer.id,
            taken: answer.taken,
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

fn beat(sent: Time, term: u64, revision: Revision) -> proto::Beat {
    proto::Beat {
        sent: sent.as_micros(),
        term,
        revision: revision.0,
    }
}

fn forward(id: RequestId, request: Request) -> proto::Forward {
    let key = request.idempotency;
    proto::Forward {
        id: id.0,
        entry: request.entry,
        tenant: request.tenant,
        key: request.key,
        idempotency: key.map(key_bytes),
        repeat: request.repeat,
        deadline: request.deadline.as_micros(),
        body: request.body,
    }
}

fn read_forward(forward: proto::Forward) -> Result<Message> {
    let key = forward.idempotency.as_ref();
    let request = Request {
        entry: forward.entry,
        tenant: forward.tenant,
        key: forward.key,
        idempotency: key.map(read_key).transpose()?,
        repeat: forward.repeat,
        deadline: Time::from_micros(forward.deadline),
        body: forward.body,
    };
    let id = RequestId(forward.id);
    Ok(Message::Forward { id, request })
}

fn read_handover(handover: proto::Handover) -> Result<Message> {
    Ok(Message::Handover {
        id: handover.id,
        source: Token(handover.source),
        server: handover.server,
        control: handover.control.map(Token),
        shards: handover
            .shards
            .into_iter()
            .map(|shard| (shard.index, Epoch(shard.epoch)))
            .collect(),
        ledger: read_ledger(handover.ledger)?,
    })
}

fn end_of(outcome: Outcome) -> End {
    match outcome {
        Outcome::Answer(answer) => End::Answer(answer_of(answer)),
        Outcome::NotRun(refusal) => End::NotRun(number_of(&REFUSALS, refusal)),
        Outcome::Unknown(doubt) => End::Unknown(number_of(&DOUBTS, doubt)),
    }
}

fn read_end(end: End) -> Result<Outcome> {
    Ok(match end {
        End::Answer(answer) => Outcome::Answer(read_answer(answer)?),
        End::NotRun(number) => Outcome::NotRun(numbered(&REFUSALS, number, "refusal")?),
        End::Unknown(number) => Outcome::Unknown(numbered(&DOUBTS, number, "doubt")?),
    })
}

fn answer_of(answer: Answer) -> proto::Answer {
    proto::Answer {
        status: u32::from(answer.status),
        body: answer.body,
    }
}

fn read_answer(answer: proto::Answer) -> Result<Answer> {
    let status = u16::try_from(answer.status);
    Ok(Answer {
        status: status.map_err(|_| WireError::Field("status"))?,
        body: answer.body,
    })
}

fn object(object: Object) -> proto::Object {
    proto::Object {
        key: object.key.0,
        revision: object.revision.0,
        value: object.value,
    }
}

fn read_object(object: proto::Object) -> Object {
    Object {
        key: ObjectKey(object.key),
        revision: Revision(object.revision),
        value: object.value,
    }
}

fn ledger_of(part: LedgerPart) -> proto::Ledger {
    proto::Ledger {
        since: part.since.into_iter().map(since).collect(),
        records: part.records.into_iter().map(record).collect(),
        warm: part
            .warm
            .into_iter()
            .map(|warm| proto::Warm {
                server: warm.server,
                boot: warm.boot,
            })
            .collect(),
    }
}

fn read_ledger(ledger: Option<proto::Ledger>) -> Result<LedgerPart> {
    let ledger = ledger.ok_or(WireError::Field("ledger"))?;
    let records: Result<Vec<LedgerRecord>> = ledger.records.into_iter().map(read_record).collect();
    Ok(LedgerPart {
        since: ledger.since.into_iter().map(read_since).collect(),
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

fn since(line: ShardSince) -> proto::Since {
    proto::Since {
        entry: line.entry,
        region: line.region,
        index: line.index,
        since: line.since.as_micros(),
        epoch: line.tenure.epoch.0,
        token: line.tenure.token.0,
    }
}

fn read_since(line: proto::Since) -> ShardSince {
    ShardSince {
        entry: line.entry,
        region: line.region,
        index: line.index,
        since: Time::from_micros(line.since),
        tenure: Tenure {
            epoch: Epoch(line.epoch),
            token: Token(line.token),
        },
    }
}

fn record(line: LedgerRecord) -> proto::Record {
    let state = match line.state {
        RecordState::Started => State::Started(true),
        RecordState::Answered(answer) => State::Answered(answer_of(answer)),
        RecordState::Doubtful(doubt) => State::Doubtful(number_of(&DOUBTS, doubt)),
        RecordState::NotRun => State::NotRun(true),
    };
    proto::Record {
        entry: line.entry,
        region: line.region,
        index: line.index,
        key: key_bytes(line.key),
        fingerprint: line.fingerprint,
        state: Some(state),
    }
}

fn read_record(line: proto::Record) -> Result<LedgerRecord> {
    let state = match line.state.ok_or(WireError::Field("state"))? {
        State::Started(_) => RecordState::Started,
        State::Answered(answer) => RecordState::Answered(read_answer(answer)?),
        State::Doubtful(number) => RecordState::Doubtful(numbered(&DOUBTS, number, "doubt")?),
        State::NotRun(_) => RecordState::NotRun,
    };
    Ok(LedgerRecord {
        entry: line.entry,
        region: line.region,
        index: line.index,
        key: read_key(&line.key)?,
        fingerprint: line.fingerprint,
        state,
    })
}

fn key_bytes(key: IdempotencyKey) -> Bytes {
    Bytes::copy_from_slice(key.0.as_bytes())
}

fn read_key(bytes: &Bytes) -> Result<IdempotencyKey> {
    let uuid = Uuid::from_slice(bytes);
    uuid.map(IdempotencyKey)
        .map_err(|_| WireError::Field("idempotency"))
}

/// The number of a value, counted from one.
fn number_of<T: PartialEq>(table: &[T], value: T) -> u32 {
    let place = table.iter().position(|known| *known == value);
    place.map_or(0, |place| place as u32 + 1)
}

fn numbered<T: Copy>(table: &[T], number: u32, name: &'static str) -> Result<T> {
    let place = (number as usize).checked_sub(1);
    let value = place.and_then(|place| table.get(place));
    value.copied().ok_or(WireError::Field(name))
}
