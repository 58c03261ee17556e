//! Actions that the state machines return for their process to perform.

use std::net::SocketAddrV4;

use bytes::Bytes;
use monsoon_model::Duration;

use crate::{FlowKey, Frame, Reset};

/// Action for the process of a state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a frame to another process.
    Send {
        /// Frame address of the receiver.
        to: SocketAddrV4,
        /// Frame.
        frame: Frame,
        /// Packet that follows the frame; may be empty.
        packet: Bytes,
    },
    /// Send a caller's packet to the target.
    ToTarget(Bytes),
    /// Send a target's packet to the caller of the flow.
    ToCaller {
        /// Flow.
        key: FlowKey,
        /// Packet.
        packet: Bytes,
    },
    /// Reset the flow at its caller.
    Reset(Reset),
    /// Record for the metrics that the target answered a request.
    Answered {
        /// Flow.
        key: FlowKey,
        /// Time since the request was delivered to the target.
        latency: Duration,
    },
    /// Record for the metrics how long an opening packet waited for a place at the target.
    Waited(Duration),
    /// Count for the metrics an opening packet that was rejected for this reason, because its
    /// request cannot be answered in time or its client account is shed.
    Rejected(&'static str),
    /// Log a decision on a flow.
    Log(Log),
}

/// Decision on a flow, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    /// Flow.
    pub key: FlowKey,
    /// Fixed word for the decision.
    pub decision: &'static str,
    /// Inputs of the decision, as `name=value` pairs.
    pub inputs: String,
}

/// Action that logs a decision.
pub(crate) fn log(key: FlowKey, decision: &'static str, inputs: impl Into<String>) -> Action {
    Action::Log(Log {
        key,
        decision,
        inputs: inputs.into(),
    })
}

/// Action that resets a flow at its caller.
pub(crate) fn reset(key: FlowKey, ack: u32) -> Action {
    Action::Reset(Reset { key, ack })
}

/// Action that sends a frame with the packet behind it.
pub(crate) fn send(to: SocketAddrV4, frame: Frame, packet: Bytes) -> Action {
    Action::Send { to, frame, packet }
}
