//! State machine of an agent.

mod lists;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use monsoon_model::hash::mix;
use monsoon_model::{AgentId, Duration, Instant};

pub use lists::{SampledTarget, ServiceMember};

use crate::bounds::{
    ANNOUNCE_EVERY, FREEZE_GAP, Rule, START_EVERY, START_SEEDS, START_TRIES, SUSPECT_AFTER,
};
use crate::freshness::Freshness;
use crate::rng::Rng;
use crate::{Action, Body, Event, Head, LocalState, Member, Message, Role, rank};

use lists::Lists;

/// Shortest time between two announcements, also when the own state changes often.
const ANNOUNCE_GAP: Duration = Duration::from_millis(100);

/// Membership of one agent.
#[derive(Debug)]
pub struct AgentNode {
    me: Member,
    rule: Rule,
    seeds: Vec<SocketAddr>,
    rng: Rng,
    fresh: Freshness,
    lists: Lists,
    /// Since when announcements to a watcher are unanswered.
    unanswered: BTreeMap<AgentId, Instant>,
    due: Instant,
    announced: Option<Instant>,
    last: Instant,
    left: bool,
    out: Vec<Action>,
}

impl AgentNode {
    /// Starts without any knowledge. `seeds` are control addresses of balancers.
    pub fn new(now: Instant, me: Member, seeds: Vec<SocketAddr>, seed: u64) -> Self {
        Self::with_rule(now, me, seeds, seed, Rule::SHARED)
    }

    /// Like [`Self::new`] with another rule of failure detection, for measurements.
    pub fn with_rule(
        now: Instant,
        me: Member,
        seeds: Vec<SocketAddr>,
        seed: u64,
        rule: Rule,
    ) -> Self {
        debug_assert_eq!(me.role, Role::Agent, "an agent node needs an agent");
        Self {
            me,
            rule,
            seeds,
            rng: Rng::new(mix(seed, me.id.0)),
            fresh: Freshness::new(me.versions),
            lists: Lists::new(now, me.id),
            unanswered: BTreeMap::new(),
            due: now,
            announced: None,
            last: now,
            left: false,
            out: Vec::new(),
        }
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        if self.left {
            return Vec::new();
        }
        if now.since(self.last) >= FREEZE_GAP {
            self.unanswered.clear();
        }
        self.last = now;
        match event {
            Event::Tick => {}
            Event::Message { from, message } => self.receive(now, from, message),
            Event::Local(local) => self.local(now, local),
            Event::Leave => {
                self.announce(now, true);
                self.left = true;
            }
        }
        let request = self.lists.ask_later(now);
        self.request(request);
        if now >= self.due && !self.left {
            self.announce(now, false);
        }
        std::mem::take(&mut self.out)
    }

    /// When the next [`Event::Tick`] is due. Every event can change it.
    pub fn next_tick(&self) -> Instant {
        self.lists.due().map_or(self.due, |due| due.min(self.due))
    }

    fn request(&mut self, request: Option<(SocketAddr, Body)>) {
        if let Some((to, body)) = request {
            self.send(to, body);
        }
    }

    /// Live balancers of the own data centre.
    pub fn balancers(&self, now: Instant) -> Vec<crate::BalancerInfo> {
        let answers = |id| !self.is_silent(now, id);
        let list = self.lists.balancers();
        let live = list
            .iter()
            .filter(|b| answers(b.id))
            .copied()
            .collect::<Vec<_>>();
        if live.is_empty() { list.to_vec() } else { live }
    }

    /// Targets of the own service whose loads were sampled lately.
    pub fn sampled_targets(&self, now: Instant) -> Vec<SampledTarget> {
        self.lists.sampled_targets(now)
    }

    /// All members of the own service, this one and recently departed ones included.
    pub fn service_members(&self, now: Instant) -> Vec<ServiceMember> {
        self.lists.service(now, &self.me)
    }

    /// Whether a balancer has listed the members of the own service. Before that, `service_members`
    /// knows this agent alone, and no idempotency key may be claimed on it.
    pub fn has_service_list(&self) -> bool {
        self.lists.has_service_list()
    }

    /// Adds control addresses of balancers, up to the bound on seeds.
    pub fn add_seeds(&mut self, found: impl IntoIterator<Item = SocketAddr>) {
        crate::bounds::add_seeds(&mut self.seeds, found);
        if self.lists.balancers().is_empty() {
            // The seeds of the settings have not answered, so the next tick asks the others.
            self.due = self.announced.unwrap_or_default();
        }
    }

    /// This agent as it announces itself.
    pub fn member(&self) -> &Member {
        &self.me
    }

