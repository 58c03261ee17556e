//! Forwarding of datagrams between the service address and the sockets of the callers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::UdpSocket;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, interval, sleep};

use super::service::Shared;
use super::spray::Delivery;

/// Most callers; datagrams of further ones are dropped and counted.
pub const MAX_CALLERS: usize = 4096;
/// Time without datagrams from a caller after which its socket is closed. It exceeds the idle
/// timeouts of QUIC connections, because a new socket changes the address that the balancers see.
pub const IDLE_TIMEOUT: Duration = Duration::from_mins(2);
/// Delay of a reordered datagram.
pub const REORDER_DELAY: Duration = Duration::from_millis(5);
/// Most delayed datagrams at a time; further ones are sent at once.
pub const MAX_DELAYED: usize = 1024;

/// Largest UDP payload.
const MAX_DATAGRAM_BYTES: usize = 65_535;

#[derive(Debug)]
struct Caller {
    socket: Arc<UdpSocket>,
    last_received: Instant,
    replies: JoinHandle<()>,
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.replies.abort();
    }
}

/// Forwards the datagrams of all callers to the balancers; never returns.
pub(super) async fn forward_datagrams(shared: Arc<Shared>) {
    let mut callers: BTreeMap<SocketAddr, Caller> = BTreeMap::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut idle_check = interval(IDLE_TIMEOUT / 4);
    let mut delayed = JoinSet::new();
    loop {
        tokio::select! {
            received = shared.service_socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => {
                    if let Some(socket) = caller_socket(&shared, &mut callers, from).await {
                        forward(&shared, &mut delayed, &socket, &buffer[..length]).await;
                    }
                }
                Err(error) => log::debug!("fabric: receiving from callers failed: {error}"),
            },
            Some(_) = delayed.join_next() => {}
            now = idle_check.tick() => {
                callers.retain(|_, caller|
                    now.saturating_duration_since(caller.last_received) < IDLE_TIMEOUT);
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
        caller.last_received = Instant::now();
        return Some(Arc::clone(&caller.socket));
    }
    if callers.len() >= MAX_CALLERS {
        shared.lock().counts.dropped.callers += 1;
        return None;
    }
    let socket = match UdpSocket::bind(("127.0.0.1", 0)).await {
        Ok(socket) => Arc::new(socket),
        Err(error) => {
            log::warn!("fabric: dropped a datagram: no socket for caller {from}: {error}");
            shared.lock().counts.dropped.callers += 1;
            return None;
        }
    };
    let replies = tokio::spawn(forward_replies(
        Arc::clone(shared),
        Arc::clone(&socket),
        from,
    ));
    let caller = Caller {
        socket: Arc::clone(&socket),
        last_received: Instant::now(),
        replies,
    };
    callers.insert(from, caller);
    shared.lock().counts.callers = callers.len();
    Some(socket)
}

async fn forward(
    shared: &Arc<Shared>,
    delayed: &mut JoinSet<()>,
    socket: &Arc<UdpSocket>,
    data: &[u8],
) {
    let deliveries = shared.lock().deliveries();
    for delivery in deliveries {
        let balancer = shared.lock().choose_balancer();
        if let Some(balancer) = balancer {
            deliver(shared, delayed, socket, data, (balancer, delivery)).await;
        }
    }
}

/// Sends a datagram at once, or after [`REORDER_DELAY`] if it is to be delayed.
async fn deliver(
    shared: &Arc<Shared>,
    delayed: &mut JoinSet<()>,
    socket: &Arc<UdpSocket>,
    data: &[u8],
    (to, delivery): (SocketAddr, Delivery),
) {
    let permit = delivery
        .is_delayed
        .then(|| Arc::clone(&shared.delay_permits).try_acquire_owned().ok())
        .flatten();
    let Some(permit) = permit else {
        shared.send(socket, data, to).await;
        return;
    };
    let (shared, socket) = (Arc::clone(shared), Arc::clone(socket));
    let data = Bytes::copy_from_slice(data);
    delayed.spawn(async move {
        sleep(REORDER_DELAY).await;
        shared.send(&socket, &data, to).await;
        drop(permit);
    });
}

/// Forwards the replies of all balancers to one caller, from the service address.
async fn forward_replies(shared: Arc<Shared>, socket: Arc<UdpSocket>, caller: SocketAddr) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut delayed = JoinSet::new();
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, balancer)) => {
                    shared.lock().count_reply(balancer);
                    let deliveries = shared.lock().deliveries();
                    for delivery in deliveries {
                        let to = (caller, delivery);
                        deliver(
                            &shared,
                            &mut delayed,
                            &shared.service_socket,
                            &buffer[..length],
                            to,
                        )
                        .await;
                    }
                }
                Err(error) => log::debug!("fabric: receiving a reply failed: {error}"),
            },
            Some(_) = delayed.join_next() => {}
        }
    }
}
