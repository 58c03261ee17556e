//! Tests of what a balancer knows about the others right after its start.

use std::collections::VecDeque;
use std::net::SocketAddr;

use monsoon_membership::{
    Action, BalancerNode, Body, Event, Header, LocalState, Member, Message, Role, State,
};
use monsoon_model::{AgentId, DataCentreId, Duration, Instant, ServiceId, Version, Versions};

fn control(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, number], 7_000))
}

fn member(number: u8) -> Member {
    Member {
        id: AgentId(u64::from(number)),
        incarnation: 1,
        sequence: 0,
        role: Role::Balancer,
        group: DataCentreId(1),
        data_centre: DataCentreId(1),
        service: ServiceId(0),
        control: control(number),
        data: format!("127.0.0.{number}:7001")
            .parse()
            .expect("an address"),
        peer: control(number),
        state: State::Ready,
        slots: 0,
        load: 0,
        versions: Versions::default().into(),
        reads_exact: false,
    }
}

fn start(now: Instant, number: u8) -> BalancerNode {
    let seeds = (1..=3).filter(|&n| n != number).map(control).collect();
    BalancerNode::new(now, member(number), seeds, u64::from(number))
}

/// Runs the nodes for `span` in steps of 10 ms and returns the end. Messages are delivered without
/// delay or in the next step.
fn run(nodes: &mut [(u8, BalancerNode)], from: Instant, span: Duration) -> Instant {
    let end = from + span;
    let mut now = from;
    let mut wire: VecDeque<(SocketAddr, SocketAddr, Message)> = VecDeque::new();
    while now < end {
        for (number, node) in &mut *nodes {
            let mut actions = node.handle(now, Event::Tick);
            let (delivered, rest): (Vec<_>, Vec<_>) =
                wire.drain(..).partition(|(to, ..)| *to == control(*number));
            wire.extend(rest);
            for (_, from, message) in delivered {
                actions.extend(node.handle(now, Event::Message { from, message }));
            }
            for action in actions {
                if let Action::Send { to, message } = action {
                    wire.push_back((to, control(*number), message));
                }
            }
        }
        now += Duration::from_millis(10);
    }
    now
}

/// Sends a node the announcement of an agent, which is `leaving` or not.
fn announce(node: &mut BalancerNode, now: Instant, number: u8, leaving: bool) {
    let mut agent = member(number);
    agent.role = Role::Agent;
    agent.sequence = if leaving { 2 } else { 1 };
    let message = Message {
        header: Header {
            id: agent.id,
            peer: agent.peer,
            versions: agent.versions.into(),
        },
        body: Body::Announce {
            member: agent,
            leaving,
        },
    };
    let from = control(number);
    node.handle(now, Event::Message { from, message });
}

/// A balancer that joins running ones must notice it within 800 ms, so that it recovers fast, and
/// the running ones must not take themselves for new.
#[test]
fn a_balancer_that_joins_running_ones_relies_on_their_tables() {
    let now = Instant::from_secs(100);
    let mut nodes = vec![(1, start(now, 1)), (2, start(now, 2))];
    let now = run(&mut nodes, now, Duration::from_secs(30));
    assert!(nodes.iter().all(|(_, node)| !node.has_joined_older()));
    nodes.push((3, start(now, 3)));
    run(&mut nodes, now, Duration::from_millis(800));
    assert!(nodes[2].1.has_joined_older());
}

/// When every balancer is replaced, none of them may rely on the table of another, however long
/// they run: agents that announce themselves to the former ones are in no table.
#[test]
fn balancers_that_start_together_rely_on_no_table() {
    let now = Instant::from_secs(100);
    let mut nodes = vec![(1, start(now, 1)), (2, start(now, 2))];
    let now = run(&mut nodes, now, Duration::from_millis(1_500));
    nodes.push((3, start(now, 3)));
    run(&mut nodes, now, Duration::from_secs(30));
    assert!(nodes.iter().all(|(_, node)| !node.has_joined_older()));
}

