//! Reload on SIGHUP: the program reads its configuration again and polls discovery at the new address.
#![allow(clippy::unwrap_used, reason = "a test stops where its setup fails")]
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

mod harness;
use harness::peer::Peer;
use harness::{config, endpoint, establish, list, listen, receive_request, respond};

/// The error for a zone index without an entry in `zones`, with the path of the field.
const ZONE_ERROR: &str = "settings: zone: index 1 is out of range for the 0 names in zones";

/// The running program, killed on drop.
struct Program(Child);

impl Program {
    /// Starts the program. Returns it with the rest of its log and its address.
    fn start(config: &Path) -> (Self, impl Iterator<Item = String>, SocketAddr) {
        let child = Command::new(env!("CARGO_BIN_EXE_larklink")).arg(config).stderr(Stdio::piped()).spawn();
        let mut program = Self(child.unwrap());
        let mut log = BufReader::new(program.0.stderr.take().unwrap()).lines().map_while(Result::ok);
        let address = log.find_map(|l| l.split_once("listen=").map(|(_, at)| at.parse().unwrap())).unwrap();
        (program, log, address)
    }

    fn send_sighup(&self) {
        let pid = rustix::process::Pid::from_child(&self.0);
        rustix::process::kill_process(pid, rustix::process::Signal::HUP).unwrap();
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.0.kill().and_then(|()| self.0.wait());
    }
}

/// Guards against a program without a handler for SIGHUP, which the signal terminates along with all sessions.
#[test]
fn on_sighup_the_list_is_polled_at_the_new_address_and_sessions_continue() {
    let ((first, a), (second, b), (old_agent, old_discovery), (new_agent, new_discovery)) =
        (listen(), listen(), listen(), listen());
    let path = std::env::temp_dir().join(format!("larklink-{}.json", std::process::id()));
    std::fs::write(&path, config(&[a], old_discovery, "proxy", 1024)).unwrap();
    let (program, mut log, address) = Program::start(&path);
    let mut watch = Peer::accept(&old_agent);
    receive_request(&mut watch);
    respond(&mut watch, &list(41, true, &[endpoint("s-0", a, "up")]));
    assert!(receive_request(&mut watch).starts_with("/api/targets?after=41&"));
    let (mut client, mut server) = establish(address, &first);
    // An invalid file changes nothing, and the warning says where the error is.
    let with_zone = |zone: &str| {
        config(&[a], old_discovery, "proxy", 1024)
            .replace(r#""settings":{"#, &format!(r#""settings":{{"zone":{zone},"#))
    };
    for (text, expected_error) in
        [("{".into(), "line 1"), (with_zone("1"), ZONE_ERROR), (with_zone("true"), "settings.zone: ")]
    {
        std::fs::write(&path, text).unwrap();
        program.send_sighup();
        let warning = log.find(|l| l.contains("WARN configuration not reloaded")).unwrap();
        assert!(warning.contains(expected_error), "{warning}");
    }
    // The program does not start with such a file.
    std::fs::write(&path, with_zone("1")).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_larklink")).arg(&path).output().unwrap();
    assert!(!output.status.success() && String::from_utf8_lossy(&output.stderr).contains(ZONE_ERROR));
    respond(&mut watch, &list(42, false, &[]));
    assert!(receive_request(&mut watch).starts_with("/api/targets?after=42&"));
    for index in [7, 3] {
        std::fs::write(&path, config(&[a], new_discovery, "proxy", 1024)).unwrap();
        program.send_sighup();
        watch.expect_end();
        watch = Peer::accept(&new_agent);
        assert_eq!(receive_request(&mut watch), "/api/targets", "the index of the old address is discarded");
        respond(&mut watch, &list(index, true, &[endpoint("s-0", a, "up"), endpoint("s-1", b, "up")]));
        assert!(receive_request(&mut watch).starts_with(&format!("/api/targets?after={index}&")));
    }
    client.send("still here\r\n");
    assert_eq!(server.receive_line(), "still here\r\n");
    // New sessions are routed by the new list.
    respond(&mut watch, &list(8, true, &[endpoint("s-1", b, "up")]));
    assert!(receive_request(&mut watch).contains("after=8"));
    establish(address, &second);
    std::fs::remove_file(&path).unwrap();
}

/// A proxy counts as notified by the new address four seconds after SIGHUP, even if that address has not responded yet.
/// Guards against long timeouts there: each poll that hung took three seconds.
#[test]
fn a_drain_at_the_new_address_arrives_in_time_although_the_first_polls_hang() {
    let ((first, a), (old_agent, old_discovery), (new_agent, new_discovery)) = (listen(), listen(), listen());
    let path = std::env::temp_dir().join(format!("larklink-hup-{}.json", std::process::id()));
    std::fs::write(&path, config(&[a], old_discovery, "proxy", 1024)).unwrap();
    let (program, _log, address) = Program::start(&path);
    let mut watch = Peer::accept(&old_agent);
    receive_request(&mut watch);
    respond(&mut watch, &list(41, true, &[endpoint("s-0", a, "up")]));
    receive_request(&mut watch);
    let (mut client, _server) = establish(address, &first);
    std::fs::write(&path, config(&[a], new_discovery, "proxy", 1024)).unwrap();
    let reloaded_at = Instant::now();
    program.send_sighup();
    watch.expect_end();
    let hanging: Vec<_> = (0..2).map(|_| Peer::accept(&new_agent)).collect();
    let mut watch = Peer::accept(&new_agent);
    assert_eq!(receive_request(&mut watch), "/api/targets");
    respond(&mut watch, &list(3, true, &[endpoint("s-0", a, "draining")]));
    assert!(receive_request(&mut watch).starts_with("/api/targets?after=3&"));
    assert!(reloaded_at.elapsed() < Duration::from_secs(4), "{:?}", reloaded_at.elapsed());
    assert_eq!(client.receive_line(), "MOVE\r\n");
    drop(hanging);
    std::fs::remove_file(&path).unwrap();
}
