//! Stand-ins for the cases of the second review: processes of the proxy, servers, the discovery agent and clients, all
//! on loopback addresses. Standard library only, so that `rustc` builds it without dependencies.
#![allow(dead_code)]
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// What was sent, answered and run, in the order of time.
pub struct Record {
    started: Instant,
    lines: Mutex<Vec<(u64, String)>>,
}

impl Record {
    pub fn new() -> Arc<Self> {
        Arc::new(Self { started: Instant::now(), lines: Mutex::default() })
    }

    /// Microseconds since the start of the run.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    pub fn note(&self, text: impl Into<String>) -> u64 {
        let at = self.now();
        self.note_at(at, text);
        at
    }

    pub fn note_at(&self, at: u64, text: impl Into<String>) {
        self.lines.lock().unwrap().push((at, text.into()));
    }

    /// Writes the record to a file, with times in milliseconds.
    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|line| line.0);
        let mut text = String::new();
        for (at, line) in lines {
            text += &format!("{:10.3} ms  {line}\n", at as f64 / 1000.0);
        }
        std::fs::write(path, text).unwrap();
    }
}

/// Random numbers (xorshift), the same at each run.
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
}

pub fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Whether the disruption takes place (`TROUBLE=0` leaves it out).
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The folder of the case and the root of the repository, from the command line.
pub fn folders() -> (PathBuf, PathBuf) {
    let mut args = std::env::args_os().skip(1).map(PathBuf::from);
    (args.next().expect("case folder"), args.next().expect("repository root"))
}

/// The processes of the proxy that have been started and not waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the script, and all processes that it started, because the case could not run.
pub fn cannot_run(reason: &str) -> ! {
    for &process in RUNNING.lock().unwrap().iter() {
        unsafe { kill(process as i32, SIGKILL) };
    }
    eprintln!("the case could not run: {reason}");
    std::process::exit(2);
}

/// Returns a free loopback address.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .unwrap_or_else(|e| cannot_run(&e.to_string()))
}

/// A process of the proxy, started by the `run` command of the deploy file. It is killed when this is dropped.
pub struct Proxy {
    pub child: Child,
    pub listen: SocketAddr,
    pub console: SocketAddr,
}

pub struct ProxyOptions<'a> {
    pub root: &'a Path,
    pub folder: &'a Path,
    pub name: &'a str,
    pub listen: SocketAddr,
    pub console: SocketAddr,
    pub config: &'a Path,
    pub discovery: SocketAddr,
}

fn run_command(root: &Path) -> String {
    let path = root.join("deploy/balancer.toml");
    let text = std::fs::read_to_string(path).unwrap_or_else(|e| cannot_run(&e.to_string()));
    let line =
        text.lines().find_map(|line| line.strip_prefix("run = \"")).unwrap_or_else(|| cannot_run("no run"));
    line.trim_end().trim_end_matches('"').to_owned()
}

impl Proxy {
    pub fn start(options: &ProxyOptions<'_>, log: &str) -> Self {
        let log =
            std::fs::File::create(options.folder.join(log)).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(run_command(options.root))
            .current_dir(options.root)
            .env("ROUTER_NAME", options.name)
            .env("ROUTER_LISTEN", options.listen.to_string())
            .env("ROUTER_DISCOVERY", options.discovery.to_string())
            .env("ROUTER_CONFIG", options.config)
            .env("ROUTER_CONSOLE", options.console.to_string())
            .env("TMPDIR", options.folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&e.to_string()));
        RUNNING.lock().unwrap().push(child.id());
        Self { child, listen: options.listen, console: options.console }
    }

    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the console says that the process is ready.
    pub fn wait_until_ready(&mut self) {
        let started = Instant::now();
        while started.elapsed() < millis(10_000) {
            if !self.is_running() {
                cannot_run("the proxy has ended while starting");
            }
            if is_ready(self.console) {
                return;
            }
            thread::sleep(millis(10));
        }
        cannot_run("the proxy is not ready after 10 s");
    }
}

fn is_ready(console: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(console) else { return false };
    let _ = stream.set_read_timeout(Some(millis(1000)));
    if stream.write_all(b"GET /ready HTTP/1.1\r\nHost: proxy\r\n\r\n").is_err() {
        return false;
    }
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    answer.starts_with(b"HTTP/1.1 200")
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        RUNNING.lock().unwrap().retain(|process| *process != self.child.id());
        let _ = self.child.wait();
    }
}

/// Reads lines that end with CRLF.
pub struct Lines {
    pub stream: TcpStream,
    buffer: Vec<u8>,
    /// When the first byte of the line returned last was read.
    pub first_byte_at: Instant,
}

pub enum Read1 {
    Line(String),
    End,
    Reset,
    TimedOut,
}

