//! The session metrics match what clients and endpoints observe.

mod stage;
use stage::peer::{Peer, open_line};
use stage::{establish, listen, metrics_become, start_with_servers};

/// Sessions with each kind of end, and the metrics after each. The values are, for both listeners, the accepted,
/// rejected and failed sessions; then attempts, sessions in progress, and listed endpoints.
#[test]
fn the_metrics_match_each_kind_of_session_end() {
    let (listener, at) = listen();
    let proxy = start_with_servers(&[at]);
    metrics_become(&proxy, [0, 0, 0, 0, 0, 0, 0, 0, 1]);
    let mut health_check = Peer::connect(proxy.address, "PING\r\n");
    assert_eq!(health_check.receive_line(), "PONG\r\n");
    let (client, mut server) = establish(proxy.address, &listener);
    metrics_become(&proxy, [1, 0, 0, 0, 0, 0, 1, 1, 1]);
    drop(client);
    server.expect_end();
    metrics_become(&proxy, [1, 0, 0, 0, 0, 0, 1, 0, 1]);
    // The endpoint resets an established session; the endpoint ends one.
    let (mut client, server) = establish(proxy.address, &listener);
    server.reset();
    client.expect_reset();
    let (mut client, mut server) = establish(proxy.address, &listener);
    server.send("BYE\r\n");
    assert_eq!(client.receive_line(), "BYE\r\n");
    client.expect_end();
    metrics_become(&proxy, [3, 0, 0, 0, 0, 0, 3, 0, 1]);
    // A session is rejected when no endpoint is left, and failed when it may have run.
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
    metrics_become(&proxy, [3, 1, 0, 0, 0, 1, 6, 0, 1]);
    // A session whose client disconnects before the answer is counted as none of the three.
    let client = Peer::connect(proxy.address, &open_line("c=chat,d=2000"));
    let mut server = Peer::accept(&listener);
    server.receive_line();
    metrics_become(&proxy, [3, 1, 0, 0, 0, 1, 7, 1, 1]);
    drop(client);
    server.expect_end();
    metrics_become(&proxy, [3, 1, 0, 0, 0, 1, 7, 0, 1]);
    // At shutdown the process is no longer ready, and migrated sessions are no longer in progress.
    let (mut client, _server) = establish(proxy.address, &listener);
    proxy.stop.close();
    assert_eq!(client.receive_line(), "MOVE\r\n");
    client.expect_end();
    metrics_become(&proxy, [4, 1, 0, 0, 0, 1, 8, 0, 1]);
    assert!(!proxy.metrics.is_ready());
}
