//! Spread of the configuration: balancers watch the store, and processes fetch from each other.

use std::cmp::Ordering;
use std::net::SocketAddr;

use monsoon_config::OfferResult;
use monsoon_membership::Event;
use monsoon_model::{Duration, Version, Versions, hash};

use super::process::{Condition, Node, Phase};
use super::store::{OBJECTS, Object};
use super::{Fleet, FleetEvent};

/// Number of balancers in each membership group that watch the store.
const STORE_WATCHERS: usize = 2;
/// Salt of the ranking that chooses these balancers.
const WATCHER_SALT: u64 = hash::bytes(b"store-watcher");
/// Delay after the first failed call, in milliseconds.
const FIRST_RETRY_MS: u64 = 200;
/// Longest delay after a failed call, in milliseconds.
const MAX_RETRY_MS: u64 = 5_000;
/// Time before the next read while the store has an older version than is in force.
const BEHIND_PAUSE: Duration = Duration::from_secs(1);
/// Interval at which a balancer that does not watch checks whether it has to.
const RANK_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a call to another process fails.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

impl Fleet {
    /// Reads an object for a balancer's watch, and waits if the store has nothing newer.
    pub(super) fn poll_store(&mut self, index: usize, object: Object) {
        let process = &self.processes[index];
        if process.condition == Condition::Ended || process.left_at.is_some() {
            return;
        }
        let is_watcher = match &process.node {
            Node::Balancer(node) => node.own_rank(WATCHER_SALT) < STORE_WATCHERS,
            Node::Agent(_) => true,
        };
        if process.condition == Condition::Suspended || !is_watcher {
            return self.schedule(RANK_INTERVAL, FleetEvent::PollStore(index, object));
        }
        if self.store.is_down(self.now) {
            return self.poll_failed(index, object);
        }
        self.processes[index].retry_ms = FIRST_RETRY_MS;
        let have = version(self.processes[index].config.versions(), object);
        let value = self.store.get(object);
        let newer = (value.version, value.text.clone());
        let delay = self.store.delay(self.now, &mut self.rng);
        match newer.0.cmp(&have) {
            Ordering::Greater => {
                let event = FleetEvent::StoreValue {
                    process: index,
                    object,
                    value: Some(newer),
                };
                self.schedule(delay, event);
            }
            Ordering::Less => self.schedule(BEHIND_PAUSE, FleetEvent::PollStore(index, object)),
            Ordering::Equal => self.store.watches.push((index, object)),
        }
    }

    /// Retries after a delay that doubles up to [`MAX_RETRY_MS`].
    fn poll_failed(&mut self, index: usize, object: Object) {
        let process = &mut self.processes[index];
        let delay = process.retry_ms.max(FIRST_RETRY_MS);
        process.retry_ms = (delay * 2).min(MAX_RETRY_MS);
        self.schedule(
            Duration::from_millis(delay),
            FleetEvent::PollStore(index, object),
        );
    }

    /// Wakes the watches of a changed object, or all with `None` when the store went down.
    pub(super) fn wake_watches(&mut self, changed: Option<Object>) {
        let waiting = std::mem::take(&mut self.store.watches);
        for (process, object) in waiting {
            if changed.is_none_or(|changed| changed == object) {
                let delay = self.store.delay(self.now, &mut self.rng);
                self.schedule(delay, FleetEvent::PollStore(process, object));
            } else {
                self.store.watches.push((process, object));
            }
        }
    }

    pub(super) fn receive_stored(
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
        self.poll_store(index, object);
    }

    /// Fetches newer texts from another process, with one call at a time.
    pub(super) fn fetch(&mut self, index: usize, peer: SocketAddr, versions: Versions) {
        let process = &mut self.processes[index];
        if !versions.is_ahead_of(process.config.versions()) || process.is_fetching {
            return;
        }
        process.is_fetching = true;
        let from = process.data_centre;
        let arrival = self.process_at(peer).and_then(|server| {
            let data_centre = self.processes[server].data_centre;
            Some((server, self.links.call(&mut self.rng, from, data_centre)?))
        });
        match arrival {
            Some((server, delay)) => self.schedule(
                delay,
                FleetEvent::FetchRequest {
                    server,
                    client: index,
                },
            ),
            None => self.fail_fetch(index),
        }
    }

    /// Ends a call without an answer after its timeout.
    fn fail_fetch(&mut self, index: usize) {
        let event = FleetEvent::FetchReply {
            process: index,
            texts: Vec::new(),
        };
        self.schedule(FETCH_TIMEOUT, event);
    }

    /// Answers a call with the texts that are newer than those of the client.
    pub(super) fn answer_fetch(&mut self, server: usize, client: usize) {
        let process = &self.processes[server];
        let data_centres = (process.data_centre, self.processes[client].data_centre);
        let delay = self
            .links
            .call(&mut self.rng, data_centres.0, data_centres.1);
        let (true, Some(delay)) = (process.is_running(), delay) else {
            return self.fail_fetch(client);
        };
        let (have, own) = (
            self.processes[client].config.versions(),
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
        self.schedule(
            delay,
            FleetEvent::FetchReply {
                process: client,
                texts,
            },
        );
    }

    pub(super) fn receive_fetched(&mut self, index: usize, texts: Vec<(Object, Version, String)>) {
        self.processes[index].is_fetching = false;
        if !self.processes[index].is_running() {
            return;
        }
        for (object, version, text) in texts {
            self.offer(index, object, version, &text);
        }
    }

    /// Offers a text to a process, which applies it if it is newer.
    fn offer(&mut self, index: usize, object: Object, version: Version, text: &str) {
        let config = &mut self.processes[index].config;
        let offer = match object {
            Object::Document => config.offer_document(version, text),
            Object::Evacuations => config.offer_evacuations(version, text),
        };
        assert!(
            !matches!(offer, OfferResult::Rejected(_)),
            "seed {}: a text of the simulation was rejected: {offer:?}",
            self.setup.seed
        );
        self.check_versions(index);
        if offer == OfferResult::Accepted {
            self.apply(index);
        }
    }

    /// Applies a newly accepted text as the daemon's tasks do.
    fn apply(&mut self, index: usize) {
        let now = self.now;
        if !self.processes[index].is_started {
            let Some(leave_actions) = self.processes[index].start(now) else {
                return;
            };
            self.perform_actions(index, leave_actions);
            self.handle_event(index, Event::Tick);
        }
        if self.processes[index].is_balancer() {
            self.processes[index].rebuild(now);
            let local = self.processes[index].local_state();
            self.handle_event(index, Event::Local(local));
        } else if self.processes[index].update_evacuations() {
            debug_assert_eq!(self.processes[index].agent.phase, Phase::Evacuated);
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
