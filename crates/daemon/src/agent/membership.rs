//! Membership of the agent: announces the state of its target and keeps track of the balancers.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use monsoon_admission::TargetState;
use monsoon_membership::{AgentNode, Event, LocalState, State};
use tokio::sync::mpsc;

use super::Agent;
use super::flows::Phase;
use super::socket::AgentSocket;
use crate::control::{Control, NodeMethods};

/// Time between two checks of the local state.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the membership node until the agent has left, and tells the socket of the balancers.
pub async fn run(
    control: Control,
    node: Arc<Mutex<AgentNode>>,
    socket: Arc<AgentSocket>,
    events: mpsc::Receiver<Event>,
) {
    let methods = NodeMethods {
        handle: AgentNode::handle,
        next_tick: AgentNode::next_tick,
    };
    let (reader, clock) = (Arc::clone(&node), control.clock);
    control
        .run(node, methods, events, move |_| {
            let node = reader.lock().expect("no panic while the lock is held");
            socket.set_balancers(
                node.balancers(clock.now())
                    .into_iter()
                    .map(|balancer| balancer.data),
            );
        })
        .await;
}

/// Reports each change of the local state to the membership node.
pub async fn report_local(agent: Arc<Agent>, events: mpsc::Sender<Event>) {
    let mut timer = tokio::time::interval(CHECK_INTERVAL);
    let mut reported = None;
    loop {
        timer.tick().await;
        let local = local_state(&agent);
        if reported == Some(local) {
            continue;
        }
        if events.send(Event::Local(local)).await.is_err() {
            return;
        }
        reported = Some(local);
    }
}

fn local_state(agent: &Agent) -> LocalState {
    let load = agent.admission_control.load();
    let state = match load.state {
        _ if *agent.phase.borrow() != Phase::Serving => State::Leaving,
        TargetState::Leaving => State::Leaving,
        TargetState::Cold => State::Cold,
        TargetState::Ready => State::Ready,
    };
    let slots = agent.configuration.with_document(|document| {
        let service = document.services.get(&agent.service)?;
        u16::try_from(service.slots).ok()
    });
    LocalState {
        state,
        load: (load.utilisation() * 100.0) as u16,
        slots: slots.flatten().unwrap_or(0),
        versions: agent.configuration.versions(),
    }
}
