//! State machine of a balancer. It watches members of its data centre, spreads changes by gossip,
//! compares tables with other balancers and answers agents with lists.

mod data_centres;
mod merge;
mod periodic;
mod receive;
mod responses;
mod suspicion;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use monsoon_model::hash::mix;
use monsoon_model::{AgentId, DataCentreId, Duration, Instant};

use crate::bounds::{
    CATCH_UP_TIMEOUT, RESPONSE_PAGES_PER_SECOND, Rule, SENIORITY, SPEAKERS, SUSPENSION_GAP,
    TICK_INTERVAL,
};
use crate::detector::FailureDetector;
use crate::gossip::GossipQueue;
use crate::heartbeats::HeartbeatTracker;
use crate::members::{Members, Row};
use crate::probes::Probes;
use crate::rng::Rng;
use crate::versions::VersionTracker;
use crate::{Action, Body, Event, Header, LocalState, Member, Message, Role, Status, rank};

/// Salt of the ranking that chooses the speakers, which makes it independent of other rankings.
const SPEAKER_SALT: u64 = 0x7370_6561;

/// A member that announces to this balancer.
#[derive(Clone, Copy, Debug)]
struct Announcer {
    control: SocketAddr,
    last_announcement: Instant,
    /// Load that was last gossiped.
    load: u16,
}

/// Times of the periodic work.
#[derive(Clone, Copy, Debug)]
struct Timers {
    last_tick: Instant,
    next_announcement: Instant,
    announced_at: Instant,
    next_gossip: Instant,
    /// Next changes and heartbeats to the other data centres.
    next_contact: Instant,
    /// Next reset of the page budget.
    next_refill: Instant,
    next_digest: Instant,
    /// Next digest to another data centre.
    next_remote: Instant,
    /// Next removal of expired tombstones.
    next_expiry: Instant,
}

/// Membership of one balancer as a state machine.
#[derive(Debug)]
pub struct BalancerNode {
    me: Member,
    rule: Rule,
    seeds: Vec<SocketAddr>,
    rng: Rng,
    members: Members,
    heartbeats: HeartbeatTracker,
    detector: FailureDetector,
    probes: Probes,
    gossip: GossipQueue,
    remote_gossip: GossipQueue,
    version_tracker: VersionTracker,
    announcers: BTreeMap<AgentId, Announcer>,
    timers: Timers,
    started_at: Instant,
    handled_at: Instant,
    /// When the last message of another member arrived.
    received_at: Instant,
    /// Pages of entries that may still be sent in response to digests in this second.
    page_budget: usize,
    /// Whether digests are sent at the faster rate: from a start or suspension until a table was
    /// equal or `catchup_deadline` has passed.
    catching_up: bool,
    catchup_deadline: Instant,
    /// Since when the members have been followed without a suspension.
    followed_since: Instant,
    has_joined_older: bool,
    has_left: bool,
    /// Hash of the live balancers of the data centre.
    balancers_hash: u32,
    /// Live balancers of the data centre that are not leaving, this one included, in order of
    /// identity.
    active_balancers: Vec<AgentId>,
    pending: Pending,
}

/// Work collected while an event is handled.
#[derive(Debug, Default)]
struct Pending {
    actions: Vec<Action>,
    members_changed: bool,
    /// Whether the balancers of the data centre changed, so the rankings must be computed again.
    rankings_stale: bool,
    /// Whether members of the data centre changed, so the watched members must be computed again.
    watches_stale: bool,
    /// Members whose change is sent to other balancers at once.
    urgent: Vec<AgentId>,
    /// Agents that must learn of a changed list at once.
    notify: BTreeSet<AgentId>,
}

