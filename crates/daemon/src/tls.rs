//! TLS certificates.
//!
//! One certificate identifies the process to callers and to peers. Peers are verified against the
//! authority of the cluster.

use std::fmt;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use derive_more::{Display, Error};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use tonic::transport::{Certificate, ClientTlsConfig, Identity, ServerTlsConfig};

use crate::settings::TlsFiles;

/// Host name that every certificate of the cluster carries and that peers verify.
const PEER_NAME: &str = "peer";

/// A certificate or key that cannot be used.
#[derive(Debug, Display, Error)]
pub enum TlsError {
    /// The file cannot be read.
    #[display("cannot read {}: {source}; check the path in [tls] and its permissions", path.display())]
    Read {
        /// File named in the settings.
        path: PathBuf,
        /// Error of the file system.
        source: std::io::Error,
    },
    /// The file contains no usable PEM block.
    #[display("{} contains no {expected}; write it there as a PEM block", path.display())]
    Empty {
        /// File named in the settings.
        path: PathBuf,
        /// What the file must contain.
        expected: &'static str,
    },
    /// Certificate and key do not match or cannot be used.
    #[display("certificate and key in [tls] cannot be used together: {source}; issue a new pair")]
    Mismatch {
        /// Error of the TLS library.
        source: rustls::Error,
    },
}

/// Certificates and private key of the process. The debug output shows no key.
pub struct Tls {
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    identity: Identity,
    authority: Certificate,
}

impl fmt::Debug for Tls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Tls")
            .field("chain", &self.chain.len())
            .finish_non_exhaustive()
    }
}

impl TryFrom<&TlsFiles> for Tls {
    type Error = TlsError;

    fn try_from(files: &TlsFiles) -> Result<Self, TlsError> {
        let certificate = read(&files.certificate)?;
        let key_pem = read(&files.key)?;
        let authority = read(&files.authority)?;
        let chain: Vec<_> = CertificateDer::pem_slice_iter(&certificate)
            .flatten()
            .collect();
        if chain.is_empty() {
            return Err(missing_pem(&files.certificate, "certificate"));
        }
        if CertificateDer::pem_slice_iter(&authority)
            .flatten()
            .next()
            .is_none()
        {
            return Err(missing_pem(
                &files.authority,
                "certificate of the authority",
            ));
        }
        let key = PrivateKeyDer::from_pem_slice(&key_pem)
            .map_err(|_ignored| missing_pem(&files.key, "private key"))?;
        let tls = Self {
            chain,
            key,
            identity: Identity::from_pem(certificate, key_pem),
            authority: Certificate::from_pem(authority),
        };
        tls.caller_server()?;
        Ok(tls)
    }
}

impl Tls {
    /// TLS settings for callers: HTTP/3 only, no early data.
    ///
    /// # Errors
    /// Returns [`TlsError::Mismatch`] when key and certificate do not match.
    pub fn caller_server(&self) -> Result<rustls::ServerConfig, TlsError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut config = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .and_then(|builder| {
                builder
                    .with_no_client_auth()
                    .with_single_cert(self.chain.clone(), self.key.clone_key())
            })
            .map_err(|source| TlsError::Mismatch { source })?;
        config.alpn_protocols = vec![b"h3".to_vec()];
        // A replay of early data would run a request twice.
        config.max_early_data_size = 0;
        Ok(config)
    }

    /// TLS settings of the peer server. A peer needs a certificate of the authority.
    pub fn peer_server(&self) -> ServerTlsConfig {
        ServerTlsConfig::new()
            .identity(self.identity.clone())
            .client_ca_root(self.authority.clone())
    }

    /// TLS settings for calls to peers.
    pub fn peer_client(&self) -> ClientTlsConfig {
        ClientTlsConfig::new()
            .domain_name(PEER_NAME)
            .ca_certificate(self.authority.clone())
            .identity(self.identity.clone())
    }
}

fn read(path: &Path) -> Result<Vec<u8>, TlsError> {
    std::fs::read(path).map_err(|source| TlsError::Read {
        path: path.to_owned(),
        source,
    })
}

fn missing_pem(path: &Path, expected: &'static str) -> TlsError {
    TlsError::Empty {
        path: path.to_owned(),
        expected,
    }
}