impl Lines {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new(), first_byte_at: Instant::now() }
    }

    /// Reads a line; waits until `until` at most.
    pub fn read(&mut self, until: Option<Instant>) -> Read1 {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Read1::Line(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            let left = until.map(|until| until.saturating_duration_since(Instant::now()));
            if left == Some(Duration::ZERO) {
                return Read1::TimedOut;
            }
            let _ = self.stream.set_read_timeout(left);
            let mut chunk = [0; 4096];
            match self.stream.read(&mut chunk) {
                Ok(0) => return Read1::End,
                Ok(length) => {
                    if self.buffer.is_empty() {
                        self.first_byte_at = Instant::now();
                    }
                    self.buffer.extend_from_slice(&chunk[..length]);
                }
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Read1::TimedOut;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Read1::Reset,
            }
        }
    }

    pub fn write(&mut self, line: &str) -> bool {
        self.stream.write_all(format!("{line}\r\n").as_bytes()).is_ok()
    }
}

/// An `OPEN` line that reached a server.
#[derive(Clone)]
pub struct Arrival {
    pub server: String,
    pub id: String,
    /// When its first byte came, in microseconds of the record.
    pub at: u64,
}

/// A sound server: it answers probes, takes every session at once and brings a line back for each line.
pub struct Server {
    pub name: String,
    pub address: SocketAddr,
}

pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

impl Server {
    pub fn start(name: &str, record: &Arc<Record>, arrivals: &Arrivals) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let address = listener.local_addr().unwrap();
        let (record, arrivals, thread_name) = (Arc::clone(record), Arc::clone(arrivals), name.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (record, arrivals, name) =
                    (Arc::clone(&record), Arc::clone(&arrivals), thread_name.clone());
                thread::spawn(move || serve(&name, stream, &record, &arrivals));
            }
        });
        Self { name: name.to_owned(), address }
    }
}

/// Starts many sound servers in few threads.
pub fn start_many(count: usize, record: &Arc<Record>, arrivals: &Arrivals) -> Vec<Server> {
    const PER_THREAD: usize = 200;
    let bind = |number: usize| {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        listener.set_nonblocking(true).unwrap();
        (format!("s-{:08x}", 0x5be2_a07c_u32.wrapping_mul(2 * number as u32 + 1)), listener)
    };
    let listeners: Vec<_> = (0..count).map(bind).collect();
    let server = |(name, listener): &(String, TcpListener)| Server {
        name: name.clone(),
        address: listener.local_addr().unwrap(),
    };
    let servers = listeners.iter().map(server).collect();
    let mut listeners = listeners.into_iter().peekable();
    while listeners.peek().is_some() {
        let part: Vec<_> = listeners.by_ref().take(PER_THREAD).collect();
        let (record, arrivals) = (Arc::clone(record), Arc::clone(arrivals));
        thread::spawn(move || {
            loop {
                for (name, listener) in &part {
                    let Ok((stream, _)) = listener.accept() else { continue };
                    let _ = stream.set_nonblocking(false);
                    let (record, arrivals, name) = (Arc::clone(&record), Arc::clone(&arrivals), name.clone());
                    thread::spawn(move || serve(&name, stream, &record, &arrivals));
                }
                thread::sleep(millis(10));
            }
        });
    }
    servers
}

fn serve(name: &str, stream: TcpStream, record: &Record, arrivals: &Arrivals) {
    let mut lines = Lines::new(stream);
    let mut is_open = false;
    while let Read1::Line(line) = lines.read(None) {
        let answer = match line.split(' ').next() {
            Some("PING") if !is_open => "PONG".to_owned(),
            Some("STATS") if !is_open => "PONG inflight=1,util=0.1,x0=0.1".to_owned(),
            Some("OPEN") if !is_open => {
                let at = lines.first_byte_at.duration_since(record.started).as_micros() as u64;
                let id = line.split(' ').nth(1).unwrap_or("").to_owned();
                record.note_at(at, format!("server {name} gets OPEN {id}"));
                arrivals.lock().unwrap().push(Arrival { server: name.to_owned(), id: id.clone(), at });
                is_open = true;
                format!("UP {name}-{id}")
            }
            _ if is_open => format!("OK {line}"),
            _ => "SYNTAX".to_owned(),
        };
        if !lines.write(&answer) {
            return;
        }
    }
}

/// An entry of the list of servers.
#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub status: &'static str,
    pub group: u16,
    /// The version of the list in which it changed last.
    changed: u64,
}

impl Entry {
    pub fn json(&self) -> String {
        format!(
            "{{\"name\":\"{}\",\"address\":\"{}\",\"zone\":\"a\",\"type\":\"m2\",\"group\":{},\"status\":\"{}\",\
             \"weight\":1.0,\"since_ms\":0}}",
            self.name, self.address, self.group, self.status
        )
    }
}

