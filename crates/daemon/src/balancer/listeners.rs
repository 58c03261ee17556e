//! Sockets on the service addresses of the document.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use monsoon_model::ServiceId;
use tokio::net::UdpSocket;
use tokio::task::AbortHandle;

use super::forwarder::{CallerDatagram, Forwarder};
use crate::configuration::Configuration;
use crate::sockets::{MAX_DATAGRAM, bind_udp};

/// Open service sockets by service address.
pub type ServiceSockets = Arc<Mutex<BTreeMap<SocketAddr, Arc<UdpSocket>>>>;

/// Sockets of the service addresses and the tasks that receive from them.
#[derive(Debug)]
pub struct Listeners {
    binds: BTreeMap<SocketAddr, SocketAddr>,
    forwarder: Forwarder,
    sockets: ServiceSockets,
    tasks: BTreeMap<SocketAddr, (ServiceId, AbortHandle)>,
}

impl Listeners {
    /// No socket yet. `binds` gives local addresses to bind instead of service addresses.
    pub fn new(binds: BTreeMap<SocketAddr, SocketAddr>, forwarder: Forwarder) -> Self {
        Self {
            binds,
            forwarder,
            sockets: ServiceSockets::default(),
            tasks: BTreeMap::new(),
        }
    }

    /// Open sockets, through which replies are sent.
    pub fn sockets(&self) -> ServiceSockets {
        Arc::clone(&self.sockets)
    }

    /// Opens sockets for the new service addresses of the document and closes those of removed ones.
    pub async fn apply_configuration(&mut self, configuration: &Configuration) {
        let wanted: BTreeMap<SocketAddr, ServiceId> = configuration
            .with_document(|document| {
                let services = document.services.values();
                services
                    .flat_map(|service| service.addresses.iter().map(|at| (*at, service.number)))
                    .collect()
            })
            .unwrap_or_default();
        self.close_unwanted(&wanted);
        for (address, service) in wanted {
            if !self.tasks.contains_key(&address) {
                self.open(address, service).await;
            }
        }
    }

    fn close_unwanted(&mut self, wanted: &BTreeMap<SocketAddr, ServiceId>) {
        let sockets = Arc::clone(&self.sockets);
        self.tasks.retain(|address, (service, task)| {
            let is_wanted = wanted.get(address) == Some(service);
            if !is_wanted {
                task.abort();
                sockets
                    .lock()
                    .expect("no panic while the lock is held")
                    .remove(address);
                log::info!("balancer: {address} is no longer served");
            }
            is_wanted
        });
    }

    async fn open(&mut self, address: SocketAddr, service: ServiceId) {
        let bind = self.binds.get(&address).copied().unwrap_or(address);
        let socket = match bind_udp("service", bind).await {
            Ok(socket) => Arc::new(socket),
            // The next change of the document is a retry; other addresses are not affected.
            Err(error) => return log::error!("balancer: {address} is not served: {error}"),
        };
        let local = socket.local_addr().unwrap_or(bind);
        log::info!("balancer: {address} is served at {local}");
        let mut sockets = self
            .sockets
            .lock()
            .expect("no panic while the lock is held");
        sockets.insert(address, Arc::clone(&socket));
        let task = tokio::spawn(receive(self.forwarder.clone(), socket, address, service));
        self.tasks.insert(address, (service, task.abort_handle()));
    }
}

async fn receive(
    forwarder: Forwarder,
    socket: Arc<UdpSocket>,
    address: SocketAddr,
    service: ServiceId,
) {
    let mut buffer = [0; MAX_DATAGRAM];
    loop {
        // An ICMP error for an earlier datagram to a caller whose port is closed.
        let Ok((len, caller)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let datagram = CallerDatagram {
            service,
            address,
            caller,
            payload: &buffer[..len],
        };
        if let Some(reset) = forwarder.forward(datagram)
            && socket.try_send_to(&reset, caller).is_err()
        {
            forwarder.counters.count("datagram_not_sent");
        }
    }
}
