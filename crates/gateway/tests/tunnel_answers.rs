//! What gateways tell each other of servers that they can't connect to.

use std::io;
use std::net::SocketAddr;

use umberglade_gateway::paths::most_telling;
use umberglade_gateway::tunnel::ConnectSign;
use umberglade_gateway::tunnel::MAGIC;
use umberglade_gateway::tunnel::TunnelError;
use umberglade_gateway::tunnel::TunnelReply;
use umberglade_gateway::tunnel::decode_answer;
use umberglade_gateway::upstream::SendError;

const PEER: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

/// How one path to a server failed.
#[derive(Debug, Clone, Copy)]
enum PathFailure {
    DirectRefused,
    DirectTimeout,
    PeerGone,
    PeerTimeout,
    Rejected(TunnelReply, ConnectSign),
}

impl PathFailure {
    fn error(self) -> SendError {
        let peer = PEER;
        let refused = || io::Error::from(io::ErrorKind::ConnectionRefused);
        let source = match self {
            PathFailure::DirectRefused => return SendError::Connect { peer, source: refused() },
            PathFailure::DirectTimeout => {
                return SendError::ConnectTimeout { peer, timeout_ms: 250 };
            }
            PathFailure::PeerGone => {
                TunnelError::Peer { step: "connecting", peer, source: refused() }
            }
            PathFailure::PeerTimeout => TunnelError::Timeout { peer },
            PathFailure::Rejected(reply, sign) => TunnelError::Rejected { peer, reply, sign },
        };
        SendError::Tunnel { peer, source }
    }
}

/// What is concluded about the server.
#[derive(Debug, PartialEq, Eq)]
enum Conclusion {
    Refuses,
    Silent,
    Unreached,
}

struct ConclusionCase {
    name: &'static str,
    failures: &'static [PathFailure],
    conclusion: Conclusion,
}

const BUSY: PathFailure = PathFailure::Rejected(TunnelReply::Busy, ConnectSign::Unknown);
const UNAVAILABLE: PathFailure =
    PathFailure::Rejected(TunnelReply::Unavailable, ConnectSign::Unknown);
const SILENT_THERE: PathFailure =
    PathFailure::Rejected(TunnelReply::Unreachable, ConnectSign::Silent);
const REFUSED_THERE: PathFailure =
    PathFailure::Rejected(TunnelReply::Unreachable, ConnectSign::Refused);
const OF_PREVIOUS_BUILD: PathFailure =
    PathFailure::Rejected(TunnelReply::Unreachable, ConnectSign::Unknown);

const CONCLUSION_CASES: [ConclusionCase; 11] = [
    ConclusionCase {
        name: "a peer has no room, then no connection in time",
        failures: &[BUSY, PathFailure::DirectTimeout],
        conclusion: Conclusion::Silent,
    },
    ConclusionCase {
        name: "a peer is gone, then no connection in time",
        failures: &[PathFailure::PeerGone, PathFailure::DirectTimeout],
        conclusion: Conclusion::Silent,
    },
    ConclusionCase {
        name: "a peer does not use the server, then no connection in time",
        failures: &[UNAVAILABLE, PathFailure::DirectTimeout],
        conclusion: Conclusion::Silent,
    },
    ConclusionCase {
        name: "no connection in time anywhere, the peer's first",
        failures: &[SILENT_THERE, PathFailure::DirectTimeout],
        conclusion: Conclusion::Silent,
    },
    ConclusionCase {
        name: "a peer of the previous build does not tell",
        failures: &[OF_PREVIOUS_BUILD, PathFailure::DirectTimeout],
        conclusion: Conclusion::Silent,
    },
    ConclusionCase {
        name: "the peer's connection is refused",
        failures: &[REFUSED_THERE, PathFailure::DirectTimeout],
        conclusion: Conclusion::Refuses,
    },
    ConclusionCase {
        name: "the peer's connection is refused, after a timeout",
        failures: &[PathFailure::DirectTimeout, BUSY, REFUSED_THERE],
        conclusion: Conclusion::Refuses,
    },
    ConclusionCase {
        name: "refused here, no room there",
        failures: &[PathFailure::DirectRefused, BUSY],
        conclusion: Conclusion::Refuses,
    },
    ConclusionCase {
        name: "refused here, no tunnel in time",
        failures: &[PathFailure::PeerTimeout, PathFailure::DirectRefused],
        conclusion: Conclusion::Refuses,
    },
    ConclusionCase {
        name: "no tunnel in time",
        failures: &[BUSY, PathFailure::PeerTimeout],
        conclusion: Conclusion::Silent,
    },
    ConclusionCase {
        name: "nobody tells anything",
        failures: &[BUSY, PathFailure::PeerGone],
        conclusion: Conclusion::Unreached,
    },
];