/// What discovery knows, and whether it is down.
pub struct Discovery {
    state: Mutex<ListState>,
    changed: Condvar,
    record: Arc<Record>,
    /// How many spaces each level of the agents' lists is indented by; none for lists without line breaks.
    indent: Option<usize>,
}

struct ListState {
    version: u64,
    entries: Vec<Entry>,
    down: bool,
    /// Counts the outages. A call that met one stays without an answer.
    outages: u64,
}

impl Discovery {
    pub fn new(servers: &[Server], record: &Arc<Record>) -> Arc<Self> {
        Self::with_indent(servers, record, None)
    }

    pub fn with_indent(servers: &[Server], record: &Arc<Record>, indent: Option<usize>) -> Arc<Self> {
        let entry = |server: &Server| Entry {
            name: server.name.clone(),
            address: server.address,
            status: "up",
            group: 1,
            changed: 1,
        };
        let entries = servers.iter().map(entry).collect();
        let state = ListState { version: 1, entries, down: false, outages: 0 };
        Arc::new(Self { state: state.into(), changed: Condvar::new(), record: Arc::clone(record), indent })
    }

    /// The list as a proxy has it at its start, in the form of `known`.
    pub fn known(&self) -> String {
        list_json(&self.state.lock().unwrap(), None)
    }

    /// Discovery is down from now on: the agents are silent.
    pub fn go_down(&self) {
        let mut state = self.state.lock().unwrap();
        state.down = true;
        state.outages += 1;
        self.record.note("discovery is down");
        self.changed.notify_all();
    }

    /// Discovery is back: the agents answer calls that reach them from now on.
    pub fn come_back(&self) {
        self.state.lock().unwrap().down = false;
        self.record.note("discovery is back");
    }

    /// Sets the status of a server; returns when the agents have it. Ends an outage.
    pub fn set_status(&self, name: &str, status: &'static str) -> u64 {
        let mut state = self.state.lock().unwrap();
        let was_down = std::mem::replace(&mut state.down, false);
        state.version += 1;
        let version = state.version;
        for entry in state.entries.iter_mut().filter(|entry| entry.name == name) {
            entry.status = status;
            entry.changed = version;
        }
        let returned = if was_down { "discovery is back; " } else { "" };
        let at = self.record.note(format!("{returned}the agents have version {version}: {name} is {status}"));
        self.changed.notify_all();
        at
    }

