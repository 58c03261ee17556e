//! Stateless resets as a QUIC client sees them.

mod common;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use common::{Rng, keys};
use monsoon_wire::quic::{Packet, classify};
use monsoon_wire::{CID_LEN, Keyring, stateless_reset};
use quinn::{ClientConfig, ConnectionError, Endpoint, EndpointConfig, ServerConfig, TokioRuntime};
use rustls::pki_types::PrivatePkcs8KeyDer;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

const LOOPBACK: (Ipv4Addr, u16) = (Ipv4Addr::LOCALHOST, 0);

/// Issues IDs sealed under the keys, as an agent does.
struct Issuer(Arc<Keyring>, Rng);

impl quinn::ConnectionIdGenerator for Issuer {
    fn generate_cid(&mut self) -> quinn::ConnectionId {
        quinn::ConnectionId::new(&self.1.cid().seal(&self.0))
    }

    fn cid_len(&self) -> usize {
        CID_LEN
    }

    fn cid_lifetime(&self) -> Option<std::time::Duration> {
        None
    }
}

fn server(keys: &Arc<Keyring>) -> (Endpoint, ClientConfig) {
    let signed = rcgen::generate_simple_self_signed(["localhost".to_owned()]).expect("certificate");
    let key = PrivatePkcs8KeyDer::from(signed.signing_key.serialize_der());
    let chain = vec![signed.cert.der().clone()];
    let mut roots = rustls::RootCertStore::empty();
    roots.add(chain[0].clone()).expect("valid root");
    let client = ClientConfig::with_root_certificates(Arc::new(roots)).expect("client settings");
    let server = ServerConfig::with_single_cert(chain, key.into()).expect("server settings");
    let mut endpoint = EndpointConfig::new(Arc::new(keys.reset_key().clone()));
    let issuer = Arc::clone(keys);
    endpoint.cid_generator(move || Box::new(Issuer(Arc::clone(&issuer), Rng(9))));
    let socket = std::net::UdpSocket::bind(LOOPBACK).expect("socket");
    let runtime = Arc::new(TokioRuntime);
    let endpoint = Endpoint::new(endpoint, Some(server), socket, runtime);
    (endpoint.expect("endpoint"), client)
}

/// Forwards between a client and `server`, and answers short-header packets with resets once
/// `dead` is notified.
async fn relay(front: UdpSocket, server: SocketAddr, keys: Keyring, dead: Arc<Notify>) {
    let back = UdpSocket::bind(LOOPBACK).await.expect("socket");
    let (mut client, mut is_dead) = (server, false);
    let (mut up, mut down) = ([0; 2_000], [0; 2_000]);
    loop {
        tokio::select! {
            () = dead.notified() => is_dead = true,
            Ok((length, from)) = front.recv_from(&mut up) => {
                client = from;
                let look = classify(&up[..length]);
                if !is_dead {
                    back.send_to(&up[..length], server).await.expect("send");
                } else if let Packet::Short { dcid } = look
                    && let Some(reset) = stateless_reset(&keys, dcid, length, 7)
                {
                    front.send_to(&reset, client).await.expect("send");
                }
            }
            Ok((length, _)) = back.recv_from(&mut down), if !is_dead => {
                front.send_to(&down[..length], client).await.expect("send");
            }
        }
    }
}

/// Guards against resets that a QUIC client ignores, so that it waits for its idle timeout, also
/// when the balancer has a newer key than the agent.
#[tokio::test]
async fn clients_end_the_flow_on_a_reset() {
    for balancer in [keys(0, false), keys(1, true)] {
        let (server, client_config) = server(&Arc::new(keys(0, false)));
        let front = UdpSocket::bind(LOOPBACK).await.expect("socket");
        let address = front.local_addr().expect("address");
        let dead = Arc::new(Notify::new());
        let target = server.local_addr().expect("address");
        let relay = tokio::spawn(relay(front, target, balancer, Arc::clone(&dead)));
        let accepting = server.clone();
        let accepted = tokio::spawn(async move { accepting.accept().await?.await.ok() });
        let client = Endpoint::client(LOOPBACK.into()).expect("endpoint");
        let connecting = client.connect_with(client_config, address, "localhost");
        let flow = connecting.expect("settings").await.expect("handshake");
        let _held = accepted.await.expect("accepted");
        dead.notify_one();
        let mut stream = flow.open_uni().await.expect("stream");
        stream.write_all(&[0; 600]).await.expect("buffered");
        assert_eq!(flow.closed().await, ConnectionError::Reset);
        relay.abort();
    }
}
