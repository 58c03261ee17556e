//! Sends packets of an established flow to one balancer. The connection ID names a socket of the
//! test as the flow's agent, so the test sees whether the balancer still forwards them.

use std::io::ErrorKind;
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use monsoon_model::{DataCentreId, ServiceId};
use monsoon_wire::{ConnectionId, Keyring, RawKeys};

/// Time between two packets.
const PACKET_INTERVAL: Duration = Duration::from_millis(10);

/// Size of a packet in bytes; shorter ones may get no stateless reset.
const PACKET_SIZE: usize = 64;

/// First byte of a QUIC packet with a short header.
const SHORT_HEADER: u8 = 0x40;

/// Running probe; dropping it stops it.
#[derive(Debug)]
pub struct Probe {
    last_arrival: Arc<Mutex<Option<Instant>>>,
    is_stopped: Arc<AtomicBool>,
    sender: Option<JoinHandle<()>>,
}

impl Probe {
    /// Sends packets of a flow whose agent is in `data_centre` to the service socket `balancer`.
    pub fn start(keys: &Path, balancer: SocketAddr, data_centre: u8) -> Self {
        let agent = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
        let timeout = agent.set_read_timeout(Some(PACKET_INTERVAL));
        timeout.expect("the timeout is valid");
        let caller = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
        let packet = seal_packet(keys, &agent, data_centre);
        let last_arrival: Arc<Mutex<Option<Instant>>> = Arc::default();
        let is_stopped = Arc::new(AtomicBool::new(false));
        let (seen, stop) = (Arc::clone(&last_arrival), Arc::clone(&is_stopped));
        let sender = thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                // Sending fails when the balancer has ended; such a packet counts as lost.
                let _refused = caller.send_to(&packet, balancer);
                if receive_all(&agent) {
                    *seen.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
                    thread::sleep(PACKET_INTERVAL);
                }
            }
        });
        let sender = Some(sender);
        Self {
            last_arrival,
            is_stopped,
            sender,
        }
    }

    /// Time at which the last packet arrived at the agent's socket.
    pub fn last_arrival(&self) -> Option<Instant> {
        *self
            .last_arrival
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Probe {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        if let Some(sender) = self.sender.take() {
            // The thread has printed its panic.
            let _panicked = sender.join();
        }
    }
}

/// Receives all waiting packets, so that a burst does not look like packets over a long time. False
/// if none arrived within the socket's timeout.
fn receive_all(agent: &UdpSocket) -> bool {
    let mut has_received = false;
    while receive_one(agent) {
        if !has_received {
            has_received = true;
            agent.set_nonblocking(true).expect("the socket is open");
        }
    }
    agent.set_nonblocking(false).expect("the socket is open");
    has_received
}

fn receive_one(agent: &UdpSocket) -> bool {
    match agent.recv_from(&mut [0; 2_048]) {
        Ok(_) => true,
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => false,
        Err(error) => panic!("the agent's socket failed: {error}"),
    }
}

fn seal_packet(keys: &Path, agent: &UdpSocket, data_centre: u8) -> Vec<u8> {
    let text = std::fs::read_to_string(keys).expect("the keys file exists");
    let raw: RawKeys = toml::from_str(&text).expect("the keys file is TOML");
    let keys = Keyring::try_from(raw).expect("the keys are valid");
    let id = ConnectionId {
        agent: address(agent),
        service: ServiceId(1),
        data_centre: DataCentreId(data_centre),
        nonce: 1,
    };
    let mut packet = vec![SHORT_HEADER];
    packet.extend(id.seal(&keys));
    packet.resize(PACKET_SIZE, 0);
    packet
}

fn address(agent: &UdpSocket) -> SocketAddrV4 {
    match agent.local_addr().expect("the socket is bound") {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(address) => panic!("{address} is not IPv4"),
    }
}
