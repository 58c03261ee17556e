//! What both roles start with: keys, clock, configuration, control socket, calls to other processes.

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

/// Capacity of the channel of events to the membership node.
pub const EVENT_QUEUE: usize = 16;

/// Location of a process by the numbers of the document; zero while there is no document.
#[derive(Clone, Copy, Debug, Default)]
pub struct Location {
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Membership group of the data centre.
    pub group: DataCentreId,
}

impl Location {
    /// Looks up the data centre `name` in the document.
    ///
    /// # Errors
    /// Returns a message for the operator when the document has no such data centre.
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
    pub settings: Settings,
    /// Addresses at which others reach this process.
    pub addresses: Addresses,
    pub tls: Arc<Tls>,
    /// Control socket, clock, configuration and calls to other processes.
    pub control: Control,
}

impl ProcessContext {
    /// Context of a process whose sockets are open. The clock starts here.
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

    /// Prints the ready line, from which scripts read the addresses.
    pub fn print_ready(&self) {
        let Addresses {
            control,
            data,
            peer,
            admin,
        } = self.addresses;
        println!("ready control={control} data={data} peer={peer} admin={admin}");
    }

    /// Membership entry of this process, with a new random ID.
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
            versions: self.control.configuration.versions().into(),
            reads_exact: role == Role::Agent,
        }
    }

    /// Waits until a document is in force in which `read` finds what it needs. The document comes
    /// from the seeds or from the store watch.
    ///
    /// Until then the process takes part in the membership as an agent without a service.
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
        let membership_task = tokio::spawn(self.control.clone().run(node, methods, inbox, |_| {}));
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
        leave(events, membership_task).await;
        found
    }
}

/// Makes the membership node announce that it leaves, and waits until it has ended.
pub async fn leave(events: mpsc::Sender<Event>, membership_task: JoinHandle<()>) {
    if events.send(Event::Leave).await.is_ok() {
        // The node ends after its announcement; an error means that it has ended already.
        let _ = membership_task.await;
    }
}
