//! QUIC connections of a caller.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::future::poll_fn;
use h3::client::SendRequest;
use h3_quinn::OpenStreams;
use quinn::crypto::rustls::QuicClientConfig;
use rustls::RootCertStore;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::pem::PemObject;
use tokio::time::{Instant, sleep, timeout};

use super::report::Report;
use super::settings::Settings;
use crate::error::Error;

/// Time after which no further connection attempt starts. A request without a connection counts as
/// refused, because nothing was sent.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(9);

/// Time limit of one connection attempt. The next one has a new connection ID and can reach another
/// target.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay between two connection attempts.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time without packets after which a connection counts as lost.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// One connection. It is closed when its last user drops it.
pub(super) struct Connection {
    pub quic: quinn::Connection,
    pub sender: SendRequest<OpenStreams, Bytes>,
    is_retired: AtomicBool,
    reset_counted: AtomicBool,
}

impl Connection {
    /// Stops new requests on this connection; open streams continue.
    pub fn retire(&self) {
        self.is_retired.store(true, Ordering::Relaxed);
    }

    /// Marks the reset of this connection as counted. Returns true on the first call only.
    pub fn mark_reset_counted(&self) -> bool {
        !self.reset_counted.swap(true, Ordering::Relaxed)
    }

    fn is_usable(&self) -> bool {
        !self.is_retired.load(Ordering::Relaxed) && self.quic.close_reason().is_none()
    }
}

/// No connection could be opened within [`CONNECT_TIMEOUT`].
#[derive(Debug)]
pub(super) struct ConnectTimeout;

/// Connections of one caller, all from one UDP address, with its settings and its report.
pub(super) struct Pool {
    endpoint: quinn::Endpoint,
    pub settings: Settings,
    entries: Vec<tokio::sync::Mutex<Option<Arc<Connection>>>>,
    report: Mutex<Report>,
}

impl Pool {
    pub fn new(settings: Settings) -> Result<Self, Error> {
        let mut endpoint = quinn::Endpoint::client(([127, 0, 0, 1], 0).into())
            .map_err(Error::socket("open the caller's UDP socket"))?;
        endpoint.set_default_client_config(client_config(&settings.ca)?);
        let entries = (0..settings.connections).map(|_| tokio::sync::Mutex::default());
        Ok(Self {
            endpoint,
            entries: entries.collect(),
            report: Mutex::default(),
            settings,
        })
    }

    pub fn report(&self) -> MutexGuard<'_, Report> {
        self.report.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the connection at position `index`, replaced by a new one if it takes no requests.
    pub async fn get(&self, index: usize) -> Result<Arc<Connection>, ConnectTimeout> {
        let mut entry = self.entries[index % self.entries.len()].lock().await;
        if let Some(connection) = entry.as_ref().filter(|connection| connection.is_usable()) {
            return Ok(Arc::clone(connection));
        }
        let deadline = Instant::now() + CONNECT_TIMEOUT;
        loop {
            match timeout(HANDSHAKE_TIMEOUT, self.connect()).await {
                Ok(Ok(connection)) => {
                    let connection = Arc::new(connection);
                    *entry = Some(Arc::clone(&connection));
                    return Ok(connection);
                }
                Ok(Err(reason)) => log::debug!("caller: connecting failed: {reason}"),
                Err(_elapsed) => log::debug!("caller: no handshake within {HANDSHAKE_TIMEOUT:?}"),
            }
            self.report().connect_failures += 1;
            if Instant::now() >= deadline {
                return Err(ConnectTimeout);
            }
            sleep(CONNECT_RETRY_DELAY).await;
        }
    }

    async fn connect(&self) -> Result<Connection, String> {
        let quic = self
            .endpoint
            .connect(self.settings.service, &self.settings.server_name)
            .map_err(|fault| fault.to_string())?
            .await
            .map_err(|fault| fault.to_string())?;
        let (mut driver, sender) = h3::client::builder()
            .send_grease(false)
            .build(h3_quinn::Connection::new(quic.clone()))
            .await
            .map_err(|fault| fault.to_string())?;
        // The task ends when either side closes the connection.
        tokio::spawn(async move {
            let end = poll_fn(|cx| driver.poll_close(cx)).await;
            log::debug!("caller: connection ended: {end}");
        });
        self.report().connections += 1;
        Ok(Connection {
            quic,
            sender,
            is_retired: AtomicBool::new(false),
            reset_counted: AtomicBool::new(false),
        })
    }

    /// Closes all connections and waits up to 1 s until the peers know it.
    pub async fn close(&self) {
        let code = quinn::VarInt::from_u32(h3::error::Code::H3_NO_ERROR.value() as u32);
        self.endpoint.close(code, b"caller is done");
        if timeout(Duration::from_secs(1), self.endpoint.wait_idle())
            .await
            .is_err()
        {
            log::debug!("caller: some connections were still closing after 1 s");
        }
    }
}

fn client_config(ca: &Path) -> Result<quinn::ClientConfig, Error> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(Error::certificate("TLS 1.3 is not available"))?
        .with_root_certificates(roots(ca)?)
        .with_no_client_auth();
    tls.alpn_protocols = vec![b"h3".to_vec()];
    let crypto =
        QuicClientConfig::try_from(tls).map_err(Error::certificate("no QUIC cipher suite"))?;
    let mut config = quinn::ClientConfig::new(Arc::new(crypto));
    config.transport_config(Arc::new(transport()));
    Ok(config)
}

fn roots(ca: &Path) -> Result<RootCertStore, Error> {
    let unreadable = Error::certificate("the CA certificate cannot be read");
    let certificate = CertificateDer::from_pem_file(ca).map_err(unreadable)?;
    let mut roots = RootCertStore::empty();
    roots
        .add(certificate)
        .map_err(Error::certificate("the CA certificate cannot be used"))?;
    Ok(roots)
}

fn transport() -> quinn::TransportConfig {
    let mut transport = quinn::TransportConfig::default();
    let idle = quinn::IdleTimeout::try_from(IDLE_TIMEOUT).expect("the time fits");
    transport
        // The encapsulation between balancer and agent needs the rest of the MTU.
        .initial_mtu(1200)
        .mtu_discovery_config(None)
        .keep_alive_interval(Some(Duration::from_secs(1)))
        .max_idle_timeout(Some(idle));
    transport
}
