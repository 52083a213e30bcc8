//! Tests `umberctl explain` on log lines of two instances.

use std::process::Command;

const FIRST_LOG: &str = r#"   3.1 gw-a {"timestamp":"2026-01-01T00:00:03.1Z","level":"INFO","message":"placed","event":5003,"request_id":"r1","server":"i-1","own":2}
not a line of ours
   3.2 gw-a {"timestamp":"2026-01-01T00:00:03.2Z","level":"INFO","message":"placed","event":5003,"request_id":"r2","server":"i-9"}
"#;
const SECOND_LOG: &str = r#"{"timestamp":"2026-01-01T00:00:03.0Z","level":"INFO","message":"refused","event":5002,"request_id":"r1","reason":"no_room"}
"#;

#[test]
fn merges_log_lines_of_one_request() {
    struct Case {
        request: &'static str,
        expected: &'static str,
    }
    let cases = [
        Case {
            request: "r1",
            expected: "2026-01-01T00:00:03.0Z 5002 refused reason=no_room\n\
                       2026-01-01T00:00:03.1Z 5003 placed own=2 server=i-1 [3.1 gw-a]\n",
        },
        Case {
            request: "r2",
            expected: "2026-01-01T00:00:03.2Z 5003 placed server=i-9 [3.2 gw-a]\n",
        },
        Case {
            request: "r3",
            expected: "no line names r3: the request reached none of these instances, or its \
                       lines were dropped (look for event 7006)\n",
        },
    ];
    let folder = std::env::temp_dir().join(format!("umberctl-explain-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let (first, second) = (folder.join("a.log"), folder.join("b.log"));
    std::fs::write(&first, FIRST_LOG).expect("writing a log");
    std::fs::write(&second, SECOND_LOG).expect("writing a log");
    for case in cases {
        let output = Command::new(env!("CARGO_BIN_EXE_umberctl"))
            .args(["explain", case.request])
            .args([&first, &second])
            .output()
            .expect("running umberctl");
        assert_eq!(String::from_utf8_lossy(&output.stdout), case.expected, "{}", case.request);
    }
    std::fs::remove_dir_all(&folder).expect("removing the temporary folder");
}
