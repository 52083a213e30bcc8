//! The setting of addresses at which servers are reached.

use std::net::SocketAddr;

use umberglade_gateway::upstream::AddressMap;

struct ReachedCase {
    text: &'static str,
    registered: &'static str,
    reached: &'static str,
}

const REACHED_CASES: [ReachedCase; 4] = [
    ReachedCase { text: "", registered: "10.0.0.1:80", reached: "10.0.0.1:80" },
    ReachedCase {
        text: "10.0.0.1:80=127.0.0.1:4001",
        registered: "10.0.0.1:80",
        reached: "127.0.0.1:4001",
    },
    ReachedCase {
        text: "10.0.0.1:80=127.0.0.1:4001,10.0.0.2:80=[::1]:4002",
        registered: "10.0.0.2:80",
        reached: "[::1]:4002",
    },
    ReachedCase {
        text: "10.0.0.1:80=127.0.0.1:4001",
        registered: "10.0.0.1:81",
        reached: "10.0.0.1:81",
    },
];

const INVALID_TEXTS: [&str; 4] = [
    "10.0.0.1:80",
    "10.0.0.1=127.0.0.1:4001",
    "10.0.0.1:80=host:4001",
    "10.0.0.1:80=127.0.0.1:4001,10.0.0.1:80=127.0.0.1:4002",
];

fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

/// Prevents connections to servers that the setting does not name from going elsewhere.
#[test]
fn only_servers_that_the_setting_names_are_reached_elsewhere() {
    for case in &REACHED_CASES {
        let map: AddressMap = case.text.parse().expect("a valid map");
        assert_eq!(map.reached(address(case.registered)), address(case.reached), "{}", case.text);
    }
}

/// Prevents a mistake in the setting from going unnoticed until requests fail.
#[test]
fn an_invalid_setting_is_rejected() {
    for text in INVALID_TEXTS {
        assert!(text.parse::<AddressMap>().is_err(), "{text}");
    }
}
