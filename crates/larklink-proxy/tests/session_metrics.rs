//! Sessions are counted as their peers saw them.

mod stage;
use stage::peer::{Peer, open_line};
use stage::{establish, listen, metrics_become, start_with_servers};

/// One of each kind of end, against what the servers and clients of this test saw: for each listener accepted,
/// refused, failed; then tries, sessions in progress, servers.
#[test]
fn figures_are_what_peers_saw_whatever_the_end() {
    let (listener, at) = listen();
    let proxy = start_with_servers(&[at]);
    metrics_become(&proxy, [0, 0, 0, 0, 0, 0, 0, 0, 1]);
    let mut mute = Peer::connect(proxy.address, "PING\r\n");
    assert_eq!(mute.receive_line(), "PONG\r\n");
    let (client, mut server) = establish(proxy.address, &listener);
    metrics_become(&proxy, [1, 0, 0, 0, 0, 0, 1, 1, 1]);
    drop(client);
    server.expect_end();
    metrics_become(&proxy, [1, 0, 0, 0, 0, 0, 1, 0, 1]);
    // A server that resets a session that stands, and one that ends it.
    let (mut client, server) = establish(proxy.address, &listener);
    server.reset();
    client.expect_reset();
    let (mut client, mut server) = establish(proxy.address, &listener);
    server.send("BYE\r\n");
    assert_eq!(client.receive_line(), "BYE\r\n");
    client.expect_end();
    metrics_become(&proxy, [3, 0, 0, 0, 0, 0, 3, 0, 1]);
    // Turned away where it runs out of servers; failed where it may have run.
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
    // One that leaves before its answer is none of the three.
    let client = Peer::connect(proxy.address, &open_line("c=chat,d=2000"));
    let mut server = Peer::accept(&listener);
    server.receive_line();
    metrics_become(&proxy, [3, 1, 0, 0, 0, 1, 7, 1, 1]);
    drop(client);
    server.expect_end();
    metrics_become(&proxy, [3, 1, 0, 0, 0, 1, 7, 0, 1]);
    // At a stop it says no, and what it held is counted out as it is moved.
    let (mut client, _server) = establish(proxy.address, &listener);
    proxy.stop.close();
    assert_eq!(client.receive_line(), "MOVE\r\n");
    client.expect_end();
    metrics_become(&proxy, [4, 1, 0, 0, 0, 1, 8, 0, 1]);
    assert!(!proxy.metrics.is_ready());
}
