//! Runs the command line tool and checks its errors, its exit codes, and that it leaves no processes or files behind.
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

/// Runs the command and returns its exit code, and its standard output followed by its standard error.
fn run_to_end(arguments: &[&str]) -> (i32, String) {
    let Output { status, stdout, stderr } = larklinkctl(arguments).output().unwrap();
    let text = String::from_utf8(stdout).unwrap() + &String::from_utf8(stderr).unwrap();
    (status.code().unwrap(), text)
}

/// Writes a file that is named after this test process.
fn temp_file(name: &str, text: &[u8]) -> PathBuf {
    let path = std::env::temp_dir().join(format!("larklinkctl-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

#[test]
fn every_built_in_scenario_parses_and_is_listed() {
    let (code, text) = run_to_end(&["rehearse", "--list"]);
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

/// The former name must print the same output and exit with the same code, after one more line on standard error.
#[test]
fn former_name_behaves_the_same_after_a_notice() {
    for arguments in [&["run", "--list"][..], &["rehearse", "--list"], &["rehearse", "no-such"], &["run"]] {
        let new = larklinkctl(arguments).output().unwrap();
        let old = Command::new(env!("CARGO_BIN_EXE_larkctl"))
            .args(arguments)
            .stdin(Stdio::null())
            .output()
            .unwrap();
        assert_eq!((old.status.code(), &old.stdout), (new.status.code(), &new.stdout), "{arguments:?}");
        let old_stderr = String::from_utf8(old.stderr).unwrap();
        let (notice, rest) = old_stderr.split_once('\n').unwrap();
        assert!(notice.contains("larklinkctl"), "{notice}");
        let rest = rest.replace("Usage: larkctl", "Usage: larklinkctl");
        assert_eq!(rest, String::from_utf8(new.stderr).unwrap(), "{arguments:?}");
    }
}

#[test]
fn invalid_input_is_reported_with_exit_code_2() {
    assert_eq!(run_to_end(&[]).0, 2);
    assert_eq!(run_to_end(&["rehearse"]).0, 2);
    assert_eq!(run_to_end(&["rehearse", "calm", "--seed", "x"]).0, 2);
    let (code, text) = run_to_end(&["rehearse", "no-such"]);
    assert!(code == 2 && text.contains("no-such: ") && text.contains("--list"), "{text}");
    let invalid_scenario =
        temp_file("invalid.toml", b"length = '5s'\n[proxies]\ncount = 0\n[store]\nrate = 0.0\n");
    let (code, text) = run_to_end(&["rehearse", invalid_scenario.to_str().unwrap()]);
    assert!(code == 2 && text.contains(":3: proxies.count: ") && text.contains(":5: store.rate: "), "{text}");
    let not_utf8 = temp_file("not-utf8.toml", &[0xff, 0xfe, 0]);
    let (code, text) = run_to_end(&["rehearse", not_utf8.to_str().unwrap()]);
    assert!(code == 2 && text.contains("UTF-8"), "{text}");
    let (code, text) = run_to_end(&["rehearse", "calm", "--daemon", "/nonexistent"]);
    assert!(code == 2 && text.contains("no such program"), "{text}");
    let (code, text) = run_to_end(&["rehearse", "calm", "--daemon", "/bin/false"]);
    assert!(code == 2 && text.contains("proxy 0 ended at its start"), "{text}");
    [invalid_scenario, not_utf8].iter().for_each(|path| std::fs::remove_file(path).unwrap());
}

/// The processes whose command line contains a text.
fn processes_with(text: &str) -> Vec<u32> {
    let processes = std::fs::read_dir("/proc").unwrap().flatten();
    let pids = processes.filter_map(|e| e.file_name().to_str()?.parse::<u32>().ok());
    pids.filter(|pid| {
        let command_line = std::fs::read(format!("/proc/{pid}/cmdline")).unwrap_or_default();
        String::from_utf8_lossy(&command_line).contains(text)
    })
    .collect()
}

/// Polls a condition for up to 10 s and returns whether it became true.
fn wait_until(condition: impl Fn() -> bool) -> bool {
    let started_at = Instant::now();
    while started_at.elapsed() < Duration::from_secs(10) {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    false
}

/// Guards against proxy processes that keep running after the testbed was killed by SIGKILL or interrupted by SIGINT.
/// After SIGINT no files may be left either.
#[test]
fn killed_testbed_leaves_no_proxies_behind() {
    let proxy = PathBuf::from(env!("CARGO_BIN_EXE_larklinkctl")).with_file_name("larklink");
    assert!(proxy.is_file(), "build the proxy first: cargo build");
    for signal in [Signal::KILL, Signal::INT] {
        let mut testbed =
            larklinkctl(&["rehearse", "calm"]).stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap();
        let directory = format!("larklink-rehearsal-{}-", testbed.id());
        assert!(wait_until(|| processes_with(&directory).len() == 3), "three proxies should be running");
        kill_process(Pid::from_child(&testbed), signal).unwrap();
        testbed.wait().unwrap();
        assert!(
            wait_until(|| processes_with(&directory).is_empty()),
            "{signal:?}: {:?}",
            processes_with(&directory)
        );
        let path = std::env::temp_dir().join(format!("{directory}0"));
        assert_eq!(path.exists(), signal == Signal::KILL, "{signal:?}");
        let _ = std::fs::remove_dir_all(path);
    }
}

/// A proxy that is killed unexpectedly, for instance by the kernel when memory runs out, must end the run, and the end of
/// its log must be printed.
#[test]
fn killed_proxy_ends_the_run_and_its_log_is_printed() {
    let mut testbed =
        larklinkctl(&["rehearse", "calm"]).stdout(Stdio::null()).stderr(Stdio::piped()).spawn().unwrap();
    let directory = format!("larklink-rehearsal-{}-", testbed.id());
    assert!(wait_until(|| processes_with(&directory).len() == 3), "three proxies should be running");
    let first_proxy =
        Pid::from_raw(processes_with(&directory).into_iter().min().unwrap().cast_signed()).unwrap();
    kill_process(first_proxy, Signal::KILL).unwrap();
    let mut stderr = String::new();
    std::io::Read::read_to_string(&mut testbed.stderr.take().unwrap(), &mut stderr).unwrap();
    assert_eq!(testbed.wait().unwrap().code(), Some(2));
    let logs_endpoint =
        |line: &str| line.contains("INFO endpoint listed") && line.contains(r#"name="s-0" status="up""#);
    assert!(
        stderr.contains("larklinkctl: proxy 0 was killed") && stderr.lines().any(logs_endpoint),
        "{stderr}"
    );
}
