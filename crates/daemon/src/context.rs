//! What every role starts with: keys, clock, configuration, calls to other processes.

use std::sync::{Arc, Mutex};

use monsoon_config::Document;
use monsoon_membership::{AgentNode, Event, Member, Role, State};
use monsoon_model::{AgentId, DataCentreId, ServiceId};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::clock::Clock;
use crate::configuration::Configuration;
use crate::control::{Control, NodeMethods};
use crate::counters::Counters;
use crate::peer::Peers;
use crate::settings::Settings;
use crate::sockets::{Addresses, Sockets};
use crate::tls::Tls;

/// Most events that wait for the membership node.
pub const EVENT_QUEUE: usize = 16;

/// Where a process runs, as the document numbers it; zero while it has no document.
#[derive(Clone, Copy, Debug, Default)]
pub struct Location {
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Membership group of the data centre.
    pub group: DataCentreId,
}

impl Location {
    /// Finds the data centre `name` in the document.
    ///
    /// # Errors
    /// Returns the message for the operator when the document has no such data centre.
    pub fn find(document: &Document, name: &str) -> Result<Self, String> {
        let found = document.data_centre_named(name).ok_or_else(|| {
            format!("the document has no data centre {name}; add it or correct the settings")
        })?;
        Ok(Self {
            data_centre: found.number,
            group: found.group,
        })
    }
}

/// Parts shared by both roles.
#[derive(Debug)]
pub struct ProcessContext {
    /// Checked settings.
    pub settings: Settings,
    /// Addresses under which others reach this process.
    pub addresses: Addresses,
    /// Certificates.
    pub tls: Arc<Tls>,
    /// Control socket and what it works with.
    pub control: Control,
}

impl ProcessContext {
    /// Parts for a process with open sockets.
    pub fn new(settings: Settings, sockets: &Sockets) -> Self {
        let tls = Arc::clone(&settings.tls);
        let control = Control {
            socket: Arc::clone(&sockets.control),
            keys: Arc::clone(&settings.keys),
            clock: Clock::start(),
            configuration: Configuration::new(),
            peers: Peers::new(Arc::clone(&tls)),
            counters: Arc::<Counters>::default(),
        };
        Self {
            settings,
            addresses: sockets.addresses,
            tls,
            control,
        }
    }

    /// Writes the line by which scripts learn the addresses.
    pub fn print_ready(&self) {
        let Addresses {
            control,
            data,
            peer,
            admin,
        } = self.addresses;
        println!("ready control={control} data={data} peer={peer} admin={admin}");
    }

    /// Member entry of this process with a new identity.
    pub fn member(&self, role: Role, location: Location, service: ServiceId) -> Member {
        Member {
            id: AgentId(rand::random()),
            incarnation: 1,
            sequence: 0,
            role,
            group: location.group,
            data_centre: location.data_centre,
            service,
            control: self.addresses.control,
            data: self.addresses.data,
            peer: self.addresses.peer,
            state: State::Cold,
            slots: 0,
            load: 0,
            versions: self.control.configuration.versions(),
        }
    }

    /// Learns the document from the seeds and waits until `read` finds what it needs there.
    ///
    /// Until then the process takes part in the membership as an agent of no service.
    pub async fn wait_for_document<T>(&self, read: impl Fn(&Document) -> Result<T, String>) -> T {
        let member = self.member(Role::Agent, Location::default(), ServiceId(0));
        let seeds = self.settings.seeds.clone();
        let node = AgentNode::new(self.control.clock.now(), member, seeds, rand::random());
        let node = Arc::new(Mutex::new(node));
        let methods = NodeMethods {
            handle: AgentNode::handle,
            next_tick: AgentNode::next_tick,
        };
        let (events, inbox) = mpsc::channel(EVENT_QUEUE);
        let asking = tokio::spawn(self.control.clone().run(node, methods, inbox, |_| {}));
        let mut changes = self.control.configuration.subscribe();
        let found = loop {
            match self.control.configuration.with_document(&read) {
                Some(Ok(found)) => break found,
                Some(Err(missing)) => log::error!("config: {missing}"),
                None => {}
            }
            if changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        };
        leave(events, asking).await;
        found
    }
}

/// Announces that the member leaves and waits until its node has ended.
pub async fn leave(events: mpsc::Sender<Event>, membership: JoinHandle<()>) {
    if events.send(Event::Leave).await.is_ok() {
        // The node sends its farewell and ends; an error means that it has ended already.
        let _ = membership.await;
    }
}
