//! Tests the stream decoder with arbitrary bytes from an upstream.

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

/// Generates pieces of streams: whole events of this and other attempts, comments, and arbitrary
/// bytes.
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
    /// A stream either ends with its own last event and nothing after it, or with an error that
    /// states that it may have run. The decoder never panics.
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

/// A line that never ends must not fill the node's memory.
#[test]
fn endless_line_is_an_error() {
    let endless = vec![b'x'; 3 << 20];
    let ended = forward(&mut endless.as_slice(), SUBJECT, &mut |_| true);
    assert_eq!(
        ended.expect_err("the line is over the limit").kind,
        ErrorKind::Upstream
    );
}
