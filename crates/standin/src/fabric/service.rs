//! Settings and start of the fabric, and the state that its tasks share.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::net::UdpSocket;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;

use super::control;
use super::forward::{MAX_DELAYED, forward_datagrams};
use super::spray::{Rates, Spray};
use crate::error::Error;
use crate::web::Server;

/// Settings of the fabric.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Service address that callers send to; a loopback address.
    pub listen: SocketAddr,
    /// Port of the HTTP control on 127.0.0.1, 0 for a free one.
    pub control_port: u16,
    /// Initial balancers.
    pub balancers: Vec<SocketAddr>,
    /// Initial rates of faults.
    pub rates: Rates,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Settings {
    /// Settings for free ports and no faults.
    pub fn new(balancers: impl Into<Vec<SocketAddr>>) -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            control_port: 0,
            balancers: balancers.into(),
            rates: Rates::default(),
            seed: 1,
        }
    }
}

#[derive(Debug)]
pub(super) struct Shared {
    pub service_socket: Arc<UdpSocket>,
    pub delay_permits: Arc<Semaphore>,
    spray: Mutex<Spray>,
}

impl Shared {
    pub fn lock(&self) -> MutexGuard<'_, Spray> {
        self.spray.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a datagram. If the operating system refuses it, it is lost, as on a full link.
    pub async fn send(&self, socket: &UdpSocket, data: &[u8], to: SocketAddr) {
        if let Err(error) = socket.send_to(data, to).await {
            log::debug!("fabric: sending to {to} failed: {error}");
            self.lock().counts.dropped.send += 1;
        }
    }
}

/// Running fabric. Dropping it closes all its sockets.
#[derive(Debug)]
pub struct Fabric {
    address: SocketAddr,
    control: Server,
    task: JoinHandle<()>,
}

impl Fabric {
    /// Opens the service address and the HTTP control, and starts to forward.
    ///
    /// # Errors
    /// Returns an error when a setting is out of range or an address is taken.
    pub async fn start(settings: Settings) -> Result<Self, Error> {
        if !settings.listen.ip().is_loopback() {
            return Err(Error::argument("--listen must be a loopback address"));
        }
        if !settings.rates.is_valid() {
            return Err(Error::argument(
                "--loss, --duplicate and --reorder must be 0 to 1",
            ));
        }
        let socket = UdpSocket::bind(settings.listen)
            .await
            .map_err(Error::socket("open the service address"))?;
        let address = socket
            .local_addr()
            .map_err(Error::socket("read the service address"))?;
        let spray = Spray::new(settings.balancers, settings.rates, settings.seed);
        let shared = Arc::new(Shared {
            service_socket: Arc::new(socket),
            delay_permits: Arc::new(Semaphore::new(MAX_DELAYED)),
            spray: Mutex::new(spray),
        });
        let control = control::start(settings.control_port, Arc::clone(&shared)).await?;
        let task = tokio::spawn(forward_datagrams(shared));
        Ok(Self {
            address,
            control,
            task,
        })
    }

    /// Address that callers send to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Address of the HTTP control.
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }
}

impl Drop for Fabric {
    fn drop(&mut self) {
        self.task.abort();
    }
}
