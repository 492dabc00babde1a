//! The command as it is called: what it refuses, how it exits, and that nothing is left behind.
#![expect(clippy::unwrap_used, reason = "helpers of a test fail it by a panic")]
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

fn larklinkctl(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_larklinkctl"));
    command.args(arguments).stdin(Stdio::null());
    command
}

fn ran(arguments: &[&str]) -> (i32, String) {
    let Output { status, stdout, stderr } = larklinkctl(arguments).output().unwrap();
    let text = String::from_utf8(stdout).unwrap() + &String::from_utf8(stderr).unwrap();
    (status.code().unwrap(), text)
}

/// A file of this test's own.
fn file(name: &str, text: &[u8]) -> PathBuf {
    let path = std::env::temp_dir().join(format!("larklinkctl-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

#[test]
fn each_shipped_scenario_can_be_read_and_is_listed() {
    let (code, text) = ran(&["rehearse", "--list"]);
    assert_eq!((code, text.lines().count()), (0, 18), "{text}");
    for name in [
        "calm",
        "proxy-killed",
        "retry-storm",
        "silent-fifth",
        "slow-store",
        "cold-return",
        "cold-herd",
        "killed-at-accept",
        "list-lost-late",
        "reload-and-stop",
        "rolling-restart",
    ] {
        assert!(text.contains(name), "{name}");
    }
}

/// Standard output and exit code are the same; standard error has one line more.
#[test]
fn the_old_name_says_the_new_one_and_does_the_same() {
    for arguments in [&["run", "--list"][..], &["rehearse", "--list"], &["rehearse", "no-such"], &["run"]] {
        let new = larklinkctl(arguments).output().unwrap();
        let old = Command::new(env!("CARGO_BIN_EXE_larkctl"))
            .args(arguments)
            .stdin(Stdio::null())
            .output()
            .unwrap();
        assert_eq!((old.status.code(), &old.stdout), (new.status.code(), &new.stdout), "{arguments:?}");
        let said = String::from_utf8(old.stderr).unwrap();
        let (first, rest) = said.split_once('\n').unwrap();
        assert!(first.contains("larklinkctl"), "{first}");
        let rest = rest.replace("Usage: larkctl", "Usage: larklinkctl");
        assert_eq!(rest, String::from_utf8(new.stderr).unwrap(), "{arguments:?}");
    }
}

#[test]
fn what_is_wrong_is_told_and_nothing_starts() {
    assert_eq!(ran(&[]).0, 2);
    assert_eq!(ran(&["rehearse"]).0, 2);
    assert_eq!(ran(&["rehearse", "calm", "--seed", "x"]).0, 2);
    let (code, text) = ran(&["rehearse", "no-such"]);
    assert!(code == 2 && text.contains("no-such: ") && text.contains("--list"), "{text}");
    let bad = file("bad.toml", b"length = '5s'\n[proxies]\ncount = 0\n[store]\nrate = 0.0\n");
    let (code, text) = ran(&["rehearse", bad.to_str().unwrap()]);
    assert!(code == 2 && text.contains(":3: proxies.count: ") && text.contains(":5: store.rate: "), "{text}");
    let garbage = file("garbage.toml", &[0xff, 0xfe, 0]);
    let (code, text) = ran(&["rehearse", garbage.to_str().unwrap()]);
    assert!(code == 2 && text.contains("UTF-8"), "{text}");
    let (code, text) = ran(&["rehearse", "calm", "--daemon", "/nonexistent"]);
    assert!(code == 2 && text.contains("no such program"), "{text}");
    let (code, text) = ran(&["rehearse", "calm", "--daemon", "/bin/false"]);
    assert!(code == 2 && text.contains("proxy 0 ended at its start"), "{text}");
    [bad, garbage].iter().for_each(|path| std::fs::remove_file(path).unwrap());
}

/// The processes whose command line has that word.
fn with(word: &str) -> Vec<u32> {
    let processes = std::fs::read_dir("/proc").unwrap().flatten();
    let pids = processes.filter_map(|e| e.file_name().to_str()?.parse::<u32>().ok());
    pids.filter(|pid| {
        let line = std::fs::read(format!("/proc/{pid}/cmdline")).unwrap_or_default();
        String::from_utf8_lossy(&line).contains(word)
    })
    .collect()
}

fn until(so: impl Fn() -> bool) -> bool {
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(10) {
        if so() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    false
}

/// Killed outright or by Ctrl-C, the kit leaves no daemon behind; after Ctrl-C no file either.
#[test]
fn a_kit_that_is_killed_leaves_no_daemon_behind() {
    let daemon = PathBuf::from(env!("CARGO_BIN_EXE_larklinkctl")).with_file_name("larklink");
    assert!(daemon.is_file(), "build the daemon first: cargo build");
    for signal in [Signal::KILL, Signal::INT] {
        let mut kit =
            larklinkctl(&["rehearse", "calm"]).stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap();
        let folder = format!("larklink-rehearsal-{}-", kit.id());
        assert!(until(|| with(&folder).len() == 3), "three daemons run");
        kill_process(Pid::from_child(&kit), signal).unwrap();
        kit.wait().unwrap();
        assert!(until(|| with(&folder).is_empty()), "{signal:?}: {:?}", with(&folder));
        let path = std::env::temp_dir().join(format!("{folder}0"));
        assert_eq!(path.exists(), signal == Signal::KILL, "{signal:?}");
        let _ = std::fs::remove_dir_all(path);
    }
}

/// As one that is killed for memory: the run ends, and the end of its log is shown.
#[test]
fn a_daemon_that_ends_by_itself_is_reported_with_its_log() {
    let mut kit =
        larklinkctl(&["rehearse", "calm"]).stdout(Stdio::null()).stderr(Stdio::piped()).spawn().unwrap();
    let folder = format!("larklink-rehearsal-{}-", kit.id());
    assert!(until(|| with(&folder).len() == 3), "three daemons run");
    let first = Pid::from_raw(with(&folder).into_iter().min().unwrap().cast_signed()).unwrap();
    kill_process(first, Signal::KILL).unwrap();
    let mut said = String::new();
    std::io::Read::read_to_string(&mut kit.stderr.take().unwrap(), &mut said).unwrap();
    assert_eq!(kit.wait().unwrap().code(), Some(2));
    let listed =
        |line: &str| line.contains("INFO endpoint listed") && line.contains(r#"name="s-0" status="up""#);
    assert!(said.contains("larklinkctl: proxy 0 was killed") && said.lines().any(listed), "{said}");
}
