//! HTTP/3 server of which a test chooses the behaviour for each request.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::{Buf, Bytes};
use h3::error::Code;
use h3::server::{RequestResolver, RequestStream};
use h3_quinn::BidiStream;
use http::{Request, Response};
use monsoon_standin::certs::{self, hex};
use ring::digest;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use serde_json::json;
use tokio::task::JoinHandle;

/// Behaviour for one request.
#[derive(Clone, Copy, Debug)]
pub enum Behaviour {
    /// Correct response; a board has 5 ticks and its `end` line.
    Answer,
    /// Response with the key of another request.
    OtherKey,
    /// Board that ends after 2 ticks without its `end` line.
    MissingEnd,
    /// Board that leaves one tick out.
    MissingTick,
    /// Reset of the stream with this code.
    Reset(Code),
    /// Head of a response, then a reset with this code.
    LateReset(Code),
    /// Response with this status and `x-outcome`.
    Status(u16, &'static str),
    /// Head of a response, then a close of the connection with this code.
    Close(u32),
    /// No response.
    NoResponse,
    /// GOAWAY, then a board of 20 ticks.
    GoAway,
}

/// Chooses the behaviour by the path and the number of the attempt, counted for each key or path.
pub type Choose = fn(&str, u64) -> Behaviour;

/// Running server.
pub struct Server {
    pub address: SocketAddr,
    pub dir: PathBuf,
    /// Attempts by key or path.
    pub attempts: Arc<Mutex<BTreeMap<String, u64>>>,
    task: JoinHandle<()>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
        std::fs::remove_dir_all(&self.dir).unwrap();
    }
}

impl Server {
    pub fn ca(&self) -> PathBuf {
        self.dir.join("ca.pem")
    }

    pub fn start(choose: Choose) -> Self {
        static NUMBER: AtomicU64 = AtomicU64::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("monsoon-standin-{}-{number}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        certs::write(&dir).unwrap();
        let endpoint = quinn::Endpoint::server(server_config(&dir), ([127, 0, 0, 1], 0).into());
        let endpoint = endpoint.unwrap();
        let address = endpoint.local_addr().unwrap();
        let attempts = Arc::default();
        let shared_attempts = Arc::clone(&attempts);
        let task = tokio::spawn(async move {
            while let Some(incoming) = endpoint.accept().await {
                tokio::spawn(serve(incoming, choose, Arc::clone(&shared_attempts)));
            }
        });
        Self {
            address,
            dir,
            attempts,
            task,
        }
    }
}

fn server_config(dir: &Path) -> quinn::ServerConfig {
    let chain = vec![CertificateDer::from_pem_file(dir.join("server.pem")).unwrap()];
    let key = PrivateKeyDer::from_pem_file(dir.join("server.key")).unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .unwrap()
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .unwrap();
    tls.alpn_protocols = vec![b"h3".to_vec()];
    let crypto = quinn::crypto::rustls::QuicServerConfig::try_from(tls).unwrap();
    quinn::ServerConfig::with_crypto(Arc::new(crypto))
}

type Attempts = Arc<Mutex<BTreeMap<String, u64>>>;
type Stream = RequestStream<BidiStream<Bytes>, Bytes>;

async fn serve(incoming: quinn::Incoming, choose: Choose, attempts: Attempts) {
    let quic = incoming.await.unwrap();
    let mut h3 = h3::server::builder()
        .build(h3_quinn::Connection::new(quic.clone()))
        .await
        .unwrap();
    let (goaway, mut goaway_receiver) = tokio::sync::mpsc::channel::<()>(16);
    loop {
        tokio::select! {
            accepted = h3.accept() => match accepted {
                Ok(Some(request)) => {
                    let (quic, goaway, attempts) =
                        (quic.clone(), goaway.clone(), Arc::clone(&attempts));
                    tokio::spawn(respond(request, quic, goaway, choose, attempts));
                }
                _ => return,
            },
            Some(()) = goaway_receiver.recv() => h3.shutdown(0).await.unwrap(),
        }
    }
}

async fn respond(
    resolver: RequestResolver<h3_quinn::Connection, Bytes>,
    quic: quinn::Connection,
    goaway: tokio::sync::mpsc::Sender<()>,
    choose: Choose,
    attempts: Attempts,
) {
    let Ok((request, mut stream)) = resolver.resolve_request().await else {
        return;
    };
    let path = request.uri().path().to_owned();
    let name = key(&request).unwrap_or_else(|| path.clone());
    let attempt = {
        let mut attempts = attempts.lock().unwrap();
        let count = attempts.entry(name.clone()).or_default();
        *count += 1;
        *count
    };
    // The caller may end the stream first, so errors of the stream are ignored.
    let _result = match choose(&path, attempt) {
        Behaviour::Answer if path == "/board" => ticks(&mut stream, &[0, 1, 2, 3, 4], true).await,
        Behaviour::Answer => answer(&mut stream, &name).await,
        Behaviour::OtherKey => answer(&mut stream, "foreign").await,
        Behaviour::MissingEnd => ticks(&mut stream, &[0, 1], false).await,
        Behaviour::MissingTick => ticks(&mut stream, &[0, 2], true).await,
        Behaviour::Reset(code) => {
            stream.stop_sending(code);
            stream.stop_stream(code);
            Ok(())
        }
        Behaviour::LateReset(code) => {
            let sent = head(&mut stream, 200, "").await;
            tokio::time::sleep(Duration::from_millis(50)).await;
            stream.stop_stream(code);
            sent
        }
        Behaviour::Status(code, outcome) => status(&mut stream, code, outcome).await,
        Behaviour::Close(code) => {
            let sent = head(&mut stream, 200, "").await;
            tokio::time::sleep(Duration::from_millis(20)).await;
            quic.close(code.into(), b"");
            sent
        }
        Behaviour::NoResponse => std::future::pending().await,
        Behaviour::GoAway => {
            goaway.send(()).await.unwrap();
            ticks(&mut stream, &(0..20).collect::<Vec<_>>(), true).await
        }
    };
}

fn key(request: &Request<()>) -> Option<String> {
    let key = request.headers().get("idempotency-key")?;
    Some(key.to_str().unwrap().to_owned())
}

type StreamResult = Result<(), h3::error::StreamError>;

async fn head(stream: &mut Stream, code: u16, outcome: &str) -> StreamResult {
    let mut builder = Response::builder().status(code);
    if !outcome.is_empty() {
        builder = builder.header("x-outcome", outcome);
    }
    stream.send_response(builder.body(()).unwrap()).await
}

async fn status(stream: &mut Stream, code: u16, outcome: &str) -> StreamResult {
    head(stream, code, outcome).await?;
    stream.finish().await
}

async fn ticks(stream: &mut Stream, numbers: &[u64], end: bool) -> StreamResult {
    head(stream, 200, "").await?;
    for number in numbers {
        stream.send_data(format!("tick {number}\n").into()).await?;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    if end {
        stream
            .send_data(format!("end {}\n", numbers.len()).into())
            .await?;
    }
    stream.finish().await
}

async fn answer(stream: &mut Stream, key: &str) -> StreamResult {
    let mut context = digest::Context::new(&digest::SHA256);
    while let Some(mut data) = stream.recv_data().await? {
        context.update(&data.copy_to_bytes(data.remaining()));
    }
    let reply = json!({ "key": key, "sha256": hex(context.finish().as_ref()) });
    head(stream, 200, "").await?;
    stream.send_data(reply.to_string().into()).await?;
    stream.finish().await
}
