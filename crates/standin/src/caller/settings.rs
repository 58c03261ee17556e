//! Settings of a caller.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use crate::error::Error;

/// Set of request classes with their names and paths.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClassSet {
    /// Stock boards, reservation holds and photos.
    Karavanex,
    /// Catalogues, inspection checks and load-test sheets.
    Directorate,
}

impl FromStr for ClassSet {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        match text {
            "karavanex" => Ok(Self::Karavanex),
            "directorate" => Ok(Self::Directorate),
            _ => Err(Error::argument(
                "--class-set must be karavanex or directorate",
            )),
        }
    }
}

impl ClassSet {
    /// Class of long streams.
    pub fn stream(self) -> &'static str {
        match self {
            Self::Karavanex => "board",
            Self::Directorate => "catalogue",
        }
    }

    /// Class of requests that must not run twice.
    pub fn execution(self) -> &'static str {
        match self {
            Self::Karavanex => "hold",
            Self::Directorate => "check",
        }
    }

    pub(super) fn stream_path(self) -> &'static str {
        match self {
            Self::Karavanex => "/board",
            Self::Directorate => "/catalogue",
        }
    }

    pub(super) fn execution_path(self) -> &'static str {
        match self {
            Self::Karavanex => "/holds",
            Self::Directorate => "/checks",
        }
    }
}

/// Settings of a caller.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Service address; usually that of the fabric stand-in.
    pub service: SocketAddr,
    /// File with the certificate of the CA that signed the service's certificate.
    pub ca: PathBuf,
    /// Name of the service, for TLS and the authority of requests.
    pub server_name: String,
    /// Time after which the caller ends its flows.
    pub duration: Duration,
    /// Request classes that the caller uses.
    pub classes: ClassSet,
    /// Connections that flows and requests are spread over, at least 1.
    pub connections: usize,
    /// Boards or catalogues open at the same time.
    pub boards: usize,
    /// Rate of holds or checks, from 0 to 10,000.
    pub holds_per_second: f64,
    /// Uploads, spread evenly over the duration.
    pub uploads: usize,
    /// Size of each upload.
    pub upload_bytes: usize,
    /// Path below which uploads are stored; starts with `/`.
    pub upload_path: String,
    /// Whether a hold or check is sent once more, with the same key, after a broken attempt.
    pub resend: bool,
    /// Seed of keys and upload contents. Callers of one test need different seeds.
    pub seed: u64,
}

impl Settings {
    /// Settings of a caller that opens no flows and sends no requests.
    pub fn new(service: SocketAddr, ca: impl Into<PathBuf>) -> Self {
        Self {
            service,
            ca: ca.into(),
            server_name: "localhost".to_owned(),
            duration: Duration::from_secs(1),
            classes: ClassSet::Karavanex,
            connections: 1,
            boards: 0,
            holds_per_second: 0.0,
            uploads: 0,
            upload_bytes: 65_536,
            upload_path: "/photos".to_owned(),
            resend: false,
            seed: 1,
        }
    }

    pub(super) fn check(&self) -> Result<(), Error> {
        if self.connections == 0 {
            return Err(Error::argument("--connections must be at least 1"));
        }
        if !(0.0..=10_000.0).contains(&self.holds_per_second) {
            return Err(Error::argument("--holds-per-second must be 0 to 10000"));
        }
        if !self.upload_path.starts_with('/') {
            return Err(Error::argument("--upload-path must start with /"));
        }
        Ok(())
    }
}
