//! Hosts of the simulated network and their traffic.

use std::net::SocketAddr;

use monsoon_model::{Instant, Versions};

use crate::bounds::{DATAGRAM_OVERHEAD, MAX_MESSAGE};
use crate::{Action, AgentNode, BalancerNode, Event, Member, State};

/// State machine of a host.
#[derive(Debug)]
pub enum Node {
    /// Balancer.
    Balancer(Box<BalancerNode>),
    /// Agent.
    Agent(Box<AgentNode>),
}

/// Condition of the process on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Handles events.
    Running,
    /// Handles no events; messages to it are kept.
    Suspended,
    /// Crashed or left.
    Ended,
}

/// Traffic and processor time of one host since the last reset.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Bytes sent and received, with the overhead of each datagram.
    pub bytes: u64,
    /// Messages sent and received.
    pub messages: u64,
    /// Largest sent message, in encoded bytes.
    pub largest_message: usize,
    /// Processor time of handling, encoding and decoding.
    pub cpu_time: std::time::Duration,
    /// Times that the routing tables had to be rebuilt.
    pub rebuilds: u64,
}

impl Traffic {
    pub(crate) fn send(&mut self, bytes: usize) {
        assert!(bytes <= MAX_MESSAGE, "a message fits into a datagram");
        self.largest_message = self.largest_message.max(bytes);
        self.receive(bytes);
    }

    pub(crate) fn receive(&mut self, bytes: usize) {
        self.bytes += (bytes + DATAGRAM_OVERHEAD) as u64;
        self.messages += 1;
    }
}

/// Simulated host that runs one node.
#[derive(Debug)]
pub struct Host {
    /// The member as it was at the start.
    pub member: Member,
    /// State machine.
    pub node: Node,
    /// Whether the process runs.
    pub condition: Condition,
    /// Traffic since the last reset.
    pub traffic: Traffic,
    /// Versions of the configuration in force there.
    pub versions: Versions,
    pub(crate) state: State,
    pub(crate) next_tick_at: Option<Instant>,
    pub(crate) inbox: Vec<(SocketAddr, Vec<u8>)>,
}

impl Host {
    pub(crate) fn new(member: Member, node: Node) -> Self {
        Self {
            member,
            node,
            condition: Condition::Running,
            traffic: Traffic::default(),
            versions: Versions::default(),
            state: State::Ready,
            next_tick_at: None,
            inbox: Vec::new(),
        }
    }

    pub(crate) fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match &mut self.node {
            Node::Balancer(node) => node.handle(now, event),
            Node::Agent(node) => node.handle(now, event),
        }
    }

    /// When the next tick is due; `None` for a process that does not run.
    pub(crate) fn next_tick(&self) -> Option<Instant> {
        let next = match &self.node {
            Node::Balancer(node) => node.next_tick(),
            Node::Agent(node) => node.next_tick(),
        };
        (self.condition == Condition::Running).then_some(next)
    }

    /// The balancer, if it is one.
    pub fn balancer(&self) -> Option<&BalancerNode> {
        match &self.node {
            Node::Balancer(node) => Some(node),
            Node::Agent(_) => None,
        }
    }

    /// The agent, if it is one.
    pub fn agent(&self) -> Option<&AgentNode> {
        match &self.node {
            Node::Agent(node) => Some(node),
            Node::Balancer(_) => None,
        }
    }
}