/// Prevents a server that is silent for a second from being ejected because a peer had no room for
/// a tunnel, was gone, or was not faster to give up than this gateway.
#[test]
fn only_a_refusal_outweighs_a_silence() {
    for case in &CONCLUSION_CASES {
        let errors = case.failures.iter().map(|failure| failure.error()).collect();
        let conclusion = conclusion(most_telling(errors, false).expect("an error"));
        assert_eq!(conclusion, case.conclusion, "{}", case.name);
    }
    assert!(most_telling(Vec::new(), false).is_none());
}

fn conclusion(error: SendError) -> Conclusion {
    match error {
        error if error.is_connect_timeout() => Conclusion::Silent,
        error if error.is_refusal() => Conclusion::Refuses,
        _ => Conclusion::Unreached,
    }
}

const BROKEN_PATH_CASES: [ConclusionCase; 3] = [
    ConclusionCase {
        name: "silent for others, refused on the broken path",
        failures: &[SILENT_THERE, PathFailure::DirectRefused],
        conclusion: Conclusion::Silent,
    },
    ConclusionCase {
        name: "refused for others too",
        failures: &[REFUSED_THERE, PathFailure::DirectRefused],
        conclusion: Conclusion::Refuses,
    },
    ConclusionCase {
        name: "no other path",
        failures: &[PathFailure::DirectRefused],
        conclusion: Conclusion::Refuses,
    },
];

/// Prevents a server that is silent for a second from being ejected because this gateway's own path,
/// which is known to be broken, refuses connections.
#[test]
fn a_broken_path_tells_nothing_of_its_server() {
    for case in &BROKEN_PATH_CASES {
        let errors = case.failures.iter().map(|failure| failure.error()).collect();
        let conclusion = conclusion(most_telling(errors, true).expect("an error"));
        assert_eq!(conclusion, case.conclusion, "{}", case.name);
    }
}

/// Prevents a gateway that has run out of descriptors or ports from ejecting all servers.
#[test]
fn what_this_process_lacks_is_no_refusal() {
    /// `EMFILE`, `ENFILE`, `EADDRNOTAVAIL`, `ENOBUFS`, `ENOMEM`.
    const LACKING: [i32; 5] = [24, 23, 99, 105, 12];
    for number in LACKING {
        let source = io::Error::from_raw_os_error(number);
        let error = SendError::Connect { peer: PEER, source };
        assert!(error.is_local() && !error.is_refusal(), "{error}");
    }
    assert!(!PathFailure::DirectRefused.error().is_local());
}

/// Prevents gateways of this build and of the previous one from misreading each other's answers.
#[test]
fn gateways_of_the_previous_build_read_and_send_answers_without_a_sign() {
    let replies =
        [TunnelReply::Open, TunnelReply::Unreachable, TunnelReply::Unavailable, TunnelReply::Busy];
    for reply in replies {
        let without_sign = postcard::to_allocvec(&reply).expect("plain fields");
        let decoded = decode_answer(MAGIC, &without_sign).expect("an answer");
        assert_eq!(decoded, (reply, ConnectSign::Unknown));
        for sign in [ConnectSign::Unknown, ConnectSign::Silent, ConnectSign::Refused] {
            let with_sign = postcard::to_allocvec(&(reply, sign)).expect("plain fields");
            assert_eq!(decode_answer(MAGIC, &with_sign).expect("an answer"), (reply, sign));
            let read: TunnelReply = postcard::from_bytes(&with_sign).expect("an answer");
            assert_eq!(read, reply);
        }
    }
    assert!(decode_answer(*b"UGR0", &[0, 0]).is_err());
}