    fn local(&mut self, now: Instant, local: LocalState) {
        let before = self.me;
        self.me.state = local.state;
        self.me.slots = local.slots;
        self.me.load = local.load;
        self.fresh.set(local.versions);
        self.me.versions = self.fresh.local();
        if self.me.differs(&before) {
            self.hasten(now);
        }
    }

    /// Announces a changed state soon.
    fn hasten(&mut self, now: Instant) {
        let earliest = self.announced.map_or(now, |at| at + ANNOUNCE_GAP);
        self.due = self.due.min(earliest.max(now));
    }

    fn receive(&mut self, now: Instant, from: SocketAddr, message: Message) {
        let Message { head, body } = message;
        self.out.extend(self.fresh.see(now, &head));
        match body {
            Body::Reply {
                dead: Some(incarnation),
                ..
            } => self.refute(now, incarnation),
            Body::Reply {
                dead: None,
                balancers,
                service,
                sample,
            } => {
                self.unanswered.remove(&head.id);
                self.lists.sample(now, sample);
                let request = self.lists.ask(now, from, balancers, service);
                self.request(request);
            }
            Body::Balancers {
                hash,
                page,
                pages,
                list,
            } => {
                let complete = self.lists.add_balancers(hash, (page, pages), list);
                self.listed(complete);
            }
            Body::Service {
                hash,
                page,
                pages,
                list,
            } => {
                let complete = self.lists.add_service(now, hash, (page, pages), list);
                self.listed(complete);
            }
            Body::Probe => {
                self.send(
                    from,
                    Body::Announce {
                        member: self.me,
                        left: false,
                    },
                );
            }
            _ => {}
        }
    }

    /// Answers a wrong death of this process with a higher incarnation.
    fn refute(&mut self, now: Instant, incarnation: u64) {
        if incarnation >= self.me.incarnation {
            self.me.incarnation = incarnation + 1;
            self.hasten(now);
        }
    }

    fn listed(&mut self, complete: bool) {
        if complete {
            self.forget_departed();
            self.out.push(Action::MembersChanged);
        }
    }

    fn forget_departed(&mut self) {
        let list = self.lists.balancers();
        self.unanswered
            .retain(|id, _| list.iter().any(|b| b.id == *id));
    }

    fn is_silent(&self, now: Instant, id: AgentId) -> bool {
        self.unanswered
            .get(&id)
            .is_some_and(|&at| now.since(at) >= SUSPECT_AFTER)
    }

    fn announce(&mut self, now: Instant, left: bool) {
        self.me.sequence += 1;
        let starts = self.lists.balancers().is_empty() && self.me.sequence <= START_TRIES;
        self.due = now + if starts { START_EVERY } else { ANNOUNCE_EVERY };
        self.announced = Some(now);
        for to in self.watchers(now) {
            self.send(
                to,
                Body::Announce {
                    member: self.me,
                    left,
                },
            );
        }
    }

    /// Addresses to announce to. A silent watcher is replaced but still addressed, because it
    /// remains a watcher for the others until it is declared dead.
    fn watchers(&mut self, now: Instant) -> Vec<SocketAddr> {
        let list = self.lists.balancers();
        let mut ids = rank::top(self.me.id.0, list.iter().map(|b| b.id), self.rule.watchers);
        let answering = list
            .iter()
            .map(|b| b.id)
            .filter(|&id| !self.is_silent(now, id));
        for id in rank::top(self.me.id.0, answering, self.rule.watchers) {
            if !ids.contains(&id) {
                ids.push(id);
            }
        }
        let chosen = list.iter().filter(|b| ids.contains(&b.id));
        let mut to = chosen.map(|b| b.control).collect::<Vec<_>>();
        // A member that is no longer addressed cannot answer, so its silence means nothing.
        self.unanswered.retain(|id, _| ids.contains(id));
        for &id in &ids {
            self.unanswered.entry(id).or_insert(now);
        }
        if ids.iter().all(|&id| self.is_silent(now, id)) {
            // At the start nobody else passes an announcement on yet.
            let count = if list.is_empty() {
                START_SEEDS
            } else {
                self.rule.watchers
            };
            to.extend(self.rng.pick(&self.seeds, count));
        }
        to
    }

    fn send(&mut self, to: SocketAddr, body: Body) {
        let head = Head {
            id: self.me.id,
            peer: self.me.peer,
            versions: self.fresh.local(),
        };
        let message = Message { head, body };
        debug_assert!(
            crate::message::size(&message) <= crate::bounds::MAX_MESSAGE,
            "a message fits into a datagram"
        );
        self.out.push(Action::Send { to, message });
    }
}
