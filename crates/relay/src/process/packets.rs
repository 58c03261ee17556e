//! Datagrams of a process: reads them from the sockets, hands them to the state machines, and
//! performs the resulting actions.

use std::io::ErrorKind;
use std::net::SocketAddr;

use bytes::BytesMut;
use monsoon_flow::{Action, FlowKey, decode, encode};
use monsoon_membership::Message as Control;
use monsoon_model::{Duration, Instant};
use tokio::net::UdpSocket;

use super::{MAX_BATCH, MAX_DATAGRAM_BYTES, Process, RoleState};
use crate::{Origin, Role};

impl Process {
    pub(super) fn read_packets(&mut self, role_state: &mut RoleState) {
        for _ in 0..MAX_BATCH {
            let Some((mut packet, from)) = receive(&self.sockets.packets) else {
                return;
            };
            let origin = match role_state {
                RoleState::Balancer(_) => Origin::Caller,
                RoleState::Agent(_) => Origin::Target,
            };
            let Some(info) = (self.adapter.decode_packet)(&packet, origin) else {
                self.metrics.count("packet_malformed");
                let reason = "no packet of the platform";
                self.rejections
                    .record(self.clock.now(), "packets", from, reason);
                continue;
            };
            let now = self.clock.now();
            let actions = match role_state {
                RoleState::Balancer(balancer) => {
                    balancer
                        .flows
                        .handle_caller_packet(now, packet.freeze(), &info)
                }
                RoleState::Agent(agent) => {
                    if info.is_returned {
                        (self.adapter.restore_packet)(&mut packet);
                    }
                    agent
                        .flows
                        .handle_target_packet(now, packet.freeze(), &info)
                }
            };
            self.perform_flow_actions(now, actions);
        }
    }

    pub(super) fn read_frames(&mut self, role_state: &mut RoleState) {
        for _ in 0..MAX_BATCH {
            let Some((datagram, SocketAddr::V4(from))) = receive(&self.sockets.frames) else {
                return;
            };
            let datagram = datagram.freeze();
            let Ok((frame, packet)) = decode(&datagram) else {
                self.metrics.count("frame_malformed");
                self.rejections
                    .record(self.clock.now(), "frames", from, "not a frame");
                continue;
            };
            let info = (self.adapter.decode_packet)(packet, Origin::Caller);
            let packet = datagram.slice_ref(packet);
            let now = self.clock.now();
            let actions = match role_state {
                RoleState::Balancer(balancer) => {
                    balancer.flows.handle_frame(now, from, frame, packet, info)
                }
                RoleState::Agent(agent) => agent.flows.handle_frame(now, from, frame, packet, info),
            };
            self.perform_flow_actions(now, actions);
        }
    }

    pub(super) fn read_control(&mut self, role_state: &mut RoleState) {
        for _ in 0..MAX_BATCH {
            let Some((datagram, from)) = receive(&self.sockets.control) else {
                return;
            };
            let Some(message) = Control::decode(&datagram) else {
                self.metrics.count("control_malformed");
                let reason = "not a membership message";
                self.rejections
                    .record(self.clock.now(), "control", from, reason);
                continue;
            };
            let now = self.clock.now();
            self.last_control = now;
            self.has_heard = true;
            match role_state {
                RoleState::Balancer(balancer) => balancer.receive_control(self, now, from, message),
                RoleState::Agent(agent) => agent.receive_control(self, now, from, message),
            }
        }
    }

    /// Performs the actions of the forwarding.
    pub(crate) fn perform_flow_actions(&mut self, now: Instant, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, frame, packet } => {
                    let sent = self
                        .sockets
                        .frames
                        .try_send_to(&encode(&frame, &packet), to.into());
                    self.count_send_error(&sent, "frame_not_sent");
                }
                Action::ToTarget(packet) => {
                    if let Role::Agent(agent) = &self.settings.role {
                        let sent = self
                            .sockets
                            .packets
                            .try_send_to(&packet, agent.target.into());
                        self.count_send_error(&sent, "packet_not_delivered");
                    }
                }
                Action::ToCaller { key, packet } => {
                    let sent = self
                        .sockets
                        .packets
                        .try_send_to(&packet, self.caller_address(key));
                    self.count_send_error(&sent, "answer_not_sent");
                }
                Action::Reset(reset) => {
                    let packet = (self.adapter.encode_reset)(&reset);
                    let sent = self
                        .sockets
                        .packets
                        .try_send_to(&packet, self.caller_address(reset.key));
                    self.count_send_error(&sent, "reset_not_sent");
                }
                Action::Answered { key, latency } => self.record_answer(key, latency),
                Action::Waited(waited) => self.metrics.record_wait(waited),
                Action::Rejected(reason) => self.metrics.count_rejection(reason),
                Action::Log(line) => self.decision_log.log(now, &line),
            }
        }
    }

    pub(super) fn caller_address(&self, key: FlowKey) -> SocketAddr {
        SocketAddr::from((*key.caller.ip(), self.settings.caller_port))
    }

    /// Counts a datagram that could not be sent. It is not retried, since datagrams may be lost
    /// anyway.
    pub(super) fn count_send_error(
        &mut self,
        result: &std::io::Result<usize>,
        event: &'static str,
    ) {
        if result.is_err() {
            self.metrics.count(event);
        }
    }

    pub(super) fn record_answer(&mut self, key: FlowKey, took: Duration) {
        let route = self
            .catalogue
            .as_ref()
            .and_then(|c| c.routes.get(&key.address));
        let (route, class) = route.map_or(("unknown", "unknown"), |route| {
            (route.name.as_str(), route.kind.name())
        });
        self.metrics.record_answer(route, class, took);
    }
}

/// Next datagram of a socket; `None` when there is none.
fn receive(socket: &UdpSocket) -> Option<(BytesMut, SocketAddr)> {
    let mut buffer = BytesMut::zeroed(MAX_DATAGRAM_BYTES);
    loop {
        match socket.try_recv_from(&mut buffer) {
            Ok((length, from)) => {
                buffer.truncate(length);
                return Some((buffer, from));
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => return None,
            // An earlier datagram was sent to a closed port. The socket can still be read.
            Err(_) => {}
        }
    }
}
