//! What the state machines ask their process to do.

use std::net::SocketAddrV4;

use bytes::Bytes;
use monsoon_model::Duration;

use crate::{FlowKey, Frame, Reset};

/// Output of a state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a frame to another process.
    Send {
        /// Frame address of the receiver.
        to: SocketAddrV4,
        /// Header.
        frame: Frame,
        /// Packet behind the header, may be empty.
        packet: Bytes,
    },
    /// Hand a caller's packet to the target.
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
    /// The target answered a request.
    Answered {
        /// Flow.
        key: FlowKey,
        /// Time since the request was handed over.
        latency: Duration,
    },
    /// A decision on a flow, to be logged.
    Log(Log),
}

/// A logged decision on a flow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    /// Flow.
    pub key: FlowKey,
    /// What was decided, a fixed word.
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
