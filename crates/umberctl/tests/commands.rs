//! `umberctl` as operators use it, against a platform stand-in: what each
//! command prints, and that a refused one changes nothing.

use std::process::Command;
use std::time::Duration;

use umberglade_bench::site::LocalSite;
use umberglade_wire::pool;

/// One command of a session and what must come of it.
struct CommandCase {
    name: &'static str,
    args: &'static [&'static str],
    ok: bool,
    /// Text its output (or error) must contain.
    says: &'static str,
}

const fn ok(name: &'static str, args: &'static [&'static str], says: &'static str) -> CommandCase {
    CommandCase { name, args, ok: true, says }
}

const fn refused(
    name: &'static str,
    args: &'static [&'static str],
    says: &'static str,
) -> CommandCase {
    CommandCase { name, args, ok: false, says }
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

/// A shift's work: presets written, edited, activated; another shift's
/// change in between; drains, roles, organisations; a snapshot saved and
/// restored. Each refusal names its cause and leaves things as they were.
#[test]
fn a_shift_works_with_umberctl() {
    pool::start(2);
    let site = pool::block_on(LocalSite::start(Duration::ZERO)).unwrap();
    let platform = site.platform.to_string();
    let cases = [
        ok("nothing in force", &["status"], "no preset has been activated"),
        ok("check", &["check", "peak.toml"], "valid"),
        refused("no such file", &["check", "nope.toml"], "nope.toml"),
        refused("not a preset", &["check", "../Cargo.toml"], "does not parse"),
        ok("put", &["put", "ordinary", "ordinary.toml", "--expect-version", "0"], "version 1"),
        ok("put", &["put", "peak", "peak.toml", "--expect-version", "0"], "version 1"),
        refused(
            "put over another's",
            &["put", "peak", "ordinary.toml", "--expect-version", "0"],
            "changed meanwhile (now at version 1)",
        ),
        ok("list", &["list"], "ordinary\tversion 1"),
        ok("show", &["show", "peak"], "max_in_flight"),
        refused("show unknown", &["show", "nope"], "no preset named `nope`"),
        ok("activate", &["activate", "ordinary", "--expect-active", "0"], "version 1"),
        refused(
            "activate on an old view",
            &["activate", "peak", "--expect-active", "0"],
            "changed meanwhile",
        ),
        ok("still ordinary", &["status"], "in force: ordinary"),
        ok("by whom", &["status"], "night-shift/test"),
        ok("organisation", &["org", "north", "--key", "k1", "--key", "k2"], "north set"),
        ok("drain", &["drain", "d1"], "d1 drained"),
        ok("undrain", &["undrain", "d1"], "d1 back"),
        ok("role", &["role", "d1", "prefill"], "d1 is to serve prefill"),
        refused("bad role", &["role", "d1", "plain"], "must be prefill or decode"),
        ok("members, none", &["members"], ""),
        ok("save", &["snapshot", "save", "before/peak"], "saved"),
        ok("list snapshots", &["snapshot", "list"], "before/peak"),
        ok("activate peak", &["activate", "peak", "--expect-active", "1"], "version 2"),
        ok("restore", &["snapshot", "restore", "before/peak"], "1 rows written"),
        ok("forward, not back", &["status"], "active version 3"),
        ok("ordinary again", &["status"], "in force: ordinary"),
        refused("no such snapshot", &["snapshot", "restore", "nope"], "no snapshot named"),
    ];
    for case in &cases {
        let (succeeded, text) = umberctl(&platform, case.args);
        assert_eq!(succeeded, case.ok, "{}: {text}", case.name);
        assert!(text.contains(case.says), "{}: {text}", case.name);
    }
}

/// The platform is not there: a clear error that names step and peer.
#[test]
fn an_unreachable_platform_is_named() {
    let (succeeded, text) = umberctl("127.0.0.1:1", &["status"]);
    assert!(!succeeded);
    assert!(text.contains("read active preset") && text.contains("127.0.0.1:1"), "{text}");
}
