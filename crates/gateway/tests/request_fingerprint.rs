//! Requests that are the same have the same digest, and others have not.

use umberglade_gateway::model::ContentParts;

const USUAL: ContentParts<'static> = ContentParts {
    method: "POST",
    host: "site.example",
    target: "/files/7?page=1",
    credentials: b"Bearer a",
    body: b"hello",
};

struct ContentCase {
    name: &'static str,
    parts: ContentParts<'static>,
    is_same: bool,
}

/// A request that comes again has another id and another deadline, neither of
/// which is a part; whatever else differs makes it another request.
#[test]
fn what_makes_requests_the_same() {
    let cases = [
        ContentCase { name: "again", parts: USUAL, is_same: true },
        ContentCase {
            name: "method",
            parts: ContentParts { method: "GET", ..USUAL },
            is_same: false,
        },
        ContentCase {
            name: "host",
            parts: ContentParts { host: "other.example", ..USUAL },
            is_same: false,
        },
        ContentCase {
            name: "query",
            parts: ContentParts { target: "/files/7?page=2", ..USUAL },
            is_same: false,
        },
        ContentCase {
            name: "caller",
            parts: ContentParts { credentials: b"Bearer b", ..USUAL },
            is_same: false,
        },
        ContentCase {
            name: "body",
            parts: ContentParts { body: b"hellO", ..USUAL },
            is_same: false,
        },
        ContentCase {
            name: "a part's end moved into the next",
            parts: ContentParts { credentials: b"Bearer ", body: b"ahello", ..USUAL },
            is_same: false,
        },
    ];
    for case in cases {
        let is_same = case.parts.digest() == USUAL.digest();
        assert_eq!(is_same, case.is_same, "{}", case.name);
    }
}
