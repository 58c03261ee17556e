//! Spraying and faults of the simulated fabric.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use common::{get_json, post, wait_for};
use monsoon_standin::fabric::{Fabric, Rates, Settings};
use serde_json::{Value, json};
use tokio::net::UdpSocket;
use tokio::time::timeout;

async fn socket() -> (UdpSocket, SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap();
    (socket, address)
}

async fn receive(socket: &UdpSocket) -> (Vec<u8>, SocketAddr) {
    let mut buffer = [0; 64];
    let receiving = socket.recv_from(&mut buffer);
    let (length, from) = timeout(Duration::from_secs(20), receiving)
        .await
        .unwrap()
        .unwrap();
    (buffer[..length].to_vec(), from)
}

/// Sends `count` datagrams and returns how many reached each of two balancers and how many were
/// lost.
async fn send_and_count(rates: Rates, count: u64) -> Value {
    let ((_a, first), (_b, second)) = (socket().await, socket().await);
    let settings = Settings {
        rates,
        seed: 7,
        ..Settings::new([first, second])
    };
    let fabric = Fabric::start(settings).await.unwrap();
    let (caller, _) = socket().await;
    for _ in 0..count {
        caller.send_to(b"x", fabric.address()).await.unwrap();
    }
    let handled_counts = |counts: &Value| {
        let sent = |balancer: SocketAddr| {
            counts["balancers"][balancer.to_string()]["sent"]
                .as_u64()
                .unwrap_or(0)
        };
        let lost = counts["dropped"]["loss"].as_u64().unwrap();
        [sent(first), sent(second), lost]
    };
    let all_handled = |counts: &Value| handled_counts(counts).iter().sum::<u64>() == count;
    let counts = wait_for(fabric.control_address(), "/counts", all_handled).await;
    let [first, second, lost] = handled_counts(&counts);
    json!({ "first": first, "second": second, "lost": lost })
}

/// Guards against a caller that reaches one balancer only, balancers that see different addresses
/// of one caller, and replies that do not come from the service address.
#[tokio::test]
async fn balancers_see_one_address_and_any_can_reply() {
    let ((a, first), (b, second)) = (socket().await, socket().await);
    let fabric = Fabric::start(Settings::new([first, second])).await.unwrap();
    let (caller, _) = socket().await;
    let (other, _) = socket().await;
    for _ in 0..40 {
        caller.send_to(b"one", fabric.address()).await.unwrap();
    }
    other.send_to(b"two", fabric.address()).await.unwrap();
    let (mut addresses, mut received) = (BTreeMap::new(), [0, 0]);
    for _ in 0..41 {
        let (index, (data, from)) = tokio::select! {
            received = receive(&a) => (0, received),
            received = receive(&b) => (1, received),
        };
        received[index] += 1;
        assert_eq!(
            *addresses.entry(data).or_insert(from),
            from,
            "one address per caller"
        );
    }
    assert!(
        received.iter().all(|count| *count > 5),
        "both balancers: {received:?}"
    );
    let (one, two) = (addresses[b"one".as_slice()], addresses[b"two".as_slice()]);
    assert_ne!(one, two);

    for balancer in [&a, &b] {
        balancer.send_to(b"reply", one).await.unwrap();
        assert_eq!(
            receive(&caller).await,
            (b"reply".to_vec(), fabric.address())
        );
    }
    let counts = get_json(fabric.control_address(), "/counts").await;
    assert_eq!(counts["balancers"][first.to_string()]["replies"], 1);
    assert_eq!(counts["callers"], 2);
}

/// Guards against random choices that differ between runs with one seed, and against a loss rate
/// without effect.
#[tokio::test]
async fn same_seed_gives_same_counts() {
    let plain = send_and_count(Rates::default(), 100).await;
    let lossy = send_and_count(
        Rates {
            loss: 0.2,
            ..Rates::default()
        },
        100,
    )
    .await;
    insta::assert_snapshot!(format!("plain {plain}\nlossy {lossy}"));
}

/// Guards against duplicates that are not sent and delayed datagrams that are lost.
#[tokio::test]
async fn duplicated_and_delayed_datagrams_arrive() {
    let (balancer, address) = socket().await;
    let rates = Rates {
        duplicate: 1.0,
        reorder: 1.0,
        ..Rates::default()
    };
    let settings = Settings {
        rates,
        ..Settings::new([address])
    };
    let fabric = Fabric::start(settings).await.unwrap();
    let (caller, _) = socket().await;
    caller.send_to(b"first", fabric.address()).await.unwrap();
    wait_for(fabric.control_address(), "/counts", |counts| {
        counts["callers"] == 1
    })
    .await;
    wait_for(fabric.control_address(), "/counts", |counts| {
        counts["balancers"][address.to_string()]["sent"] == 2
    })
    .await;
    let copies = (receive(&balancer).await, receive(&balancer).await);
    assert_eq!(copies.0, copies.1);
    assert_eq!(copies.0.0, b"first");
}

/// Guards against a balancer that still gets datagrams after it was removed from the list.
#[tokio::test]
async fn removed_balancer_gets_no_datagrams() {
    let ((_a, first), (b, second)) = (socket().await, socket().await);
    let fabric = Fabric::start(Settings::new([first])).await.unwrap();
    post(
        fabric.control_address(),
        "/balancers",
        &format!(r#"["{second}"]"#),
    )
    .await;
    let (caller, _) = socket().await;
    for _ in 0..20 {
        caller.send_to(b"x", fabric.address()).await.unwrap();
        receive(&b).await;
    }
    let counts = get_json(fabric.control_address(), "/counts").await;
    assert_eq!(counts["balancers"][first.to_string()], Value::Null);
}
