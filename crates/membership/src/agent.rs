//! State machine of an agent. It announces itself to its watchers, learns from their replies which
//! balancers and members of its service are alive, and replaces watchers that do not answer.

mod lists;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use monsoon_model::hash::mix;
use monsoon_model::{AgentId, Duration, Instant};

pub use lists::{SampledTarget, ServiceMember};

use crate::bounds::{
    ANNOUNCE_INTERVAL, Rule, START_ANNOUNCEMENTS, START_INTERVAL, START_SEEDS, SUSPECT_TIMEOUT,
    SUSPENSION_GAP,
};
use crate::rng::Rng;
use crate::versions::VersionTracker;
use crate::{Action, Body, Event, Header, LocalState, Member, Message, Role, rank};

use lists::Lists;

/// Limits the announcements of an agent whose state changes often.
const MIN_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(100);

/// Membership of one agent as a state machine.
#[derive(Debug)]
pub struct AgentNode {
    me: Member,
    rule: Rule,
    seeds: Vec<SocketAddr>,
    rng: Rng,
    version_tracker: VersionTracker,
    lists: Lists,
    /// Time of the first announcement that each watcher has not answered.
    unanswered_since: BTreeMap<AgentId, Instant>,
    next_announcement: Instant,
    announced_at: Option<Instant>,
    handled_at: Instant,
    has_left: bool,
    actions: Vec<Action>,
}

impl AgentNode {
    /// Starts without any list. `seeds` are control addresses of balancers; equal `seed` and events
    /// give equal actions.
    pub fn new(now: Instant, me: Member, seeds: Vec<SocketAddr>, seed: u64) -> Self {
        Self::with_rule(now, me, seeds, seed, Rule::DEFAULT)
    }

