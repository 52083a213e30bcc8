//! Equal requests have equal fingerprints, and different requests have different ones.

use umberglade_gateway::model::FingerprintParts;

const BASE_PARTS: FingerprintParts<'static> = FingerprintParts {
    method: "POST",
    host: "site.example",
    target: "/files/7?page=1",
    caller: b"Bearer a",
    body: b"hello",
};

struct FingerprintCase {
    name: &'static str,
    parts: FingerprintParts<'static>,
    is_same: bool,
}

/// A repeated request has a new id and a new deadline, neither of which is part of the
/// fingerprint. Any other difference makes it a different request.
#[test]
fn fingerprint_covers_all_parts() {
    let cases = [
        FingerprintCase { name: "repeated", parts: BASE_PARTS, is_same: true },
        FingerprintCase {
            name: "method",
            parts: FingerprintParts { method: "GET", ..BASE_PARTS },
            is_same: false,
        },
        FingerprintCase {
            name: "host",
            parts: FingerprintParts { host: "other.example", ..BASE_PARTS },
            is_same: false,
        },
        FingerprintCase {
            name: "query",
            parts: FingerprintParts { target: "/files/7?page=2", ..BASE_PARTS },
            is_same: false,
        },
        FingerprintCase {
            name: "caller",
            parts: FingerprintParts { caller: b"Bearer b", ..BASE_PARTS },
            is_same: false,
        },
        FingerprintCase {
            name: "body",
            parts: FingerprintParts { body: b"hellO", ..BASE_PARTS },
            is_same: false,
        },
        FingerprintCase {
            name: "end of one part moved into the next",
            parts: FingerprintParts { caller: b"Bearer ", body: b"ahello", ..BASE_PARTS },
            is_same: false,
        },
    ];
    for case in cases {
        let is_same = case.parts.fingerprint() == BASE_PARTS.fingerprint();
        assert_eq!(is_same, case.is_same, "{}", case.name);
    }
}
