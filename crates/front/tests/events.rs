//! Splitting streams into events.

use bluebell_front::call::EventSplitter;

/// A caller gets half an event, then the rest of the stream from another engine. The first engine
/// broke off amid an event, and what had come of it was passed on. Only whole events go out,
/// whatever the pieces in which they come.
#[test]
fn events_come_out_whole_however_they_are_cut() {
    let stream = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\nid: 4\ndata";
    for size in 1..stream.len() {
        let mut splitter = EventSplitter::default();
        let mut out = Vec::new();
        let mut last = None;
        for piece in stream.chunks(size) {
            if let Some(events) = splitter.push(piece) {
                out.extend_from_slice(&events.bytes);
                last = events.last_id;
            }
        }
        let whole = stream.len() - "id: 4\ndata".len();
        assert_eq!(out, stream[..whole], "cut every {size}");
        assert_eq!(last.as_deref(), Some("3"), "cut every {size}");
        assert!(splitter.is_amid());
    }
}
