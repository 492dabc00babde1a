//! The session metrics match what the peers observed.

mod harness;
use harness::peer::{Peer, open_line};
use harness::{establish, listen, start_with_servers, wait_for_metrics};

/// Compares the metrics after each kind of session end with what the test's servers and clients observed. The values
/// are accepted, rejected and failed sessions for each listener, then attempts, sessions in progress, and servers.
#[test]
fn session_metrics_match_what_peers_observed() {
    let (listener, at) = listen();
    let proxy = start_with_servers(&[at]);
    wait_for_metrics(&proxy, [0, 0, 0, 0, 0, 0, 0, 0, 1]);
    let mut idle = Peer::connect(proxy.address, "PING\r\n");
    assert_eq!(idle.receive_line(), "PONG\r\n");
    let (client, mut server) = establish(proxy.address, &listener);
    wait_for_metrics(&proxy, [1, 0, 0, 0, 0, 0, 1, 1, 1]);
    drop(client);
    server.expect_end();
    wait_for_metrics(&proxy, [1, 0, 0, 0, 0, 0, 1, 0, 1]);
    // A server that resets an established session, and one that completes it.
    let (mut client, server) = establish(proxy.address, &listener);
    server.reset();
    client.expect_reset();
    let (mut client, mut server) = establish(proxy.address, &listener);
    server.send("BYE\r\n");
    assert_eq!(client.receive_line(), "BYE\r\n");
    client.expect_end();
    wait_for_metrics(&proxy, [3, 0, 0, 0, 0, 0, 3, 0, 1]);
    // Rejected when no server is left to try; failed when it may have run.
    let mut client = Peer::connect(proxy.address, &open_line("c=chat,d=2000"));
    for _ in 0..2 {
        let mut server = Peer::accept(&listener);
        server.receive_line();
        server.send("BUSY\r\n");
        server.expect_end();
    }
    assert!(client.receive_line().starts_with("BUSY"));
    let mut client = Peer::connect(proxy.address, &open_line("c=pay,d=2000"));
    let mut server = Peer::accept(&listener);
    server.receive_line();
    drop(server);
    assert_eq!(client.receive_line(), "ERR\r\n");
    wait_for_metrics(&proxy, [3, 1, 0, 0, 0, 1, 6, 0, 1]);
    // A session whose client disconnects before its answer counts as none of the three.
    let client = Peer::connect(proxy.address, &open_line("c=chat,d=2000"));
    let mut server = Peer::accept(&listener);
    server.receive_line();
    wait_for_metrics(&proxy, [3, 1, 0, 0, 0, 1, 7, 1, 1]);
    drop(client);
    server.expect_end();
    wait_for_metrics(&proxy, [3, 1, 0, 0, 0, 1, 7, 0, 1]);
    // At a shutdown the proxy is not ready, and its migrated sessions are no longer in progress.
    let (mut client, _server) = establish(proxy.address, &listener);
    proxy.stop.close();
    assert_eq!(client.receive_line(), "MOVE\r\n");
    client.expect_end();
    wait_for_metrics(&proxy, [4, 1, 0, 0, 0, 1, 8, 0, 1]);
    assert!(!proxy.metrics.is_ready());
}
