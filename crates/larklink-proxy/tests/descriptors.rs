//! The limit of descriptors: who may hold them, who gives way, and what is set aside whatever clients do.
use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use futures_lite::future::{self, block_on, poll_once};
use larklink_balancer::AttemptOutcome;
use larklink_proxy::config::Config;
use larklink_proxy::endpoint_list::Endpoint;
use larklink_proxy::events::{DecisionEvent, queue};
use larklink_proxy::limiter::ConnectionLimiter;
use larklink_proxy::upstream::health_check::HealthChecker;

mod stage;
use stage::peer::{PATIENCE, Peer, open};
use stage::*;

/// The part of probes was computed once, from the first list.
#[test]
fn what_is_set_aside_grows_with_the_list_and_idle_ones_give_way_for_it() {
    let limiter = ConnectionLimiter::with_reserved(10, 100);
    let mut session = limiter.try_acquire().unwrap();
    assert!(session.start_session() && session.try_acquire_upstream());
    let mut idle: Vec<_> = (0..88).map(|_| limiter.try_acquire().unwrap()).collect();
    assert_eq!(limiter.client_descriptors(), 90);
    // One probe goes through whatever clients hold, on what is kept for good.
    let mut probes = vec![limiter.try_acquire_health_check().unwrap()];
    assert!(limiter.try_acquire_health_check().is_none());
    let mut told = 0;
    for servers in [1, 8, 16, 1024] {
        limiter.reserve_for_health_checks(servers);
        // A third of the limit at most, with what is kept for good.
        let part = servers.min(33 - 10);
        let gone = idle.iter().filter(|guest| block_on(poll_once(guest.evicted())).is_some()).count();
        assert_eq!(told + gone, part, "as many as were set aside, the oldest");
        assert!(limiter.try_acquire_health_check().is_none(), "they hold theirs until they have closed");
        idle.drain(..gone).for_each(drop);
        told += gone;
        probes.extend(std::iter::from_fn(|| limiter.try_acquire_health_check()));
        assert_eq!((probes.len(), limiter.client_descriptors()), (part, 90 - part));
    }
    drop(probes);
    // A newcomer does not take what is set aside: the oldest gives way to it, the session never.
    let newcomer = limiter.try_acquire().unwrap();
    assert!(block_on(poll_once(idle[0].evicted())).is_some());
    assert!(block_on(poll_once(limiter.evictions_done())).is_none(), "the oldest has not closed yet");
    idle.remove(0);
    assert!(block_on(poll_once(limiter.evictions_done())).is_some());
    assert!(block_on(poll_once(session.evicted())).is_none());
    // With a shorter list clients have it again.
    limiter.reserve_for_health_checks(0);
    idle.extend((0..23).map(|_| limiter.try_acquire().unwrap()));
    assert_eq!(limiter.client_descriptors(), 90);
    assert!(idle.iter().all(|guest| block_on(poll_once(guest.evicted())).is_none()));
    drop(newcomer);
}

/// A session's first line lay in the kernel while a crowd behind it was taken, and it gave way as the oldest.
#[test]
fn who_has_spoken_by_the_time_it_is_told_to_go_stays_for_the_next_idle_one() {
    let limiter = ConnectionLimiter::new(2);
    let (mut session, idle) = (limiter.try_acquire().unwrap(), limiter.try_acquire().unwrap());
    let newcomer = limiter.try_acquire().unwrap();
    assert!(!session.start_session());
    assert!(session.keep_if_not_evicted() && session.start_session());
    assert!(block_on(poll_once(session.evicted())).is_none());
    assert!(block_on(poll_once(idle.evicted())).is_some());
    drop(idle);
    assert!(block_on(poll_once(limiter.evictions_done())).is_some());
    let mut last = newcomer;
    let more = limiter.try_acquire().unwrap();
    assert!(more.start_session());
    assert!(!last.keep_if_not_evicted(), "all others are sessions");
    drop((session, last, more));
    assert_eq!(limiter.client_descriptors(), 0);
}

/// Each counted two until it had closed.
#[test]
fn who_lingers_after_its_session_holds_one_and_gives_way_before_sessions() {
    let limiter = ConnectionLimiter::new(4);
    let mut over = limiter.try_acquire().unwrap();
    assert!(over.start_session() && over.try_acquire_upstream());
    over.record_activity();
    assert_eq!(limiter.client_descriptors(), 1);
    let mut session = limiter.try_acquire().unwrap();
    assert!(session.start_session() && session.try_acquire_upstream());
    let guest = limiter.try_acquire().unwrap();
    let newcomer = limiter.try_acquire().unwrap();
    assert!(block_on(poll_once(guest.evicted())).is_some() && !guest.start_session());
    drop(guest);
    assert!(newcomer.start_session());
    let last = limiter.try_acquire().unwrap();
    assert!(block_on(poll_once(over.evicted())).is_some());
    drop(over);
    assert!(last.start_session() && limiter.try_acquire().is_none());
}

