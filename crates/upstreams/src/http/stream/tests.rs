//! The stream decoder before whatever bytes an upstream may send.

use super::{Subject, forward};
use crate::engine::{Event, EventBody, FinishReason, LoadReport};
use bluebell_base::prelude::*;
use proptest::prelude::*;

const SUBJECT: Subject = Subject {
    request: RequestId {
        incarnation: Incarnation(1),
        sequence: 1,
    },
    attempt: AttemptNo(1),
};

fn line(attempt: u32, body: EventBody) -> Vec<u8> {
    let event = Event {
        request: SUBJECT.request,
        attempt: AttemptNo(attempt),
        body,
    };
    let json = serde_json::to_string(&event).expect("JSON");
    format!("data: {json}\n\n").into_bytes()
}

fn token() -> EventBody {
    EventBody::Token {
        seq: EventSeq(0),
        text: "word ".into(),
    }
}

fn finished() -> EventBody {
    EventBody::Finished {
        count: 1,
        reason: FinishReason::Stop,
        load: LoadReport::default(),
    }
}

/// Pieces of streams: whole events, own and foreign, comments, and anything at all.
fn piece() -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![
        Just(line(1, token())),
        Just(line(2, token())),
        Just(line(1, finished())),
        Just(line(2, finished())),
        Just(b": alive\n\n".to_vec()),
        Just(b"data: {}\n\n".to_vec()),
        Just(b"data: {\"request\":\"req-1\"".to_vec()),
        prop::collection::vec(any::<u8>(), 0..40),
    ]
}

proptest! {
    /// A stream either ends with its own last event, with nothing behind it, or with an error
    /// that leaves open whether it ran; it never panics.
    #[test]
    fn a_stream_ends_by_its_own_last_event_or_by_an_error(
        pieces in prop::collection::vec(piece(), 0..12),
    ) {
        let bytes = pieces.concat();
        let mut events = Vec::new();
        let ended = forward(&mut bytes.as_slice(), SUBJECT, &mut |event| {
            events.push(event);
            true
        });
        let ends = events.iter().filter(|event| SUBJECT.is_ended_by(event)).count();
        match ended {
            Ok(()) => {
                prop_assert_eq!(ends, 1);
                prop_assert!(events.last().is_some_and(|event| SUBJECT.is_ended_by(event)));
            }
            Err(error) => {
                prop_assert_eq!(ends, 0);
                prop_assert_eq!(error.verdict, Verdict::MayHaveRun);
            }
        }
    }
}

/// An upstream that never ends a line must not fill the node's memory.
#[test]
fn an_endless_line_is_cut_off() {
    let endless = vec![b'x'; 3 << 20];
    let ended = forward(&mut endless.as_slice(), SUBJECT, &mut |_| true);
    assert_eq!(ended.expect_err("too long").kind, ErrorKind::Upstream);
}
