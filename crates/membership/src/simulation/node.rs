//! Nodes of the fake network and what they cost.

use std::net::SocketAddr;

use monsoon_model::{Instant, Versions};

use crate::bounds::{DATAGRAM_OVERHEAD, MAX_MESSAGE};
use crate::{Action, AgentNode, BalancerNode, Event, Member, State};

/// A node of either kind.
#[derive(Debug)]
pub enum Node {
    /// Balancer.
    Balancer(Box<BalancerNode>),
    /// Agent.
    Agent(Box<AgentNode>),
}

/// Whether a node takes part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Handles events.
    Running,
    /// Handles nothing for now; its messages wait.
    Suspended,
    /// Crashed or left.
    Ended,
}

/// Cost of one node since the last reset.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Bytes in both directions, with the overhead of each datagram.
    pub bytes: u64,
    /// Messages in both directions.
    pub messages: u64,
    /// Largest encoded message.
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

/// One node with its surroundings.
#[derive(Debug)]
pub struct Host {
    /// Member as it was at the start.
    pub member: Member,
    /// State machine.
    pub node: Node,
    /// Whether it takes part.
    pub condition: Condition,
    /// Its cost.
    pub traffic: Traffic,
    /// Configuration in force there.
    pub versions: Versions,
    pub(crate) state: State,
    pub(crate) scheduled: Option<Instant>,
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
            scheduled: None,
            inbox: Vec::new(),
        }
    }

    pub(crate) fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match &mut self.node {
            Node::Balancer(node) => node.handle(now, event),
            Node::Agent(node) => node.handle(now, event),
        }
    }

    /// When the next tick is due, `None` for a node that does not run.
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