impl BalancerNode {
    /// Starts with `me` as the only member. `seeds` are control addresses of other balancers; equal
    /// `seed` and events give equal actions.
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
        debug_assert_eq!(me.role, Role::Balancer, "a balancer node needs a balancer");
        let mut rng = Rng::new(mix(seed, me.id.0));
        let timers = Timers {
            last_tick: now,
            next_announcement: now,
            announced_at: now,
            next_gossip: now + jitter(&mut rng, 250),
            next_contact: now + jitter(&mut rng, 500),
            next_refill: now,
            next_digest: now + jitter(&mut rng, 50),
            next_remote: now + jitter(&mut rng, 1_000),
            next_expiry: now + Duration::from_secs(60),
        };
        let mut node = Self {
            me,
            rule,
            seeds,
            rng,
            members: Members::default(),
            heartbeats: HeartbeatTracker::new(now, me.group),
            detector: FailureDetector::default(),
            probes: Probes::default(),
            gossip: GossipQueue::default(),
            remote_gossip: GossipQueue::default(),
            version_tracker: VersionTracker::new(me.versions.into()),
            announcers: BTreeMap::new(),
            timers,
            started_at: now,
            handled_at: now,
            received_at: now,
            page_budget: RESPONSE_PAGES_PER_SECOND,
            catching_up: true,
            followed_since: now,
            has_joined_older: false,
            catchup_deadline: now + CATCH_UP_TIMEOUT,
            has_left: false,
            balancers_hash: 0,
            active_balancers: Vec::new(),
            pending: Pending::default(),
        };
        node.store_self(now);
        node.rerank(now);
        node
    }

    /// Handles one event and returns the actions to perform, in order.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        if self.has_left {
            return Vec::new();
        }
        if now.since(self.handled_at) >= SUSPENSION_GAP {
            self.resume(now);
        }
        self.handled_at = now;
        match event {
            Event::Tick => self.tick(now),
            Event::Message { from, message } => self.receive(now, from, message),
            Event::Local(local) => self.set_local_state(now, local),
            Event::Leave => self.leave(now),
        }
        self.apply_pending(now);
        std::mem::take(&mut self.pending.actions)
    }

    /// When the next [`Event::Tick`] is due. Every event can change it.
    pub fn next_tick(&self) -> Instant {
        self.timers.last_tick + TICK_INTERVAL
    }

    /// Live agents of all reachable data centres, including leaving ones, which get no new work.
    pub fn agents(&self) -> impl Iterator<Item = &Member> {
        self.visible().filter(|m| m.role == Role::Agent)
    }

    /// Agents that were declared dead or left within `span` before `now`. Such an agent may only
    /// have been unreachable, or may be restarting beside its target.
    pub fn departed_agents(&self, now: Instant, span: Duration) -> impl Iterator<Item = &Member> {
        let departed = self.members.departed(now, span);
        departed
            .map(|row| &row.member)
            .filter(|m| m.role == Role::Agent)
    }

    /// Whether this balancer has compared its table with one that has followed the members for
    /// longer by at least [`SENIORITY`], since its start or the last suspension.
    pub fn has_joined_older(&self) -> bool {
        self.has_joined_older
    }

    fn record_followed(&mut self, now: Instant, followed_s: u32) {
        let span = Duration::from_secs(u64::from(followed_s));
        self.has_joined_older |= span >= now.since(self.followed_since) + SENIORITY;
    }

    /// Live balancers of all reachable data centres that are not leaving, those of this data centre
    /// first.
    pub fn balancers(&self) -> Vec<&Member> {
        let own = self.me.group;
        let takes_work = |m: &&Member| m.role == Role::Balancer && m.state != crate::State::Leaving;
        let mut list = self.visible().filter(takes_work).collect::<Vec<_>>();
        list.sort_by_key(|m| (m.group != own, m.group, m.id));
        list
    }

    /// Status of a member; `None` if it was never known or its tombstone expired.
    pub fn status(&self, id: AgentId) -> Option<Status> {
        self.members.get(id).map(|row| row.status)
    }

    /// Position of this balancer in the ranking of its data centre by `salt`, zero for the first.
    pub fn own_rank(&self, salt: u64) -> usize {
        rank::position(salt, self.active_balancers.iter().copied(), self.me.id)
    }

    /// Adds control addresses of other balancers, up to [`MAX_SEEDS`](crate::bounds::MAX_SEEDS).
    pub fn add_seeds(&mut self, found: impl IntoIterator<Item = SocketAddr>) {
        crate::bounds::add_seeds(&mut self.seeds, found);
    }

    /// This balancer, as it announces itself.
    pub fn member(&self) -> &Member {
        &self.me
    }

    /// Number of entries in the member table, tombstones included.
    pub fn table_size(&self) -> usize {
        self.members.len()
    }

    /// Number of members that this balancer watches.
    pub fn watched_members(&self) -> usize {
        self.detector.len()
    }

    /// Number of suspicions that this balancer raised since its start.
    pub fn suspicions(&self) -> u64 {
        self.detector.suspicions
    }

    /// Number of members rejected by the full member table, and of changes dropped by full gossip
    /// queues.
    pub fn overflows(&self) -> (u64, u64) {
        (
            self.members.rejected,
            self.gossip.dropped + self.remote_gossip.dropped,
        )
    }

    /// Hash of the member table; equal tables have equal hashes.
    pub fn table_hash(&self) -> u64 {
        self.members
            .digest(None)
            .into_iter()
            .fold(0, |hash, bucket| mix(hash, u64::from(bucket)))
    }

    fn visible(&self) -> impl Iterator<Item = &Member> {
        let members = self.members.live().map(|row| &row.member);
        members.filter(|m| self.heartbeats.is_visible(m.group))
    }

    /// Watchers of `id` by this balancer's table, in order of rank.
    fn watchers(&self, id: AgentId) -> Vec<AgentId> {
        let others = self
            .active_balancers
            .iter()
            .copied()
            .filter(|&other| other != id);
        rank::top(id.0, others, self.rule.watchers)
    }

    /// Whether this balancer exchanges messages with the other data centres.
    pub fn is_speaker(&self) -> bool {
        let key = mix(SPEAKER_SALT, u64::from(self.me.group.0));
        self.own_rank(key) < SPEAKERS
    }

    /// Control addresses of the speakers of another data centre.
    fn speakers(&self, data_centre: DataCentreId) -> Vec<SocketAddr> {
        let key = mix(SPEAKER_SALT, u64::from(data_centre.0));
        let ids = self
            .members
            .balancers(data_centre)
            .filter(|m| m.state != crate::State::Leaving);
        let top = rank::top(key, ids.map(|m| m.id), SPEAKERS);
        top.into_iter()
            .filter_map(|id| self.control_address(id))
            .collect()
    }

    fn control_address(&self, id: AgentId) -> Option<SocketAddr> {
        self.members.get(id).map(|row| row.member.control)
    }

    /// Control addresses of the other balancers of the data centre.
    fn other_balancers(&self) -> Vec<SocketAddr> {
        let ids = self.active_balancers.iter().filter(|&&id| id != self.me.id);
        ids.filter_map(|&id| self.control_address(id)).collect()
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
        self.pending.actions.push(Action::Send { to, message });
    }

    fn set_local_state(&mut self, now: Instant, local: LocalState) {
        let before = self.me;
        self.me.state = local.state;
        self.me.slots = local.slots;
        self.me.load = local.load;
        let is_newer = self.version_tracker.set_current(local.versions);
        self.me.versions = self.version_tracker.current().into();
        if is_newer && self.version_tracker.is_newest() {
            for to in self.other_balancers() {
                self.send(to, Body::ConfigurationNotice);
            }
        }
        if self.me.differs_from(&before) {
            self.republish(now);
        }
    }

    /// Restarts the timers that ran while this process was suspended, and sends a digest at once.
    fn resume(&mut self, now: Instant) {
        self.detector.resume(now);
        self.heartbeats.resume(now);
        self.catching_up = true;
        self.followed_since = now;
        self.has_joined_older = false;
        self.catchup_deadline = now + CATCH_UP_TIMEOUT;
        self.timers.next_digest = now;
        self.timers.next_announcement = now;
    }
}

/// Random span below `millis`, so that nodes that start together do not send at the same time.
fn jitter(rng: &mut Rng, millis: usize) -> Duration {
    Duration::from_millis(rng.below(millis) as u64)
}

/// Whether a member takes part in the rankings of its data centre.
fn is_ranked(row: &Row) -> bool {
    row.status == Status::Alive && row.takes_work()
}
