//! Sockets of the fabric and the way of datagrams between them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::net::UdpSocket;
use tokio::sync::Semaphore;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, interval, sleep};

use super::control;
use super::spray::{Arrival, Rates, Spray};
use crate::error::Error;
use crate::web::Server;

/// Most callers; datagrams of further ones are dropped and counted.
pub const MAX_CALLERS: usize = 4096;
/// Time without datagrams after which a caller's socket is closed. It exceeds the idle timeouts of
/// QUIC connections, because a new socket changes the address that the balancers see.
pub const IDLE_TIME: Duration = Duration::from_mins(2);
/// Time that a reordered datagram is held back.
pub const REORDER_DELAY: Duration = Duration::from_millis(5);
/// Most datagrams held back; further ones are sent at once.
pub const MAX_HELD: usize = 1024;

/// Largest UDP payload.
const MAX_DATAGRAM: usize = 65_535;

/// Parameters of the fabric.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Service address that callers send to.
    pub listen: SocketAddr,
    /// Port of the HTTP control on 127.0.0.1.
    pub control: u16,
    /// Balancers at the start.
    pub balancers: Vec<SocketAddr>,
    /// Faults at the start.
    pub rates: Rates,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Settings {
    /// Fabric on free ports without faults.
    pub fn new(balancers: impl Into<Vec<SocketAddr>>) -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            control: 0,
            balancers: balancers.into(),
            rates: Rates::default(),
            seed: 1,
        }
    }
}

#[derive(Debug)]
struct Caller {
    socket: Arc<UdpSocket>,
    last: Instant,
    replies: JoinHandle<()>,
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.replies.abort();
    }
}

#[derive(Debug)]
pub(super) struct Shared {
    service: Arc<UdpSocket>,
    held: Arc<Semaphore>,
    spray: Mutex<Spray>,
}

impl Shared {
    pub fn lock(&self) -> MutexGuard<'_, Spray> {
        self.spray.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Datagrams that the operating system refuses are lost, as on a full link.
    async fn send(&self, socket: &UdpSocket, data: &[u8], to: SocketAddr) {
        if let Err(error) = socket.send_to(data, to).await {
            log::debug!("fabric: sending to {to} failed: {error}");
            self.lock().counts.dropped.send += 1;
        }
    }
}

/// Running fabric. Dropping it closes all its sockets.
#[derive(Debug)]
pub struct Fabric {
    service: SocketAddr,
    control: Server,
    task: JoinHandle<()>,
}

impl Fabric {
    /// Opens the service address and the control.
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
        let service = socket
            .local_addr()
            .map_err(Error::socket("read the service address"))?;
        let spray = Spray::new(settings.balancers, settings.rates, settings.seed);
        let shared = Arc::new(Shared {
            service: Arc::new(socket),
            held: Arc::new(Semaphore::new(MAX_HELD)),
            spray: Mutex::new(spray),
        });
        let control = control::start(settings.control, Arc::clone(&shared)).await?;
        let task = tokio::spawn(forward_all(shared));
        Ok(Self {
            service,
            control,
            task,
        })
    }

    /// Address that callers send to.
    pub fn service(&self) -> SocketAddr {
        self.service
    }

    /// Address of the HTTP control.
    pub fn control(&self) -> SocketAddr {
        self.control.address()
    }
}

impl Drop for Fabric {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn forward_all(shared: Arc<Shared>) {
    let mut callers: BTreeMap<SocketAddr, Caller> = BTreeMap::new();
    let mut buffer = vec![0; MAX_DATAGRAM];
    let mut sweep = interval(IDLE_TIME / 4);
    let mut late = JoinSet::new();
    loop {
        tokio::select! {
            received = shared.service.recv_from(&mut buffer) => match received {
                Ok((length, from)) => {
                    if let Some(socket) = caller_socket(&shared, &mut callers, from).await {
                        forward(&shared, &mut late, &socket, &buffer[..length]).await;
                    }
                }
                Err(error) => log::debug!("fabric: receiving failed: {error}"),
            },
            Some(_) = late.join_next() => {}
            now = sweep.tick() => {
                callers.retain(|_, caller| now.saturating_duration_since(caller.last) < IDLE_TIME);
                shared.lock().counts.callers = callers.len();
            }
        }
    }
}

async fn caller_socket(
    shared: &Arc<Shared>,
    callers: &mut BTreeMap<SocketAddr, Caller>,
    from: SocketAddr,
) -> Option<Arc<UdpSocket>> {
    if let Some(caller) = callers.get_mut(&from) {
        caller.last = Instant::now();
        return Some(Arc::clone(&caller.socket));
    }
    if callers.len() >= MAX_CALLERS {
        shared.lock().counts.dropped.callers += 1;
        return None;
    }
    let socket = match UdpSocket::bind(("127.0.0.1", 0)).await {
        Ok(socket) => Arc::new(socket),
        Err(error) => {
            log::warn!("fabric: no socket for caller {from}: {error}");
            shared.lock().counts.dropped.callers += 1;
            return None;
        }
    };
    let replies = tokio::spawn(return_all(Arc::clone(shared), Arc::clone(&socket), from));
    let caller = Caller {
        socket: Arc::clone(&socket),
        last: Instant::now(),
        replies,
    };
    callers.insert(from, caller);
    shared.lock().counts.callers = callers.len();
    Some(socket)
}

async fn forward(
    shared: &Arc<Shared>,
    late: &mut JoinSet<()>,
    socket: &Arc<UdpSocket>,
    data: &[u8],
) {
    let arrivals = shared.lock().arrivals();
    for arrival in arrivals {
        let chosen = shared.lock().choose();
        if let Some(balancer) = chosen {
            deliver(shared, late, socket, data, (balancer, arrival)).await;
        }
    }
}

/// Sends a datagram now, or after [`REORDER_DELAY`] when it is late.
async fn deliver(
    shared: &Arc<Shared>,
    late: &mut JoinSet<()>,
    socket: &Arc<UdpSocket>,
    data: &[u8],
    (to, arrival): (SocketAddr, Arrival),
) {
    let held = arrival
        .late
        .then(|| Arc::clone(&shared.held).try_acquire_owned().ok())
        .flatten();
    let Some(permit) = held else {
        shared.send(socket, data, to).await;
        return;
    };
    let (shared, socket) = (Arc::clone(shared), Arc::clone(socket));
    let data = Bytes::copy_from_slice(data);
    late.spawn(async move {
        sleep(REORDER_DELAY).await;
        shared.send(&socket, &data, to).await;
        drop(permit);
    });
}

/// Sends the replies of all balancers to one caller, from the service address.
async fn return_all(shared: Arc<Shared>, socket: Arc<UdpSocket>, caller: SocketAddr) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    let mut late = JoinSet::new();
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, balancer)) => {
                    shared.lock().count_reply(balancer);
                    let arrivals = shared.lock().arrivals();
                    for arrival in arrivals {
                        let to = (caller, arrival);
                        deliver(&shared, &mut late, &shared.service, &buffer[..length], to).await;
                    }
                }
                Err(error) => log::debug!("fabric: receiving a reply failed: {error}"),
            },
            Some(_) = late.join_next() => {}
        }
    }
}