/// All that was set aside for probes counted for both processes, and left few descriptors to clients where the limit is low.
#[test]
fn the_other_process_leaves_what_is_held_and_not_what_is_set_aside() {
    let limiter = ConnectionLimiter::with_reserved(10, 100);
    limiter.reserve_for_health_checks(20);
    let _probes = (limiter.try_acquire_health_check().unwrap(), limiter.try_acquire_health_check().unwrap());
    let _idle = limiter.try_acquire().unwrap();
    assert_eq!((limiter.reserved(), limiter.in_use()), (10, 10 + 2 + 1));
}

#[test]
fn probes_share_what_there_is() {
    let limiter = ConnectionLimiter::with_reserved(4, 30);
    limiter.reserve_for_health_checks(1024);
    let mut probes: Vec<_> = std::iter::from_fn(|| limiter.try_acquire_health_check()).collect();
    assert_eq!(probes.len(), 30 / 3 - 4);
    let mut next = Box::pin(limiter.acquire_health_check());
    assert!(block_on(poll_once(&mut next)).is_none());
    probes.pop();
    assert!(block_on(poll_once(&mut next)).is_some());
    // Sessions that stand where a list has grown go before: probes get theirs as sessions end.
    let limiter = ConnectionLimiter::with_reserved(4, 30);
    let mut sessions: Vec<_> =
        (0..26).map(|_| limiter.try_acquire().filter(|place| place.start_session()).unwrap()).collect();
    limiter.reserve_for_health_checks(1024);
    assert!(limiter.try_acquire().is_none());
    let first = limiter.try_acquire_health_check();
    assert!(first.is_some() && limiter.try_acquire_health_check().is_none());
    sessions.truncate(23);
    let few: Vec<_> = std::iter::from_fn(|| limiter.try_acquire_health_check()).collect();
    assert_eq!(few.len(), 2);
}

