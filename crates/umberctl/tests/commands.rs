//! Runs `umberctl` against a platform stand-in: checks what each command prints, and that a
//! rejected command changes nothing.

use std::process::Command;
use std::time::Duration;

use umberglade_bench::site::LocalSite;
use umberglade_wire::pool;

/// One command of a session and its expected result.
struct CommandCase {
    name: &'static str,
    args: &'static [&'static str],
    succeeds: bool,
    /// Text that the command's output or error must contain.
    expected_text: &'static str,
}

const fn succeeds(
    name: &'static str,
    args: &'static [&'static str],
    expected_text: &'static str,
) -> CommandCase {
    CommandCase { name, args, succeeds: true, expected_text }
}

const fn fails(
    name: &'static str,
    args: &'static [&'static str],
    expected_text: &'static str,
) -> CommandCase {
    CommandCase { name, args, succeeds: false, expected_text }
}

fn umberctl(platform: &str, args: &[&str]) -> (bool, String) {
    let presets = concat!(env!("CARGO_MANIFEST_DIR"), "/../../presets");
    let output = Command::new(env!("CARGO_BIN_EXE_umberctl"))
        .args(["--platform", platform, "--actor", "night-shift/test"])
        .args(args)
        .current_dir(presets)
        .output()
        .expect("running umberctl");
    let text = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8_lossy(&text).into_owned())
}

/// Covers an operator's session: presets are written, edited and activated, another shift changes
/// one in between, servers are drained and given roles, organisations are set, and a snapshot is
/// saved and restored. Each rejected command names its cause and changes nothing.
#[test]
fn operator_session_prints_expected_output() {
    pool::start(2);
    let site = pool::block_on(LocalSite::start(Duration::ZERO)).unwrap();
    let platform = site.platform.to_string();
    let cases = [
        succeeds("no active preset", &["status"], "no preset has been activated"),
        succeeds("check", &["check", "peak.toml"], "valid"),
        fails("no such file", &["check", "nope.toml"], "nope.toml"),
        fails("not a preset", &["check", "../Cargo.toml"], "does not parse"),
        succeeds(
            "put",
            &["put", "ordinary", "ordinary.toml", "--expect-version", "0"],
            "version 1",
        ),
        succeeds("put", &["put", "peak", "peak.toml", "--expect-version", "0"], "version 1"),
        fails(
            "put with a stale version",
            &["put", "peak", "ordinary.toml", "--expect-version", "0"],
            "changed meanwhile (now at version 1)",
        ),
        succeeds("list", &["list"], "ordinary\tversion 1"),
        succeeds("show", &["show", "peak"], "max_in_flight"),
        fails("show unknown", &["show", "nope"], "no preset named `nope`"),
        succeeds("activate", &["activate", "ordinary", "--expect-active", "0"], "version 1"),
        fails(
            "activate with a stale version",
            &["activate", "peak", "--expect-active", "0"],
            "changed meanwhile",
        ),
        succeeds("still ordinary", &["status"], "in force: ordinary"),
        succeeds("status names the operator", &["status"], "night-shift/test"),
        succeeds("organisation", &["org", "north", "--key", "k1", "--key", "k2"], "north set"),
        succeeds("drain", &["drain", "d1"], "d1 drained"),
        succeeds("undrain", &["undrain", "d1"], "d1 back"),
        succeeds("role", &["role", "d1", "prefill"], "d1 is to serve prefill"),
        fails("bad role", &["role", "d1", "plain"], "must be prefill or decode"),
        succeeds("members, none", &["members"], ""),
        succeeds("save", &["snapshot", "save", "before/peak"], "saved"),
        succeeds("list snapshots", &["snapshot", "list"], "before/peak"),
        succeeds("activate peak", &["activate", "peak", "--expect-active", "1"], "version 2"),
        succeeds("restore", &["snapshot", "restore", "before/peak"], "1 rows written"),
        succeeds("restore writes a new version", &["status"], "active version 3"),
        succeeds("ordinary again", &["status"], "in force: ordinary"),
        fails("no such snapshot", &["snapshot", "restore", "nope"], "no snapshot named"),
    ];
    for case in &cases {
        let (succeeded, text) = umberctl(&platform, case.args);
        assert_eq!(succeeded, case.succeeds, "{}: {text}", case.name);
        assert!(text.contains(case.expected_text), "{}: {text}", case.name);
    }
}

/// If the platform is unreachable, the error names the step and the platform's address.
#[test]
fn unreachable_platform_error_names_step_and_address() {
    let (succeeded, text) = umberctl("127.0.0.1:1", &["status"]);
    assert!(!succeeded);
    assert!(text.contains("read active preset") && text.contains("127.0.0.1:1"), "{text}");
}
