//! Tests of the splitting of streams into events.

use bluebell_front::call::EventSplitter;

/// Guards against a caller that receives half an event, followed by the rest of the stream from
/// another engine. That happens if an engine breaks off in the middle of an event and the part
/// received so far has been forwarded. Only complete events may be forwarded, whatever the chunks
/// in which they arrive.
#[test]
fn only_complete_events_are_returned_for_any_chunk_size() {
    let stream = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\nid: 4\ndata";
    for size in 1..stream.len() {
        let mut splitter = EventSplitter::default();
        let mut out = Vec::new();
        let mut last = None;
        for chunk in stream.chunks(size) {
            if let Some(events) = splitter.push(chunk) {
                out.extend_from_slice(&events.bytes);
                last = events.last_id;
            }
        }
        let whole = stream.len() - "id: 4\ndata".len();
        assert_eq!(out, stream[..whole], "chunks of {size} bytes");
        assert_eq!(last.as_deref(), Some("3"), "chunks of {size} bytes");
        assert!(splitter.is_mid_event());
    }
}
