//! State machine of a balancer.

mod answer;
mod learn;
mod receive;
mod remote;
mod rounds;
mod suspicion;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use monsoon_model::hash::mix;
use monsoon_model::{AgentId, DataCentreId, Duration, Instant};

use crate::beats::Beats;
use crate::bounds::{
    ANSWERS_PER_SECOND, CATCH_UP_FOR, FREEZE_GAP, Rule, SPEAKERS, TICK_EVERY, YOUNG_SEQUENCE,
};
use crate::freshness::Freshness;
use crate::gossip::Gossip;
use crate::members::{Members, Row};
use crate::probes::Probes;
use crate::rng::Rng;
use crate::watcher::Watcher;
use crate::{Action, Body, Event, Head, LocalState, Member, Message, Role, Status, rank};

/// Salt of the ranking that chooses the speakers, so that it differs from other rankings.
const SPEAKER_SALT: u64 = 0x7370_6561;

/// A member that announces to this balancer.
#[derive(Clone, Copy, Debug)]
struct Client {
    control: SocketAddr,
    heard: Instant,
    /// Load that was gossiped last.
    load: u16,
}

/// Due times of the periodic work.
#[derive(Clone, Copy, Debug)]
struct Timers {
    tick: Instant,
    announce: Instant,
    announced: Instant,
    gossip: Instant,
    contact: Instant,
    answers: Instant,
    digest: Instant,
    remote: Instant,
    expire: Instant,
}

/// Membership of one balancer.
#[derive(Debug)]
pub struct BalancerNode {
    me: Member,
    rule: Rule,
    seeds: Vec<SocketAddr>,
    rng: Rng,
    members: Members,
    beats: Beats,
    watcher: Watcher,
    probes: Probes,
    gossip: Gossip,
    remote: Gossip,
    fresh: Freshness,
    clients: BTreeMap<AgentId, Client>,
    timers: Timers,
    started: Instant,
    last: Instant,
    /// When the last message arrived.
    received: Instant,
    /// Pages that may still be sent in answer to digests in this second.
    answers: usize,
    /// Compares tables at the faster rate, until one was equal or `catch_until` has passed.
    catching: bool,
    catch_until: Instant,
    /// Live agents that another balancer listed in the last comparison of whole tables.
    listed: Option<u32>,
    left: bool,
    /// Hash of the live balancers of the data centre.
    list_hash: u32,
    /// Live balancers of the data centre that take part, own one included, in order of identity.
    team: Vec<AgentId>,
    pending: Pending,
}

/// Work collected while an event is handled.
#[derive(Debug, Default)]
struct Pending {
    out: Vec<Action>,
    changed: bool,
    /// The live balancers of the data centre changed.
    regroup: bool,
    /// Members of the data centre changed, so the watched set must be computed again.
    reassign: bool,
    /// Departures to be pushed to other balancers at once.
    urgent: Vec<AgentId>,
    /// Members that must hear of a changed list at once.
    nudge: BTreeSet<AgentId>,
}

