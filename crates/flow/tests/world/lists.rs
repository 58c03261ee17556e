//! Model of what balancers know of agents. Agents announce themselves to the balancers that they
//! know, and balancers compare their tables. Nobody knows more than it was told since its start.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use monsoon_flow::{Presence, TargetView};
use monsoon_model::{Duration, Instant};

use super::{agent_at, view};

const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
const START_INTERVAL: Duration = Duration::from_millis(100);
const COMPARE_INTERVAL: Duration = Duration::from_millis(200);
/// Silence after which an agent is declared dead.
const DEATH_AFTER: Duration = Duration::from_millis(2_200);
/// Time for which departed agents are listed.
const DEPARTED_FOR: Duration = Duration::from_secs(10);
/// Time by which an older balancer has followed the members for longer.
const SENIORITY: Duration = Duration::from_secs(5);

/// An agent as a balancer last heard of it.
#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Instant,
    presence: Presence,
}

/// Knowledge of one balancer.
#[derive(Clone, Debug)]
struct Table {
    started_at: Instant,
    agents: BTreeMap<u8, Heard>,
    next_compare: Instant,
    has_joined_older: bool,
    /// From when on each agent announces itself here.
    known_from: BTreeMap<u8, Instant>,
}

/// An agent process that announces itself.
#[derive(Clone, Copy, Debug)]
pub struct Announcer {
    pub started_at: Instant,
    next: Instant,
}

#[derive(Clone, Debug, Default)]
pub struct Lists {
    tables: BTreeMap<u8, Table>,
    announcers: BTreeMap<u8, Announcer>,
}

impl Lists {
    pub fn start_agent(&mut self, now: Instant, number: u8) {
        let started_at = now;
        let next = now;
        self.announcers
            .insert(number, Announcer { started_at, next });
        // A process that starts announces itself to its seeds at once.
        for table in self.tables.values_mut() {
            table.known_from.insert(number, now);
        }
    }

    pub fn end_agent(&mut self, number: u8) {
        self.announcers.remove(&number);
    }

    pub fn end_balancer(&mut self, number: u8) {
        self.tables.remove(&number);
    }

    /// Starts a balancer. Agents that run already find it after `delay`.
    pub fn start_balancer(
        &mut self,
        now: Instant,
        number: u8,
        mut delay: impl FnMut() -> Duration,
    ) {
        let known_from = self.announcers.iter().map(|(&agent, announcer)| {
            let is_young = now.since(announcer.started_at) < Duration::from_millis(600);
            let delay = if is_young { Duration::ZERO } else { delay() };
            (agent, now + delay)
        });
        let table = Table {
            started_at: now,
            agents: BTreeMap::new(),
            next_compare: now + COMPARE_INTERVAL,
            has_joined_older: false,
            known_from: known_from.collect(),
        };
        self.tables.insert(number, table);
    }

    /// Exchanges what is due. Suspended agents do not announce themselves.
    pub fn exchange(
        &mut self,
        now: Instant,
        suspended: &BTreeSet<u8>,
        presence: impl Fn(u8) -> Presence,
        mut pick: impl FnMut(usize) -> usize,
    ) {
        for (&number, announcer) in &mut self.announcers {
            if suspended.contains(&number) || now < announcer.next {
                continue;
            }
            let is_young = now.since(announcer.started_at) < Duration::from_millis(600);
            announcer.next = now
                + if is_young {
                    START_INTERVAL
                } else {
                    ANNOUNCE_INTERVAL
                };
            let heard = Heard {
                at: now,
                presence: presence(number),
            };
            for table in self.tables.values_mut() {
                if table.known_from.get(&number).is_some_and(|&at| now >= at) {
                    table.agents.insert(number, heard);
                }
            }
        }
        let numbers: Vec<u8> = self.tables.keys().copied().collect();
        for &number in &numbers {
            let table = &self.tables[&number];
            let others: Vec<u8> = numbers.iter().copied().filter(|&n| n != number).collect();
            if now < table.next_compare || others.is_empty() {
                continue;
            }
            let other = self.tables[&others[pick(others.len())]].clone();
            let table = self.tables.get_mut(&number).expect("number is listed");
            table.next_compare = now + COMPARE_INTERVAL;
            table.has_joined_older |= other.started_at + SENIORITY <= table.started_at;
            for (agent, heard) in other.agents {
                let known = table.agents.entry(agent).or_insert(heard);
                if heard.at > known.at {
                    *known = heard;
                }
            }
        }
    }

    /// Agents that a balancer knows, and whether it joined an older one.
    pub fn views(&self, now: Instant, number: u8) -> (BTreeMap<SocketAddrV4, TargetView>, bool) {
        let table = &self.tables[&number];
        let mut views = BTreeMap::new();
        for (&agent, heard) in &table.agents {
            let silence = now.since(heard.at);
            let is_dead = silence >= DEATH_AFTER;
            if silence >= DEATH_AFTER + DEPARTED_FOR || is_dead && heard.presence == Presence::Ended
            {
                continue;
            }
            let view = TargetView {
                presence: heard.presence,
                accepts_flows: !is_dead && heard.presence == Presence::Present,
                ..view()
            };
            views.insert(agent_at(agent), view);
        }
        (views, table.has_joined_older)
    }
}
