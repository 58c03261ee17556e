//! How processes learn the configuration: from the store and from each other.

use std::cmp::Ordering;
use std::net::SocketAddr;

use monsoon_config::OfferResult;
use monsoon_membership::Event;
use monsoon_model::{Duration, Version, Versions, hash};

use super::process::{Condition, Node, Phase};
use super::store::{OBJECTS, Object};
use super::{Due, Fleet};

/// Number of balancers of a membership group that watch the store.
const STORE_WATCHERS: usize = 2;
/// Salt of the ranking that chooses them.
const WATCHER_SALT: u64 = hash::bytes(b"store-watcher");
/// First delay after a failed call, in milliseconds.
const RETRY_FIRST: u64 = 200;
/// Longest delay after failed calls, in milliseconds.
const RETRY_MOST: u64 = 5_000;
/// Pause while the store has nothing newer than what is in force.
const BEHIND_PAUSE: Duration = Duration::from_secs(1);
/// Time between two looks whether a balancer is to watch.
const RANK_POLL: Duration = Duration::from_millis(500);
/// Time after which a call to another process is given up.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

impl Fleet {
    /// One round of a balancer's watch of an object.
    pub(super) fn poll(&mut self, index: usize, object: Object) {
        let process = &self.processes[index];
        if process.condition == Condition::Ended || process.left.is_some() {
            return;
        }
        let watches = match &process.node {
            Node::Balancer(node) => node.own_rank(WATCHER_SALT) < STORE_WATCHERS,
            Node::Agent(_) => true,
        };
        if process.condition == Condition::Frozen || !watches {
            return self.after(RANK_POLL, Due::Poll(index, object));
        }
        if self.store.is_down(self.now) {
            return self.poll_failed(index, object);
        }
        self.processes[index].store_delay = RETRY_FIRST;
        let have = version(self.processes[index].config.versions(), object);
        let value = self.store.get(object);
        let newer = (value.version, value.text.clone());
        let delay = self.store.delay(self.now, &mut self.rng);
        match newer.0.cmp(&have) {
            Ordering::Greater => {
                let due = Due::Stored {
                    process: index,
                    object,
                    value: Some(newer),
                };
                self.after(delay, due);
            }
            Ordering::Less => self.after(BEHIND_PAUSE, Due::Poll(index, object)),
            Ordering::Equal => self.store.waiting.push((index, object)),
        }
    }

    fn poll_failed(&mut self, index: usize, object: Object) {
        let process = &mut self.processes[index];
        let delay = process.store_delay.max(RETRY_FIRST);
        process.store_delay = (delay * 2).min(RETRY_MOST);
        self.after(Duration::from_millis(delay), Due::Poll(index, object));
    }

    /// Ends the waits of all watches: the store has something new, or went down.
    pub(super) fn wake_watches(&mut self, changed: Option<Object>) {
        let waiting = std::mem::take(&mut self.store.waiting);
        for (process, object) in waiting {
            if changed.is_none_or(|changed| changed == object) {
                let delay = self.store.delay(self.now, &mut self.rng);
                self.after(delay, Due::Poll(process, object));
            } else {
                self.store.waiting.push((process, object));
            }
        }
    }

    pub(super) fn stored(
        &mut self,
        index: usize,
        object: Object,
        value: Option<(Version, String)>,
    ) {
        if let Some((version, text)) = value
            && self.processes[index].is_running()
        {
            self.offer(index, object, version, &text);
        }
        self.poll(index, object);
    }

    /// Fetches newer texts from another process, one call at a time.
    pub(super) fn fetch(&mut self, index: usize, peer: SocketAddr, versions: Versions) {
        let process = &mut self.processes[index];
        if !versions.is_ahead_of(process.config.versions()) || process.fetching {
            return;
        }
        process.fetching = true;
        let from = process.place;
        let arrival = self.holder(peer).and_then(|at| {
            let place = self.processes[at].place;
            Some((at, self.links.call(&mut self.rng, from, place)?))
        });
        match arrival {
            Some((at, delay)) => self.after(delay, Due::Asked { at, by: index }),
            None => self.give_up(index),
        }
    }

    fn give_up(&mut self, index: usize) {
        let due = Due::Fetched {
            process: index,
            texts: Vec::new(),
        };
        self.after(FETCH_TIMEOUT, due);
    }

    /// Answers a call for newer texts.
    pub(super) fn asked(&mut self, at: usize, by: usize) {
        let process = &self.processes[at];
        let places = (process.place, self.processes[by].place);
        let delay = self.links.call(&mut self.rng, places.0, places.1);
        let (true, Some(delay)) = (process.is_running(), delay) else {
            return self.give_up(by);
        };
        let (have, own) = (
            self.processes[by].config.versions(),
            process.config.versions(),
        );
        let newer = OBJECTS
            .into_iter()
            .filter(|object| version(own, *object) > version(have, *object));
        let text = |object| match object {
            Object::Document => process.config.document_text(),
            Object::Evacuations => process.config.evacuations_text(),
        };
        let texts = newer
            .filter_map(|object| Some((object, version(own, object), text(object)?.to_owned())))
            .collect();
        self.after(delay, Due::Fetched { process: by, texts });
    }

    pub(super) fn fetched(&mut self, index: usize, texts: Vec<(Object, Version, String)>) {
        self.processes[index].fetching = false;
        if !self.processes[index].is_running() {
            return;
        }
        for (object, version, text) in texts {
            self.offer(index, object, version, &text);
        }
    }

    /// Offers a text to a process and applies it when it is newer.
    fn offer(&mut self, index: usize, object: Object, version: Version, text: &str) {
        let config = &mut self.processes[index].config;
        let offer = match object {
            Object::Document => config.offer_document(version, text),
            Object::Evacuations => config.offer_evacuations(version, text),
        };
        assert!(
            !matches!(offer, OfferResult::Rejected(_)),
            "seed {}: a text of the simulation is refused: {offer:?}",
            self.setup.seed
        );
        self.check_versions(index);
        if offer == OfferResult::Accepted {
            self.apply(index);
        }
    }

    /// Applies a newly accepted text, as the daemon's tasks do.
    fn apply(&mut self, index: usize) {
        let now = self.now;
        if !self.processes[index].started {
            let Some(farewell) = self.processes[index].start(now) else {
                return;
            };
            self.act(index, farewell);
            self.event(index, Event::Tick);
        }
        if self.processes[index].is_balancer() {
            self.processes[index].rebuild(now);
            let local = self.processes[index].local();
            self.event(index, Event::Local(local));
        } else if self.processes[index].follow_evacuations() {
            debug_assert_eq!(self.processes[index].agent.phase, Phase::Out);
            self.close_flows(index);
        }
    }
}

/// Version of one object.
pub fn version(versions: Versions, object: Object) -> Version {
    match object {
        Object::Document => versions.document,
        Object::Evacuations => versions.evacuations,
    }
}