impl BalancerNode {
    /// Starts with `me` as the only member. `seeds` are control addresses of other balancers.
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
        debug_assert_eq!(me.role, Role::Balancer, "a balancer node needs a balancer");
        let mut rng = Rng::new(mix(seed, me.id.0));
        let timers = Timers {
            tick: now,
            announce: now,
            announced: now,
            gossip: now + jitter(&mut rng, 250),
            contact: now + jitter(&mut rng, 500),
            answers: now,
            digest: now + jitter(&mut rng, 50),
            remote: now + jitter(&mut rng, 1_000),
            expire: now + Duration::from_secs(60),
        };
        let mut node = Self {
            me,
            rule,
            seeds,
            rng,
            members: Members::default(),
            beats: Beats::new(now, me.group),
            watcher: Watcher::default(),
            probes: Probes::default(),
            gossip: Gossip::default(),
            remote: Gossip::default(),
            fresh: Freshness::new(me.versions),
            clients: BTreeMap::new(),
            timers,
            started: now,
            last: now,
            received: now,
            answers: ANSWERS_PER_SECOND,
            catching: true,
            listed: None,
            catch_until: now + CATCH_UP_FOR,
            left: false,
            list_hash: 0,
            team: Vec::new(),
            pending: Pending::default(),
        };
        node.store_self(now);
        node.regroup(now);
        node
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        if self.left {
            return Vec::new();
        }
        if now.since(self.last) >= FREEZE_GAP {
            self.thaw(now);
        }
        self.last = now;
        match event {
            Event::Tick => self.tick(now),
            Event::Message { from, message } => self.receive(now, from, message),
            Event::Local(local) => self.local(now, local),
            Event::Leave => self.leave(now),
        }
        self.settle(now);
        std::mem::take(&mut self.pending.out)
    }

    /// When the next [`Event::Tick`] is due. Every event can change it.
    pub fn next_tick(&self) -> Instant {
        self.timers.tick + TICK_EVERY
    }

    /// Live agents of all data centres in reach, leaving ones included (they get no new work).
    pub fn agents(&self) -> impl Iterator<Item = &Member> {
        self.visible().filter(|m| m.role == Role::Agent)
    }

    /// Agents that were declared dead or left within `span`. They may only have been out of reach, or
    /// start again beside their targets.
    pub fn departed_agents(&self, now: Instant, span: Duration) -> impl Iterator<Item = &Member> {
        let gone = self.members.departed(now, span);
        gone.map(|row| &row.member)
            .filter(|m| m.role == Role::Agent)
    }

    /// Whether all known processes have started together with this one: another balancer is known
    /// and lists no more agents, and nobody has announced itself often. A process that joins running
    /// ones may hear of young members first. The tables need not be equal: while a deployment
    /// starts, they hardly ever are.
    pub fn started_together(&self) -> bool {
        let others = || {
            self.members
                .live()
                .filter(|row| row.member.id != self.me.id)
        };
        let balancer = others().any(|row| row.member.role == Role::Balancer);
        let young = |row: &Row| row.member.sequence <= YOUNG_SEQUENCE;
        let complete = self
            .listed
            .is_some_and(|agents| agents <= self.live_agents());
        complete && balancer && others().all(young)
    }

    /// Live agents in the table.
    fn live_agents(&self) -> u32 {
        let agents = self
            .members
            .live()
            .filter(|row| row.member.role == Role::Agent);
        agents.count() as u32
    }

    /// Live balancers in reach that are not leaving, own data centre first.
    pub fn balancers(&self) -> Vec<&Member> {
        let own = self.me.group;
        let works = |m: &&Member| m.role == Role::Balancer && m.state != crate::State::Leaving;
        let mut list = self.visible().filter(works).collect::<Vec<_>>();
        list.sort_by_key(|m| (m.group != own, m.group, m.id));
        list
    }

    /// Status of a member, `None` when it was never seen or is forgotten.
    pub fn status(&self, id: AgentId) -> Option<Status> {
        self.members.get(id).map(|row| row.status)
    }

    /// Position of this balancer among the live ones of its data centre, zero for the first.
    pub fn own_rank(&self, salt: u64) -> usize {
        rank::position(salt, self.team.iter().copied(), self.me.id)
    }

    /// Adds control addresses of other balancers, up to the bound on seeds.
    pub fn add_seeds(&mut self, found: impl IntoIterator<Item = SocketAddr>) {
        crate::bounds::add_seeds(&mut self.seeds, found);
    }

    /// This balancer as it announces itself.
    pub fn member(&self) -> &Member {
        &self.me
    }

    /// Entries of the table, tombstones included.
    pub fn table_size(&self) -> usize {
        self.members.len()
    }

    /// Members that this balancer watches.
    pub fn watched_members(&self) -> usize {
        self.watcher.len()
    }

    /// Suspicions that this balancer raised since its start.
    pub fn suspicions(&self) -> u64 {
        self.watcher.suspicions
    }

    /// Members refused and changes dropped at the bounds of the table and of the gossip queue.
    pub fn overflows(&self) -> (u64, u64) {
        (
            self.members.refused,
            self.gossip.dropped + self.remote.dropped,
        )
    }

    /// Hash over the table; equal tables have equal hashes.
    pub fn table_hash(&self) -> u64 {
        self.members
            .digest(None)
            .into_iter()
            .fold(0, |hash, bucket| mix(hash, u64::from(bucket)))
    }

    fn visible(&self) -> impl Iterator<Item = &Member> {
        let members = self.members.live().map(|row| &row.member);
        members.filter(|m| self.beats.visible(m.group))
    }

    /// Watchers of `id` in this balancer's view, best first.
    fn watchers(&self, id: AgentId) -> Vec<AgentId> {
        let others = self.team.iter().copied().filter(|&other| other != id);
        rank::top(id.0, others, self.rule.watchers)
    }

    /// Whether this balancer speaks to the other data centres.
    pub fn is_speaker(&self) -> bool {
        let key = mix(SPEAKER_SALT, u64::from(self.me.group.0));
        self.own_rank(key) < SPEAKERS
    }

    /// Control addresses of the speakers of another data centre.
    fn speakers(&self, place: DataCentreId) -> Vec<SocketAddr> {
        let key = mix(SPEAKER_SALT, u64::from(place.0));
        let ids = self
            .members
            .balancers(place)
            .filter(|m| m.state != crate::State::Leaving);
        let top = rank::top(key, ids.map(|m| m.id), SPEAKERS);
        top.into_iter().filter_map(|id| self.control(id)).collect()
    }

    fn control(&self, id: AgentId) -> Option<SocketAddr> {
        self.members.get(id).map(|row| row.member.control)
    }

    /// Control addresses of the other balancers of the data centre.
    fn others(&self) -> Vec<SocketAddr> {
        let ids = self.team.iter().filter(|&&id| id != self.me.id);
        ids.filter_map(|&id| self.control(id)).collect()
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
        self.pending.out.push(Action::Send { to, message });
    }

    fn local(&mut self, now: Instant, local: LocalState) {
        let before = self.me;
        self.me.state = local.state;
        self.me.slots = local.slots;
        self.me.load = local.load;
        let rose = self.fresh.set(local.versions);
        self.me.versions = self.fresh.local();
        if rose && self.fresh.is_first() {
            for to in self.others() {
                self.send(to, Body::Notice);
            }
        }
        if self.me.differs(&before) {
            self.republish(now);
        }
    }

    /// Restarts timers that ran while this process was frozen, and compares tables at once.
    fn thaw(&mut self, now: Instant) {
        self.watcher.thaw(now);
        self.beats.thaw(now);
        self.catching = true;
        self.listed = None;
        self.catch_until = now + CATCH_UP_FOR;
        self.timers.digest = now;
        self.timers.announce = now;
    }
}

/// Random span below `millis`, so that nodes started together do not act together.
fn jitter(rng: &mut Rng, millis: usize) -> Duration {
    Duration::from_millis(rng.below(millis) as u64)
}

/// Whether a row takes part in the rankings of its data centre.
fn takes_part(row: &Row) -> bool {
    row.status == Status::Alive && row.works()
}
