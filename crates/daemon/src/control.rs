//! Control socket: runs the membership state machine of this process.
//!
//! One loop receives from the socket and waits for the timer. The membership node is behind a lock,
//! because routing and request handling read its tables; only the loop changes it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use monsoon_membership::{Action, Event, Member, Message};
use monsoon_model::Instant;
use monsoon_wire::{Keyring, control};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::clock::Clock;
use crate::configuration::Configuration;
use crate::counters::Counters;
use crate::peer::Peers;
use crate::sockets::MAX_DATAGRAM;

/// Control socket and what its loop needs.
#[derive(Clone, Debug)]
pub struct Control {
    /// UDP socket for control datagrams.
    pub socket: Arc<UdpSocket>,
    /// Keys that the processes of the cluster share.
    pub keys: Arc<Keyring>,
    pub clock: Clock,
    pub configuration: Configuration,
    /// Calls to other processes, for fetching configuration.
    pub peers: Peers,
    pub counters: Arc<Counters>,
}

/// Change of the membership that concerns the rest of the process.
#[derive(Debug)]
pub enum MembershipChange {
    /// The set or the weights of live members changed.
    Members,
    /// A member was declared dead.
    Died(Member),
}

/// Methods of a membership node, which differ by role.
pub struct NodeMethods<N> {
    /// Handles an event.
    pub handle: fn(&mut N, Instant, Event) -> Vec<Action>,
    /// Time of the next tick.
    pub next_tick: fn(&N) -> Instant,
}

impl Control {
    /// Runs `node` until it has left or `events` is closed. `on_change` is called without the node's
    /// lock.
    pub async fn run<N>(
        self,
        node: Arc<Mutex<N>>,
        methods: NodeMethods<N>,
        mut events: mpsc::Receiver<Event>,
        mut on_change: impl FnMut(MembershipChange),
    ) {
        let fetching = Arc::new(AtomicBool::new(false));
        let mut buffer = [0; MAX_DATAGRAM];
        loop {
            let next = (methods.next_tick)(&node.lock().expect("no panic while the lock is held"));
            let event = tokio::select! {
                () = tokio::time::sleep_until(self.clock.tokio_instant(next)) => Event::Tick,
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((len, from)) => match self.open(&buffer[..len], from) {
                        Some(event) => event,
                        None => continue,
                    },
                    // An ICMP error for an earlier datagram to a closed port.
                    Err(_) => continue,
                },
                event = events.recv() => match event {
                    Some(event) => event,
                    None => return,
                },
            };
            let is_leaving = matches!(event, Event::Leave);
            let now = self.clock.now();
            let actions = {
                let mut node = node.lock().expect("no panic while the lock is held");
                (methods.handle)(&mut node, now, event)
            };
            for action in actions {
                self.apply(action, &fetching, &mut on_change).await;
            }
            if is_leaving {
                return;
            }
        }
    }

    fn open(&self, datagram: &[u8], from: SocketAddr) -> Option<Event> {
        let Ok(message) = control::open::<Message>(&self.keys, datagram) else {
            self.counters.count("control_unverified");
            return None;
        };
        Some(Event::Message { from, message })
    }

    async fn apply(
        &self,
        action: Action,
        fetching: &Arc<AtomicBool>,
        on_change: &mut impl FnMut(MembershipChange),
    ) {
        match action {
            Action::Send { to, message } => match control::seal(&self.keys, &message) {
                Ok(datagram) => {
                    if self.socket.send_to(&datagram, to).await.is_err() {
                        self.counters.count("control_not_sent");
                    }
                }
                Err(error) => log::error!(
                    "membership: message to {to} cannot be sealed and is not sent: {error}"
                ),
            },
            Action::MembersChanged => on_change(MembershipChange::Members),
            Action::MemberDied(member) => {
                log::warn!("membership: {} at {} is dead", member.id, member.control);
                on_change(MembershipChange::Died(member));
            }
            Action::FetchConfiguration { peer, versions } => self.fetch(peer, versions, fetching),
        }
    }

    /// Fetches a newer configuration. A call in progress suppresses further ones; later messages
    /// announce the versions again.
    fn fetch(
        &self,
        peer: SocketAddr,
        versions: monsoon_model::Versions,
        fetching: &Arc<AtomicBool>,
    ) {
        if !versions.is_ahead_of(self.configuration.versions())
            || fetching.swap(true, Ordering::Relaxed)
        {
            return;
        }
        let (configuration, peers) = (self.configuration.clone(), self.peers.clone());
        let guard = FetchGuard(Arc::clone(fetching));
        tokio::spawn(async move {
            configuration.fetch(&peers, peer).await;
            drop(guard);
        });
    }
}

/// Marks the end of a fetch when it is dropped, also when the fetch panics.
struct FetchGuard(Arc<AtomicBool>);

impl Drop for FetchGuard {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Relaxed);
    }
}
