//! Way of datagrams between the service address and the callers' sockets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::UdpSocket;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, interval, sleep};

use super::service::Shared;
use super::spray::Arrival;

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

/// Forwards datagrams of all callers; never returns.
pub(super) async fn forward_all(shared: Arc<Shared>) {
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