/// Balancers that start one after the other while their states change must not rely on the tables
/// of each other.
#[test]
fn balancers_with_unequal_tables_rely_on_no_table() {
    let mut now = Instant::from_secs(100);
    let mut nodes = Vec::new();
    let mut version = 0;
    for step in 0..30 {
        if step < 3 {
            nodes.push((step + 1, start(now, step + 1)));
        }
        for (number, node) in &mut nodes {
            version += 1;
            let local = LocalState {
                state: State::Ready,
                load: 0,
                slots: 0,
                versions: Versions {
                    document: Version::of(version + u64::from(*number)),
                    ..Versions::default()
                },
            };
            node.handle(now, Event::Local(local));
        }
        now = run(&mut nodes, now, Duration::from_millis(20));
    }
    assert!(nodes.iter().all(|(_, node)| !node.has_joined_older()));
}

/// A balancer that restarts soon after all others must not take its table for complete while
/// another balancer has more agents. Otherwise it resets flows of agents that it does not know.
#[test]
fn a_balancer_with_fewer_agents_than_others_relies_on_no_table() {
    let now = Instant::from_secs(100);
    let mut nodes = vec![(1, start(now, 1)), (2, start(now, 2))];
    let now = run(&mut nodes, now, Duration::from_millis(500));
    for number in 11..=15 {
        announce(&mut nodes[0].1, now, number, false);
    }
    let mut now = run(&mut nodes, now, Duration::from_millis(1_000));
    // Messages that would add the agents to the third table are lost, but digests arrive.
    nodes.push((3, start(now, 3)));
    for _ in 0..100 {
        now += Duration::from_millis(10);
        let mut wire = Vec::new();
        for (number, node) in &mut nodes {
            for action in node.handle(now, Event::Tick) {
                if let Action::Send { to, message } = action {
                    wire.push((to, control(*number), message));
                }
            }
        }
        while let Some((to, from, message)) = wire.pop() {
            let adds_agents = matches!(message.body, Body::Entries { .. } | Body::Gossip { .. });
            let node = nodes.iter_mut().find(|(number, _)| control(*number) == to);
            let Some((number, node)) = node.filter(|(number, _)| !(adds_agents && *number == 3))
            else {
                continue;
            };
            for action in node.handle(now, Event::Message { from, message }) {
                if let Action::Send { to, message } = action {
                    wire.push((to, control(*number), message));
                }
            }
        }
        assert!(!nodes[2].1.has_joined_older());
    }
}

/// A balancer may start while an agent restarts. It must learn of the agent that left, or it takes
/// the flows of the target, which still runs, for ended.
#[test]
fn a_new_balancer_learns_of_agents_that_left() {
    let now = Instant::from_secs(100);
    let mut nodes = vec![(1, start(now, 1))];
    announce(&mut nodes[0].1, now, 11, false);
    let now = run(&mut nodes, now, Duration::from_millis(500));
    announce(&mut nodes[0].1, now, 11, true);
    nodes.push((2, start(now, 2)));
    let now = run(&mut nodes, now, Duration::from_millis(1_000));
    let span = Duration::from_secs(10);
    let known = |node: &BalancerNode| node.departed_agents(now, span).count();
    assert!(nodes.iter().all(|(_, node)| known(node) == 1));
}

/// A balancer that is one of its own seeds must not compare its table with itself, which would make
/// the table look complete.
#[test]
fn a_balancer_ignores_its_own_messages() {
    let mut now = Instant::from_secs(100);
    let seeds = vec![control(1)];
    let mut node = BalancerNode::new(now, member(1), seeds, 1);
    let other = Message {
        header: Header {
            id: member(2).id,
            peer: member(2).peer,
            versions: Versions::default(),
        },
        body: Body::Announce {
            member: member(2),
            leaving: false,
        },
    };
    for step in 0..50 {
        now += Duration::from_millis(10);
        let mut actions = node.handle(now, Event::Tick);
        while let Some(action) = actions.pop() {
            if let Action::Send { to, message } = action
                && to == control(1)
            {
                let from = control(1);
                actions.extend(node.handle(now, Event::Message { from, message }));
            }
        }
        // The other balancer announces itself once and answers nothing.
        if step == 40 {
            let (from, message) = (control(2), other.clone());
            node.handle(now, Event::Message { from, message });
        }
    }
    assert!(!node.has_joined_older());
}
