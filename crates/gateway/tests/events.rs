//! Splitting a byte stream into complete events, wherever the pieces of the stream end.

use proptest::prelude::*;
use umberglade_gateway::forward::EventSplitter;

fn split(pieces: &[&[u8]]) -> Vec<(Option<u64>, Vec<u8>)> {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for piece in pieces {
        splitter.push(piece);
        while let Some(event) = splitter.next_event() {
            events.push((event.id, event.bytes.to_vec()));
        }
    }
    events
}

#[test]
fn events() {
    struct Case {
        name: &'static str,
        bytes: &'static str,
        ids: &'static [Option<u64>],
        rest_is_empty: bool,
    }
    let cases = [
        Case { name: "none", bytes: "", ids: &[], rest_is_empty: true },
        Case { name: "one", bytes: "id: 1\ndata: a\n\n", ids: &[Some(1)], rest_is_empty: true },
        Case {
            name: "carriage returns",
            bytes: "id:7\r\ndata: a\r\n\r\nid: 8\r\ndata: b\r\n\r\n",
            ids: &[Some(7), Some(8)],
            rest_is_empty: true,
        },
        Case {
            name: "a first line before the id",
            bytes: "x-weight-versions: 2\nid: 3\ndata: a\n\n",
            ids: &[Some(3)],
            rest_is_empty: true,
        },
        Case {
            name: "cut within an event",
            bytes: "id: 1\ndata: a\n\nid: 2\nda",
            ids: &[Some(1)],
            rest_is_empty: false,
        },
        Case {
            name: "comments go with the event after them",
            bytes: "id: 1\ndata: a\n\n: a\n\n\n\n: b\n\nid: 2\ndata: b\n\n",
            ids: &[Some(1), Some(2)],
            rest_is_empty: true,
        },
        Case {
            name: "comments alone are no event",
            bytes: ": a\n\n: b\n\n",
            ids: &[],
            rest_is_empty: false,
        },
        Case { name: "no id", bytes: "data: a\n\n", ids: &[None], rest_is_empty: true },
    ];
    for case in cases {
        let mut splitter = EventSplitter::default();
        splitter.push(case.bytes.as_bytes());
        let mut ids = Vec::new();
        while let Some(event) = splitter.next_event() {
            ids.push(event.id);
        }
        assert_eq!(ids, case.ids, "{}", case.name);
        assert_eq!(splitter.is_empty(), case.rest_is_empty, "{}", case.name);
    }
}

proptest! {
    /// The same events are found wherever the bytes are cut on the way; none is lost or joined
    /// with another.
    #[test]
    fn pieces_make_no_difference(
        texts in prop::collection::vec("[a-z ]{0,20}", 0..8),
        cuts in prop::collection::vec(0usize..400, 0..12),
    ) {
        let events: Vec<String> = texts
            .iter()
            .enumerate()
            .map(|(at, text)| format!("id: {at}\ndata: {text}\n\n"))
            .collect();
        let bytes = events.concat().into_bytes();
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut.min(bytes.len())).collect();
        cuts.sort_unstable();
        let ends = cuts.iter().copied().chain([bytes.len()]);
        let mut begin = 0;
        let pieces: Vec<&[u8]> = ends
            .map(|end| {
                let piece = &bytes[begin..end];
                begin = end;
                piece
            })
            .collect();
        let expected: Vec<(Option<u64>, Vec<u8>)> = events
            .iter()
            .enumerate()
            .map(|(at, event)| (Some(at as u64), event.clone().into_bytes()))
            .collect();
        prop_assert_eq!(split(&pieces), expected);
    }
}