    /// Starts an agent of one proxy.
    pub fn start_agent(self: &Arc<Self>, proxy: &str) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let address = listener.local_addr().unwrap();
        let (discovery, proxy) = (Arc::clone(self), proxy.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (discovery, proxy) = (Arc::clone(&discovery), proxy.clone());
                thread::spawn(move || discovery.serve(&proxy, stream));
            }
        });
        address
    }

    fn serve(&self, proxy: &str, stream: TcpStream) {
        let mut lines = Lines::new(stream);
        while let Read1::Line(request) = lines.read(None) {
            loop {
                match lines.read(None) {
                    Read1::Line(header) if header.is_empty() => break,
                    Read1::Line(_) => {}
                    _ => return,
                }
            }
            let number = |name: &str| {
                let query = request.split(' ').nth(1)?.split_once('?')?.1;
                query
                    .split('&')
                    .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
            };
            let Some((version, body)) = self.answer(proxy, number("after"), number("wait_ms").unwrap_or(0))
            else {
                // The connection stays open and silent: the proxy ends it.
                while !matches!(lines.read(None), Read1::End | Read1::Reset) {}
                return;
            };
            let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length:";
            let answer = format!("{head} {}\r\n\r\n{body}", body.len());
            if lines.stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            self.record.note(format!("agent of {proxy} has written version {version}"));
        }
    }

    /// Waits until a call can be answered; none if discovery goes down or is down meanwhile.
    pub fn answer(&self, proxy: &str, after: Option<u64>, wait_ms: u64) -> Option<(u64, String)> {
        let wait_until = Instant::now() + millis(wait_ms.min(60_000));
        let mut state = self.state.lock().unwrap();
        let outages = state.outages;
        loop {
            if state.down || state.outages != outages {
                self.record.note(format!("agent of {proxy} is silent on a call"));
                return None;
            }
            let left = wait_until.saturating_duration_since(Instant::now());
            if after.is_none_or(|after| state.version > after) || left.is_zero() {
                let list = list_json(&state, after);
                return Some((
                    state.version,
                    self.indent.map_or(list.clone(), |width| indented(&list, width)),
                ));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

/// Indents JSON that has no quotes inside its strings.
fn indented(json: &str, width: usize) -> String {
    let (mut text, mut depth, mut in_string) = (String::new(), 0, false);
    let line = |depth: usize| format!("\n{}", " ".repeat(depth * width));
    for c in json.chars() {
        in_string ^= c == '"';
        match c {
            '{' | '[' if !in_string => {
                depth += 1;
                text += &format!("{c}{}", line(depth));
            }
            '}' | ']' if !in_string => {
                depth -= 1;
                text += &format!("{}{c}", line(depth));
            }
            ',' if !in_string => text += &format!(",{}", line(depth)),
            ':' if !in_string => text += ": ",
            _ => text.push(c),
        }
    }
    text
}

fn list_json(state: &ListState, after: Option<u64>) -> String {
    let changed = state.entries.iter().filter(|entry| after.is_none_or(|after| entry.changed > after));
    let entries: Vec<String> = changed.map(Entry::json).collect();
    format!(
        "{{\"index\":{},\"snapshot\":{},\"endpoints\":[{}]}}",
        state.version,
        after.is_none(),
        entries.join(",")
    )
}

/// The settings of a small deployment, in the form of the midrand site. `idempotency` is that of its class.
pub fn settings(proxies: usize, drain_grace_ms: u64, idempotency: &str, extra_safety: &str) -> String {
    format!(
        "{{\"discovery\":\"pushed\",\"domain\":{{\"mode\":\"pass\",\"groups\":true,\"message_aim_ns\":[50000000],\
         \"tells_delay\":true,\"tells_load\":true}},\"feedback\":{{\"names\":[\"inflight\",\"util\",\"x0\"],\
         \"source\":\"on_probe\"}},\"grades\":[{{\"name\":\"pick-list\",\"idempotency\":\"{idempotency}\",\
         \"group\":\"all\",\"window_ns\":5000000000,\"aim_ns\":500000000,\"deadline_ns\":3000000000,\"gain\":5.0,\
         \"stream\":true}}],\"group_size\":{proxies},\"policy_limits\":{{\"dial_timeout_ns\":250000000,\
         \"max_retry_after_ns\":1500000000,\"probing\":true,\"retry_after\":true,\"parallel_tries\":false,\
         \"send_cap\":6}},\"safety\":{{\"answer_slack_ns\":16000000,\"cold_ns\":20000000000,\
         \"drain_grace_ns\":{},\"fall_multiple\":4.0,\"must_ask_in_ns\":10000000000,\
         \"overload_for_ns\":1000000000,\"start_capacity\":0.12{extra_safety}}},\
         \"tenants\":[{{\"name\":\"jet-park\",\"quota_per_s\":100.0,\"share\":1.0}}],\"weights\":\"nominal\",\
         \"zone\":0,\"zones\":[\"a\"]}}",
        drain_grace_ms * 1_000_000
    )
}

/// Writes the file of a configuration, in place of an earlier one.
pub fn write_config(
    path: &Path,
    name: &str,
    listen: SocketAddr,
    discovery: SocketAddr,
    console: SocketAddr,
    known: &str,
    settings: &str,
) {
    let text = format!(
        "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"console\":\"{console}\",\
         \"seed\":\"8c1f30d27a5be964\",\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\
         \"known\":{known},\"settings\":{settings}}}"
    );
    let temporary = path.with_extension("new");
    std::fs::write(&temporary, text).unwrap();
    std::fs::rename(temporary, path).unwrap();
}

/// How a client's request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Up(String),
    Busy,
    Failed(String),
    Ended,
    Reset,
    None,
    NotConnected,
}

/// Opens a session and waits for its answer, half a second longer than the client's time.
pub fn open(listen: SocketAddr, line: &str, dial_ms: u64, record: &Record) -> (Answer, Option<Lines>) {
    let Ok(stream) = TcpStream::connect(listen) else { return (Answer::NotConnected, None) };
    let mut lines = Lines::new(stream);
    record.note(format!("client sends {line}"));
    lines.write(line);
    let answer = match lines.read(Some(Instant::now() + millis(dial_ms + 500))) {
        Read1::Line(text) if text.starts_with("UP ") => Answer::Up(text),
        Read1::Line(text) if text.starts_with("BUSY") => Answer::Busy,
        Read1::Line(text) => Answer::Failed(text),
        Read1::End => Answer::Ended,
        Read1::Reset => Answer::Reset,
        Read1::TimedOut => Answer::None,
    };
    record.note(format!("client {} is answered {answer:?}", line.split(' ').nth(1).unwrap_or("")));
    (answer, Some(lines))
}

pub static NEXT_ID: AtomicU64 = AtomicU64::new(0x1000);

pub fn next_id() -> u64 {
    NEXT_ID.fetch_add(1, Ordering::Relaxed)
}

/// A stop signal for the threads of clients.
pub type Stop = Arc<AtomicBool>;