    /// Uses a rule of failure detection other than [`Rule::DEFAULT`], for measurements.
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
            version_tracker: VersionTracker::new(me.versions.into()),
            lists: Lists::new(now, me.id),
            unanswered_since: BTreeMap::new(),
            next_announcement: now,
            announced_at: None,
            handled_at: now,
            has_left: false,
            actions: Vec::new(),
        }
    }

    /// Handles one event and returns the actions to perform, in order.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        if self.has_left {
            return Vec::new();
        }
        if now.since(self.handled_at) >= SUSPENSION_GAP {
            self.unanswered_since.clear();
        }
        self.handled_at = now;
        match event {
            Event::Tick => {}
            Event::Message { from, message } => self.receive(now, from, message),
            Event::Local(local) => self.set_local_state(now, local),
            Event::Leave => {
                self.announce(now, true);
                self.has_left = true;
            }
        }
        let request = self.lists.take_deferred(now);
        self.send_request(request);
        if now >= self.next_announcement && !self.has_left {
            self.announce(now, false);
        }
        std::mem::take(&mut self.actions)
    }

    /// When the next [`Event::Tick`] is due. Every event can change it.
    pub fn next_tick(&self) -> Instant {
        self.lists
            .deferred_until()
            .map_or(self.next_announcement, |due| {
                due.min(self.next_announcement)
            })
    }

    fn send_request(&mut self, request: Option<(SocketAddr, Body)>) {
        if let Some((to, body)) = request {
            self.send(to, body);
        }
    }

    /// Live balancers of the data centre, without unresponsive watchers unless no other is left.
    pub fn balancers(&self, now: Instant) -> Vec<crate::BalancerInfo> {
        let answers = |id| !self.is_unresponsive(now, id);
        let list = self.lists.balancers();
        let live = list
            .iter()
            .filter(|b| answers(b.id))
            .copied()
            .collect::<Vec<_>>();
        if live.is_empty() { list.to_vec() } else { live }
    }

    /// Other targets of the service with a load sample younger than
    /// [`SAMPLE_TTL`](crate::bounds::SAMPLE_TTL).
    pub fn sampled_targets(&self, now: Instant) -> Vec<SampledTarget> {
        self.lists.sampled_targets(now)
    }

    /// All members of the service, this agent and recently departed ones included.
    pub fn service_members(&self, now: Instant) -> Vec<ServiceMember> {
        self.lists.service_members(now, &self.me)
    }

    /// Whether a balancer has sent the members of the service. Before that, `service_members`
    /// has only this agent, and no idempotency key may be claimed by that list.
    pub fn has_service_list(&self) -> bool {
        self.lists.has_service_list()
    }

    /// Adds control addresses of balancers, up to [`MAX_SEEDS`](crate::bounds::MAX_SEEDS).
    pub fn add_seeds(&mut self, found: impl IntoIterator<Item = SocketAddr>) {
        crate::bounds::add_seeds(&mut self.seeds, found);
        if self.lists.balancers().is_empty() {
            // The configured seeds have not answered, so the next tick announces to the new ones.
            self.next_announcement = self.announced_at.unwrap_or_default();
        }
    }

    /// This agent, as it announces itself.
    pub fn member(&self) -> &Member {
        &self.me
    }

    fn set_local_state(&mut self, now: Instant, local: LocalState) {
        let before = self.me;
        self.me.state = local.state;
        self.me.slots = local.slots;
        self.me.load = local.load;
        self.version_tracker.set_current(local.versions);
        self.me.versions = self.version_tracker.current().into();
        if self.me.differs_from(&before) {
            self.announce_soon(now);
        }
    }

    /// Announces a changed state as soon as [`MIN_ANNOUNCE_INTERVAL`] permits.
    fn announce_soon(&mut self, now: Instant) {
        let earliest = self
            .announced_at
            .map_or(now, |at| at + MIN_ANNOUNCE_INTERVAL);
        self.next_announcement = self.next_announcement.min(earliest.max(now));
    }

    fn receive(&mut self, now: Instant, from: SocketAddr, message: Message) {
        let Message { header, body } = message;
        self.actions
            .extend(self.version_tracker.observe(now, &header));
        match body {
            Body::Reply {
                dead_incarnation: Some(incarnation),
                ..
            } => self.refute(now, incarnation),
            Body::Reply {
                dead_incarnation: None,
                balancers_hash,
                service_hash,
                samples,
            } => {
                self.unanswered_since.remove(&header.id);
                self.lists.record_samples(now, samples);
                let request = self
                    .lists
                    .request_lists(now, from, balancers_hash, service_hash);
                self.send_request(request);
            }
            Body::Balancers {
                hash,
                page,
                pages,
                list,
            } => {
                let complete = self.lists.add_balancers(hash, (page, pages), list);
                self.finish_list(complete);
            }
            Body::Service {
                hash,
                page,
                pages,
                list,
            } => {
                let complete = self.lists.add_service(now, hash, (page, pages), list);
                self.finish_list(complete);
            }
            Body::Probe => {
                self.send(
                    from,
                    Body::Announce {
                        member: self.me,
                        leaving: false,
                    },
                );
            }
            _ => {}
        }
    }

    /// Refutes that this process was declared dead, by a higher incarnation.
    fn refute(&mut self, now: Instant, incarnation: u64) {
        if incarnation >= self.me.incarnation {
            self.me.incarnation = incarnation.saturating_add(1);
            self.announce_soon(now);
        }
    }

    fn finish_list(&mut self, complete: bool) {
        if complete {
            self.forget_unlisted();
            self.actions.push(Action::MembersChanged);
        }
    }

    fn forget_unlisted(&mut self) {
        let list = self.lists.balancers();
        self.unanswered_since
            .retain(|id, _| list.iter().any(|b| b.id == *id));
    }

    fn is_unresponsive(&self, now: Instant, id: AgentId) -> bool {
        self.unanswered_since
            .get(&id)
            .is_some_and(|&at| now.since(at) >= SUSPECT_TIMEOUT)
    }

    fn announce(&mut self, now: Instant, leaving: bool) {
        self.me.sequence += 1;
        let starting = self.lists.balancers().is_empty() && self.me.sequence <= START_ANNOUNCEMENTS;
        self.next_announcement = now
            + if starting {
                START_INTERVAL
            } else {
                ANNOUNCE_INTERVAL
            };
        self.announced_at = Some(now);
        for to in self.announce_addresses(now) {
            self.send(
                to,
                Body::Announce {
                    member: self.me,
                    leaving,
                },
            );
        }
    }

    /// Addresses to announce to. An unresponsive watcher is replaced but still addressed, because
    /// the other members count it as a watcher until it is declared dead.
    fn announce_addresses(&mut self, now: Instant) -> Vec<SocketAddr> {
        let list = self.lists.balancers();
        let mut ids = rank::top(self.me.id.0, list.iter().map(|b| b.id), self.rule.watchers);
        let answering = list
            .iter()
            .map(|b| b.id)
            .filter(|&id| !self.is_unresponsive(now, id));
        for id in rank::top(self.me.id.0, answering, self.rule.watchers) {
            if !ids.contains(&id) {
                ids.push(id);
            }
        }
        let chosen = list.iter().filter(|b| ids.contains(&b.id));
        let mut to = chosen.map(|b| b.control).collect::<Vec<_>>();
        // A balancer that is no longer addressed has nothing to answer.
        self.unanswered_since.retain(|id, _| ids.contains(id));
        for &id in &ids {
            self.unanswered_since.entry(id).or_insert(now);
        }
        if ids.iter().all(|&id| self.is_unresponsive(now, id)) {
            // At the start no balancer spreads the announcement to the others yet.
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
        let header = Header {
            id: self.me.id,
            peer: self.me.peer,
            versions: self.version_tracker.current(),
        };
        let message = Message { header, body };
        debug_assert!(
            crate::message::size(&message) <= crate::bounds::MAX_MESSAGE,
            "a message fits into a datagram"
        );
        self.actions.push(Action::Send { to, message });
    }
}
