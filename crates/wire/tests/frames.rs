//! Frames round-trip through the codec; invalid bytes are rejected.

use amaranthshunt_core::ids::{Epoch, FenceToken, IdempotencyKey, RequestId, Revision};
use amaranthshunt_core::ledger::{RecordState, Tenure};
use amaranthshunt_core::message::{LedgerBatch, LedgerRecord, ShardCompleteness, WarmServer};
use amaranthshunt_core::object::{Object, ObjectKey};
use amaranthshunt_core::quarantine::CrashId;
use amaranthshunt_core::{Answer, HostId, Message, Outcome, Refusal, Request, Time, UnknownReason};
use amaranthshunt_wire::{Frame, FrameCodec, Hello, MAX_FRAME_BYTES};
use bytes::{BufMut, Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder};
use yare::parameterized;

fn request() -> Request {
    Request {
        entry: "billing".to_owned(),
        tenant: "acme".to_owned(),
        key: "k1".to_owned(),
        idempotency_key: Some(IdempotencyKey(uuid::Uuid::from_u128(7))),
        is_retry: true,
        deadline: Time::from_millis(5),
        body: Bytes::from_static(b"body"),
    }
}

fn ledger() -> LedgerBatch {
    LedgerBatch {
        since: vec![ShardCompleteness {
            entry: "billing".to_owned(),
            region: "este".to_owned(),
            index: 3,
            since: Time::from_millis(9),
            tenure: Tenure {
                epoch: Epoch(4),
                token: FenceToken(5),
            },
        }],
        records: vec![LedgerRecord {
            entry: "billing".to_owned(),
            region: "este".to_owned(),
            index: 3,
            key: IdempotencyKey(uuid::Uuid::from_u128(8)),
            fingerprint: u64::MAX,
            state: RecordState::Doubtful(UnknownReason::Forgotten),
        }],
        warm: vec![WarmServer {
            server: "s1".to_owned(),
            boot: 77,
        }],
    }
}

fn message(message: Message) -> Frame {
    Frame::Message(message)
}

#[parameterized(
    hello = { Frame::Hello(Hello { from: HostId(4), address: "127.0.0.1:7".parse().unwrap() }) },
    heartbeat = { message(Message::Heartbeat { sent: Time::from_millis(1), term: 2, revision: Revision(3) }) },
    promise = { message(Message::Promise { sent: Time::from_millis(1), term: 2, revision: Revision(3) }) },
    forward = { message(Message::Forward { id: RequestId(1), request: request() }) },
    answer = { message(Message::Outcome { id: RequestId(1), outcome: Some(Outcome::Answer(Answer { status: 201, body: Bytes::from_static(b"a") })) }) },
    not_run = { message(Message::Outcome { id: RequestId(1), outcome: Some(Outcome::NotRun(Refusal::Quarantined)) }) },
    unknown = { message(Message::Outcome { id: RequestId(1), outcome: Some(Outcome::Unknown(UnknownReason::NotAsked)) }) },
    no_outcome = { message(Message::Outcome { id: RequestId(1), outcome: None }) },
    pull = { message(Message::Pull { after: Revision(9) }) },
    delta = { message(Message::Delta { objects: vec![Object { key: ObjectKey("cfg/entry/a".to_owned()), revision: Revision(4), value: None }], complete: Revision(6) }) },
    copy = { message(Message::Copy { sequence: 3, full: Some(0), ledger: ledger() }) },
    copy_kept = { message(Message::CopyKept { sequence: 3 }) },
    copy_broken = { message(Message::CopyBroken { sequence: 4 }) },
    handover = { message(Message::Handover { id: 1, source: FenceToken(2), server: "s".to_owned(), control: None, shards: vec![(1, Epoch(2))], ledger: ledger() }) },
    handover_taken = { message(Message::HandoverTaken { id: 1, taken: false }) },
    provision = { message(Message::Provision { id: 1, term: 3, entry: "e".to_owned(), region: "r".to_owned(), owners: vec![(1, "s".to_owned(), Epoch(2))] }) },
    provisioned = { message(Message::Provisioned { id: 1 }) },
    suspect = { message(Message::Suspect { fingerprint: 5, crash: CrashId(1) }) },
)]
fn frame_round_trips(frame: Frame) {
    let mut bytes = BytesMut::new();
    FrameCodec::default()
        .encode(frame.clone(), &mut bytes)
        .unwrap();
    let decoded = FrameCodec::default().decode(&mut bytes).unwrap();
    assert_eq!(decoded, Some(frame));
    assert!(bytes.is_empty());
}

#[test]
fn partial_frame_is_not_decoded() {
    let mut bytes = BytesMut::new();
    let frame = message(Message::Pull { after: Revision(9) });
    FrameCodec::default().encode(frame, &mut bytes).unwrap();
    bytes.truncate(bytes.len() - 1);
    assert!(FrameCodec::default().decode(&mut bytes).unwrap().is_none());
}

#[test]
fn invalid_message_bytes_are_rejected() {
    let mut bytes = BytesMut::new();
    bytes.put_u32(3);
    bytes.put_slice(&[0xff, 0xff, 0xff]);
    assert!(FrameCodec::default().decode(&mut bytes).is_err());
}

#[test]
fn oversized_frame_is_rejected() {
    let mut bytes = BytesMut::new();
    bytes.put_u32(MAX_FRAME_BYTES as u32 + 1);
    assert!(FrameCodec::default().decode(&mut bytes).is_err());
}

#[test]
fn empty_envelope_is_rejected() {
    let mut bytes = BytesMut::new();
    bytes.put_u32(0);
    assert!(FrameCodec::default().decode(&mut bytes).is_err());
}