/// Those that were answered rested with their descriptors, and who waited for one was never asked.
#[test]
fn a_probe_that_waits_goes_before_a_connection_that_rests() {
    let (listener, at) = server();
    let answers = thread::spawn(move || {
        // The first two are answered once both have come, so that the third has to wait.
        let mut both = [Peer::accept(&listener), Peer::accept(&listener)];
        both.iter_mut().for_each(|one| assert_eq!(one.hear(), "PING\r\n"));
        both.iter_mut().for_each(|one| one.say("PONG\r\n"));
        let mut third = Peer::accept(&listener);
        assert_eq!(third.hear(), "PING\r\n");
        third.say("PONG\r\n");
        both.into_iter().filter_map(|mut one| one.0.read(&mut [0]).ok()).filter(|&n| n == 0).count()
    });
    let config =
        config(&[at], nobody(), "proxy", 1024).replace(r#""send_cap""#, r#""probing":true,"send_cap""#);
    let config: Config = serde_json::from_str(&config.replace("250000000", "5000000000")).unwrap();
    let (queue, events) = queue();
    let limiter = ConnectionLimiter::with_reserved(4, 18);
    let probes = HealthChecker::new(&config.settings, queue, Rc::clone(&limiter));
    let listed = (0..3).map(|n| (n, Endpoint::default())).collect();
    probes.update_endpoints(&listed);
    let asks = future::zip(future::zip(probes.check(0, at), probes.check(1, at)), probes.check(2, at));
    let late = async {
        async_io::Timer::after(PATIENCE).await;
        panic!("a probe waits without end");
    };
    async_io::block_on(future::or(async { _ = asks.await }, late));
    let all = std::iter::from_fn(|| events.try_recv().ok());
    let accepted = |event: &DecisionEvent| {
        matches!(event, DecisionEvent::HealthChecked { outcome: AttemptOutcome::Succeeded, .. })
    };
    assert_eq!(all.filter(accepted).count(), 3);
    drop(probes);
    assert_eq!(answers.join().unwrap(), 2);
}

/// The program itself with so few descriptors, and somebody who counts those that it has open all the time.
struct Program {
    child: Child,
    address: SocketAddr,
    ends: Arc<AtomicBool>,
    counter: Option<JoinHandle<usize>>,
}

impl Program {
    /// The configuration tells it one number of descriptors, and the system allows it another.
    fn start(agent: SocketAddr, limit: usize, allowed: usize) -> Self {
        let path =
            std::env::temp_dir().join(format!("larklink-few-{}-{limit}-{allowed}.json", std::process::id()));
        // Servers are asked before their first session, and nobody takes them for crowded by a slow answer.
        let config = config(&[], agent, "proxy", limit)
            .replace(r#""send_cap""#, r#""probing":true,"send_cap""#)
            .replace(r#""domain":{"#, r#""domain":{"message_aim_ns":[20000000000],"#);
        std::fs::write(&path, config).unwrap();
        let program = Command::new("sh")
            .args(["-c", r#"ulimit -n "$1" && exec "$2" "$3""#, "sh", &allowed.to_string()])
            .args([env!("CARGO_BIN_EXE_larklink").as_ref(), path.as_os_str()])
            .stderr(Stdio::piped())
            .spawn();
        let mut child = program.unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
        let started = log.find_map(|l| l.split_once("listen=").map(|(_, at)| at.parse().unwrap()));
        std::fs::remove_file(&path).unwrap();
        thread::spawn(move || log.for_each(drop));
        let (folder, ends) = (format!("/proc/{}/fd", child.id()), Arc::new(AtomicBool::new(false)));
        let done = Arc::clone(&ends);
        let counter = thread::spawn(move || {
            let mut most = 0;
            while !done.load(Relaxed) {
                most = most.max(std::fs::read_dir(&folder).unwrap().count());
            }
            most
        });
        Self { child, address: started.unwrap(), ends, counter: Some(counter) }
    }

    /// The most that it has had open.
    fn most(&mut self) -> usize {
        self.ends.store(true, Relaxed);
        self.counter.take().unwrap().join().unwrap()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.ends.store(true, Relaxed);
        let _ = self.child.kill().and_then(|()| self.child.wait());
    }
}

/// Servers that all listen here: probes are answered and counted, sessions stand.
fn servers() -> (SocketAddr, Arc<AtomicUsize>) {
    let (listener, at) = server();
    socket2::SockRef::from(&listener).set_read_timeout(None).unwrap();
    let probes = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&probes);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let counted = Arc::clone(&counted);
            thread::spawn(move || {
                let mut from = BufReader::new(stream.try_clone().unwrap());
                let mut line = String::new();
                while from.read_line(&mut line).is_ok_and(|n| n > 0) {
                    let answer: &[u8] = match line.split(' ').next().unwrap_or("") {
                        "OPEN" => b"UP 1\r\n",
                        _ => b"PONG\r\n",
                    };
                    if std::io::Write::write_all(&mut &stream, answer).is_err() {
                        break;
                    }
                    counted.fetch_add(usize::from(answer == b"PONG\r\n"), Relaxed);
                    line.clear();
                }
            });
        }
    });
    (at, probes)
}

/// Clients that say nothing: so many at once, and another for each that is let go, up to a number.
fn crowd(at: SocketAddr, size: usize, all: usize) -> JoinHandle<VecDeque<TcpStream>> {
    let mut held: VecDeque<_> = (0..size).map(|_| TcpStream::connect(at).unwrap()).collect();
    assert_eq!(Peer::new(held.pop_front().unwrap()).hear(), "BUSY\r\n", "the limit is full");
    thread::spawn(move || {
        for _ in size..all {
            let mut oldest = held.pop_front().unwrap();
            let _ = oldest.read_to_end(&mut Vec::new());
            let Ok(next) = TcpStream::connect(at) else { break };
            held.push_back(next);
        }
        held
    })
}

/// Discovery is down when the proxy starts and a crowd comes; then it returns with one list after another. Each time the
/// list is heard, sessions stand at its servers, and the limit holds in every moment.
fn day(told_of: usize, allowed: usize, lists: &[usize]) {
    let limit = told_of.min(allowed);
    let (at, probes) = servers();
    let agent = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    agent.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let mut program = Program::start(agent.local_addr().unwrap().as_socket().unwrap(), told_of, allowed);
    let proxy = program.address;
    let crowd = crowd(proxy, limit + 50, limit + 1500);
    let _crowd = crowd.join().unwrap();
    agent.listen(8).unwrap();
    agent.set_read_timeout(Some(PATIENCE)).unwrap();
    let (returned, agent) = (Instant::now(), TcpListener::from(agent));
    let mut watch = Peer::accept(&agent);
    assert_eq!(asked(&mut watch), "/api/targets");
    assert!(returned.elapsed() < Duration::from_secs(6), "{:?}", returned.elapsed());
    let mut held = Vec::new();
    for (n, &servers) in lists.iter().enumerate() {
        let names = |n: usize| endpoint(&format!("s-{n}"), at, "up");
        let index = n as u64 + 1;
        told(&mut watch, &list(index, true, &(0..servers).map(names).collect::<Vec<_>>()));
        assert!(asked(&mut watch).contains(&format!("after={index}&")));
        let before = probes.load(Relaxed);
        for group in 0..servers.min(limit / 8) {
            let mut client = Peer::connect(proxy, &open(&format!("c=chat,t=acme,d=9000,g={group:x}{n:x}")));
            assert_eq!(client.hear(), "UP 1\r\n", "session {group} of list {servers}");
            held.push(client);
        }
        becomes(|| probes.load(Relaxed) >= before + servers.min(limit / 8) / 2);
    }
    drop(held);
    let most = program.most();
    assert!(most <= limit, "{most} of {limit} descriptors");
}

/// What was kept for probes was a part of the limit once for all, for a list of nobody: probes went over it.
#[test]
fn with_idle_clients_everywhere_a_discovery_that_returns_is_heard_and_the_limit_holds() {
    day(192, 1000, &[256]);
}

#[test]
fn a_list_that_grows_takes_its_part_from_idle_clients() {
    day(400, 1000, &[1, 16, 60, 1024]);
}

/// Clients took what the system allows, and discovery was not heard as long as idle ones came.
#[test]
fn where_the_system_allows_less_than_was_told_that_is_the_limit() {
    day(1000, 192, &[256]);
}
