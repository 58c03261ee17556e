//! What a balancer knows about the others right after its start.

use std::collections::VecDeque;
use std::net::SocketAddr;

use monsoon_membership::{
    Action, BalancerNode, Body, Event, Head, LocalState, Member, Message, Role, State,
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
        versions: Versions::default(),
    }
}

fn start(now: Instant, number: u8) -> BalancerNode {
    let seeds = (1..=3).filter(|&n| n != number).map(control).collect();
    BalancerNode::new(now, member(number), seeds, u64::from(number))
}

/// Runs the nodes, with a link delay of a millisecond.
fn run(nodes: &mut [(u8, BalancerNode)], from: Instant, span: Duration) -> Instant {
    let end = from + span;
    let mut now = from;
    let mut wire: VecDeque<(SocketAddr, SocketAddr, Message)> = VecDeque::new();
    while now < end {
        for (number, node) in &mut *nodes {
            let mut actions = node.handle(now, Event::Tick);
            let (mine, rest): (Vec<_>, Vec<_>) =
                wire.drain(..).partition(|(to, ..)| *to == control(*number));
            wire.extend(rest);
            for (_, from, message) in mine {
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

/// Announces an agent to a node, or that it leaves.
fn announce(node: &mut BalancerNode, now: Instant, number: u8, left: bool) {
    let mut agent = member(number);
    agent.role = Role::Agent;
    agent.sequence = if left { 2 } else { 1 };
    let message = Message {
        head: Head {
            id: agent.id,
            peer: agent.peer,
            versions: agent.versions,
        },
        body: Body::Announce {
            member: agent,
            left,
        },
    };
    let from = control(number);
    node.handle(now, Event::Message { from, message });
}

/// Guards against a balancer that takes a list which is still growing for complete, because all it
/// has heard of is as young as itself.
#[test]
fn a_balancer_that_joins_running_ones_knows_it() {
    let now = Instant::from_secs(100);
    let mut nodes = vec![(1, start(now, 1)), (2, start(now, 2))];
    let now = run(&mut nodes, now, Duration::from_secs(30));
    assert!(nodes.iter().all(|(_, node)| !node.started_together()));
    nodes.push((3, start(now, 3)));
    let mut now = now;
    for _ in 0..10 {
        now = run(&mut nodes, now, Duration::from_millis(100));
        assert!(!nodes[2].1.started_together());
    }
}

/// Guards against a slow recovery when every process starts again.
#[test]
fn balancers_that_start_together_know_it() {
    let now = Instant::from_secs(100);
    let mut nodes = vec![(1, start(now, 1)), (2, start(now, 2)), (3, start(now, 3))];
    let now = run(&mut nodes, now, Duration::from_millis(800));
    assert!(nodes.iter().all(|(_, node)| node.started_together()));
    run(&mut nodes, now, Duration::from_secs(10));
    assert!(nodes.iter().all(|(_, node)| !node.started_together()));
}

/// Guards against a recovery that waits until all tables are equal: while processes start one after
/// the other and their states change, they are not.
#[test]
fn balancers_that_start_together_need_no_equal_tables() {
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
                    document: Version(version + u64::from(*number)),
                    ..Versions::default()
                },
            };
            node.handle(now, Event::Local(local));
        }
        now = run(&mut nodes, now, Duration::from_millis(20));
    }
    assert!(nodes.iter().all(|(_, node)| node.started_together()));
}

/// Guards against a balancer that starts again soon after all others and takes its list for complete
/// although another balancer lists more agents: it reset flows of agents that it did not know.
#[test]
fn a_balancer_knows_that_its_list_is_shorter_than_others() {
    let now = Instant::from_secs(100);
    let mut nodes = vec![(1, start(now, 1)), (2, start(now, 2))];
    let now = run(&mut nodes, now, Duration::from_millis(500));
    for number in 11..=15 {
        announce(&mut nodes[0].1, now, number, false);
    }
    let mut now = run(&mut nodes, now, Duration::from_millis(1_000));
    // What tells the third one of the agents is lost, but not the comparisons themselves.
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
            let told = matches!(message.body, Body::Entries { .. } | Body::Gossip { .. });
            let node = nodes.iter_mut().find(|(number, _)| control(*number) == to);
            let Some((number, node)) = node.filter(|(number, _)| !(told && *number == 3)) else {
                continue;
            };
            for action in node.handle(now, Event::Message { from, message }) {
                if let Action::Send { to, message } = action {
                    wire.push((to, control(*number), message));
                }
            }
        }
        assert!(!nodes[2].1.started_together());
    }
}

/// Guards against a balancer that starts while an agent does, and takes the flows of the living
/// target beside it for ended because it never heard of the agent.
#[test]
fn a_new_balancer_hears_of_agents_that_left() {
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

/// Guards against a balancer that is one of its own seeds, compares its table with itself and takes
/// it for complete.
#[test]
fn a_balancer_learns_nothing_from_itself() {
    let mut now = Instant::from_secs(100);
    let seeds = vec![control(1)];
    let mut node = BalancerNode::new(now, member(1), seeds, 1);
    let other = Message {
        head: Head {
            id: member(2).id,
            peer: member(2).peer,
            versions: Versions::default(),
        },
        body: Body::Announce {
            member: member(2),
            left: false,
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
        // The other one is heard once, and answers nothing.
        if step == 40 {
            let (from, message) = (control(2), other.clone());
            node.handle(now, Event::Message { from, message });
        }
    }
    assert!(!node.started_together());
}
