//! Sessions are counted as their peers saw them.

mod stage;
use stage::peer::{Peer, open};
use stage::{figures_become, quiet, server, standing};

/// One of each kind of end, against what the servers and clients of this test saw: for each listener accepted,
/// refused, failed; then tries, sessions in progress, servers.
#[test]
fn figures_are_what_peers_saw_whatever_the_end() {
    let (listener, at) = server();
    let proxy = quiet(&[at]);
    figures_become(&proxy, [0, 0, 0, 0, 0, 0, 0, 0, 1]);
    let mut mute = Peer::connect(proxy.address, "PING\r\n");
    assert_eq!(mute.hear(), "PONG\r\n");
    let (client, mut server) = standing(proxy.address, &listener);
    figures_become(&proxy, [1, 0, 0, 0, 0, 0, 1, 1, 1]);
    drop(client);
    server.ends();
    figures_become(&proxy, [1, 0, 0, 0, 0, 0, 1, 0, 1]);
    // A server that resets a session that stands, and one that ends it.
    let (mut client, server) = standing(proxy.address, &listener);
    server.reset();
    client.breaks();
    let (mut client, mut server) = standing(proxy.address, &listener);
    server.say("BYE\r\n");
    assert_eq!(client.hear(), "BYE\r\n");
    client.ends();
    figures_become(&proxy, [3, 0, 0, 0, 0, 0, 3, 0, 1]);
    // Turned away where it runs out of servers; failed where it may have run.
    let mut client = Peer::connect(proxy.address, &open("c=chat,d=2000"));
    for _ in 0..2 {
        let mut server = Peer::accept(&listener);
        server.hear();
        server.say("BUSY\r\n");
        server.ends();
    }
    assert!(client.hear().starts_with("BUSY"));
    let mut client = Peer::connect(proxy.address, &open("c=pay,d=2000"));
    let mut server = Peer::accept(&listener);
    server.hear();
    drop(server);
    assert_eq!(client.hear(), "ERR\r\n");
    figures_become(&proxy, [3, 1, 0, 0, 0, 1, 6, 0, 1]);
    // One that leaves before its answer is none of the three.
    let client = Peer::connect(proxy.address, &open("c=chat,d=2000"));
    let mut server = Peer::accept(&listener);
    server.hear();
    figures_become(&proxy, [3, 1, 0, 0, 0, 1, 7, 1, 1]);
    drop(client);
    server.ends();
    figures_become(&proxy, [3, 1, 0, 0, 0, 1, 7, 0, 1]);
    // At a stop it says no, and what it held is counted out as it is moved.
    let (mut client, _server) = standing(proxy.address, &listener);
    proxy.stop.close();
    assert_eq!(client.hear(), "MOVE\r\n");
    client.ends();
    figures_become(&proxy, [4, 1, 0, 0, 0, 1, 8, 0, 1]);
    assert!(!proxy.figures.is_ready());
}
