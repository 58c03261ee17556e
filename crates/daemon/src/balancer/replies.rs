//! Replies of agents to callers. They are sent from the service address that the caller used.

use monsoon_wire::{Direction, Envelope};

use super::forwarder::Forwarder;
use super::listeners::ServiceSockets;
use crate::sockets::MAX_DATAGRAM;

/// Forwards replies until the process ends.
pub async fn run(forwarder: Forwarder, sockets: ServiceSockets) {
    let mut buffer = [0; MAX_DATAGRAM];
    loop {
        // An ICMP error for an earlier datagram to an agent whose port is closed.
        let Ok((len, _)) = forwarder.data.recv_from(&mut buffer).await else {
            continue;
        };
        forward_reply(&forwarder, &sockets, &buffer[..len]);
    }
}

fn forward_reply(forwarder: &Forwarder, sockets: &ServiceSockets, datagram: &[u8]) {
    let Ok((envelope, payload)) = Envelope::open(&forwarder.keys, datagram) else {
        return forwarder.counters.count("envelope_unverified");
    };
    if envelope.direction != Direction::Reply {
        return forwarder.counters.count("envelope_wrong_direction");
    }
    let sockets = sockets.lock().expect("no panic while the lock is held");
    let Some(socket) = sockets.get(&envelope.address) else {
        return forwarder.counters.count("reply_for_unknown_address");
    };
    if socket.try_send_to(payload, envelope.caller).is_err() {
        forwarder.counters.count("datagram_not_sent");
    }
}
