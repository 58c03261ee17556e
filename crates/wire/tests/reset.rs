//! Tests of stateless resets with a QUIC client.

mod common;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use common::{Rng, keyring};
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

/// Forwards between a client and `server`, as a balancer does. Once `stopped` is notified, it
/// answers short-header packets with resets instead.
async fn relay(client_socket: UdpSocket, server: SocketAddr, keys: Keyring, stopped: Arc<Notify>) {
    let server_socket = UdpSocket::bind(LOOPBACK).await.expect("socket");
    let (mut client, mut is_stopped) = (server, false);
    let (mut from_client, mut from_server) = ([0; 2_000], [0; 2_000]);
    loop {
        tokio::select! {
            () = stopped.notified() => is_stopped = true,
            Ok((length, from)) = client_socket.recv_from(&mut from_client) => {
                client = from;
                let packet = classify(&from_client[..length]);
                if !is_stopped {
                    server_socket.send_to(&from_client[..length], server).await.expect("send");
                } else if let Packet::Short { dcid } = packet
                    && let Some(reset) = stateless_reset(&keys, dcid, length, 7)
                {
                    client_socket.send_to(&reset, client).await.expect("send");
                }
            }
            Ok((length, _)) = server_socket.recv_from(&mut from_server), if !is_stopped => {
                client_socket.send_to(&from_server[..length], client).await.expect("send");
            }
        }
    }
}

/// Guards against resets that a QUIC client ignores, so that it waits for its idle timeout. The
/// balancer has the agent's key phase or a newer one.
#[tokio::test]
async fn clients_end_the_flow_on_a_reset() {
    for balancer in [keyring(0, false), keyring(1, true)] {
        let (server, client_config) = server(&Arc::new(keyring(0, false)));
        let client_socket = UdpSocket::bind(LOOPBACK).await.expect("socket");
        let address = client_socket.local_addr().expect("address");
        let stopped = Arc::new(Notify::new());
        let target = server.local_addr().expect("address");
        let relay = tokio::spawn(relay(client_socket, target, balancer, Arc::clone(&stopped)));
        let accepting = server.clone();
        let accepted = tokio::spawn(async move { accepting.accept().await?.await.ok() });
        let client = Endpoint::client(LOOPBACK.into()).expect("endpoint");
        let connecting = client.connect_with(client_config, address, "localhost");
        let flow = connecting.expect("settings").await.expect("handshake");
        let _connection = accepted.await.expect("accepted");
        stopped.notify_one();
        let mut stream = flow.open_uni().await.expect("stream");
        stream.write_all(&[0; 600]).await.expect("buffered");
        assert_eq!(flow.closed().await, ConnectionError::Reset);
        relay.abort();
    }
}
