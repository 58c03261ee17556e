//! Start and graceful stop of a balancer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use derive_more::{Display, Error, From};
use monsoon_membership::{BalancerNode, Event, LocalState, Role, State};
use monsoon_model::{ServiceId, hash};
use monsoon_routing::Router;
use monsoon_store::Client;
use tokio::sync::{mpsc, watch};

use super::forwarder::Forwarder;
use super::listeners::Listeners;
use super::replies;
use super::status_writer::StatusWriter;
use super::store_watch::{self, ConfigObject};
use super::tables::Tables;
use crate::admin;
use crate::context::{EVENT_QUEUE, Location, ProcessContext, leave};
use crate::control::{MembershipChange, NodeMethods};
use crate::peer::{self, Handlers};
use crate::settings::Settings;
use crate::signals::Signals;
use crate::sockets::{BindError, Sockets};
use crate::task::spawn_essential;

/// Number of balancers of a membership group that use the store for one purpose.
const STORE_CLIENTS: usize = 2;
/// Time for which a balancer still forwards datagrams after it announced that it leaves.
const FORWARDING_GRACE: Duration = Duration::from_secs(2);
/// Salt of the ranking that selects the balancers that watch the store.
const WATCHER_SALT: u64 = hash::bytes(b"store-watcher");
/// Salt of the ranking that selects the candidates for the status lease.
const STATUS_SALT: u64 = hash::bytes(b"status-writer");

/// Reason why a balancer cannot start.
#[derive(Debug, Display, Error, From)]
pub enum BalancerError {
    /// A socket that cannot be opened.
    #[display("{_0}")]
    Bind(BindError),
}

type Node = Arc<Mutex<BalancerNode>>;

/// Runs a balancer until a signal stops it.
///
/// # Errors
/// Returns the reason when the balancer cannot start.
pub async fn run(
    settings: Settings,
    binds: BTreeMap<SocketAddr, SocketAddr>,
) -> Result<(), BalancerError> {
    let mut signals = Signals::new();
    let sockets = Sockets::open(&settings).await?;
    let context = ProcessContext::new(settings, &sockets);
    context.print_ready();
    let (node_sender, node) = watch::channel::<Option<Node>>(None);
    spawn_store_watch(&context, &node);
    let name = context.settings.data_centre.clone();
    let location = tokio::select! {
        location = context.wait_for_document(
            |document| Location::find(document, &name)
        ) => location,
        () = signals.stop_requested() => return Ok(()),
    };
    let tables = tables(&context, location);
    node_sender.send_replace(Some(Arc::clone(&tables.node)));
    let forwarder = Forwarder {
        router: Arc::clone(&tables.router),
        data: Arc::clone(&sockets.data),
        keys: Arc::clone(&context.control.keys),
        clock: context.control.clock,
        counters: Arc::clone(&context.control.counters),
    };
    let mut listeners = Listeners::new(binds, forwarder.clone());
    spawn_essential("replies", replies::run(forwarder, listeners.sockets()));
    let (events, inbox) = mpsc::channel(EVENT_QUEUE);
    let membership_task = spawn_essential(
        "membership",
        run_membership(context.control.clone(), tables.clone(), inbox),
    );
    spawn_services(&context, &tables, sockets);
    spawn_status_writer(&context, &tables);
    let configuration_task = follow_configuration(&context, &tables, &mut listeners, &events);
    tokio::select! {
        () = configuration_task => {}
        () = signals.stop_requested() => {}
    }
    log::info!(
        "balancer: stopping; datagrams are forwarded for {} s more",
        FORWARDING_GRACE.as_secs()
    );
    leave(events, membership_task).await;
    tokio::time::sleep(FORWARDING_GRACE).await;
    Ok(())
}

fn tables(context: &ProcessContext, location: Location) -> Tables {
    let member = context.member(Role::Balancer, location, ServiceId(0));
    let seeds = context.settings.seeds.clone();
    let now = context.control.clock.now();
    Tables {
        node: Arc::new(Mutex::new(BalancerNode::new(
            now,
            member,
            seeds,
            rand::random(),
        ))),
        router: Arc::new(Mutex::new(Router::default())),
        configuration: context.control.configuration.clone(),
        data_centre: context.settings.data_centre.clone(),
        last_agents: Arc::default(),
    }
}

/// Starts the store watch. The balancer watches in any case until it knows its data centre, and by
/// its rank afterwards.
fn spawn_store_watch(context: &ProcessContext, node: &watch::Receiver<Option<Node>>) {
    for object in [ConfigObject::Document, ConfigObject::Evacuations] {
        let Some(client) = client(context) else {
            return;
        };
        let node = node.clone();
        let is_watcher = move || match &*node.borrow() {
            Some(node) => is_store_client(node, WATCHER_SALT),
            None => true,
        };
        spawn_essential(
            "store watch",
            store_watch::run(
                client,
                context.settings.environment.clone(),
                object,
                context.control.configuration.clone(),
                is_watcher,
            ),
        );
    }
}

fn spawn_status_writer(context: &ProcessContext, tables: &Tables) {
    let Some(client) = client(context) else {
        return;
    };
    let writer = StatusWriter {
        client,
        environment: context.settings.environment.clone(),
        tables: tables.clone(),
        clock: context.control.clock,
    };
    let node = Arc::clone(&tables.node);
    spawn_essential(
        "status",
        writer.run(move || is_store_client(&node, STATUS_SALT)),
    );
}

/// Client of the store; `None` if the settings name no usable address.
fn client(context: &ProcessContext) -> Option<Client> {
    if context.settings.store.is_empty() {
        return None;
    }
    Client::new(context.settings.store.clone())
        .inspect_err(|error| log::error!("store: {error}"))
        .ok()
}

/// Whether this balancer is among the first [`STORE_CLIENTS`] of its group in the ranking by `salt`.
fn is_store_client(node: &Node, salt: u64) -> bool {
    let node = node.lock().expect("no panic while the lock is held");
    node.own_rank(salt) < STORE_CLIENTS
}

async fn run_membership(
    control: crate::control::Control,
    tables: Tables,
    events: mpsc::Receiver<Event>,
) {
    let methods = NodeMethods {
        handle: BalancerNode::handle,
        next_tick: BalancerNode::next_tick,
    };
    let clock = control.clock;
    let node = Arc::clone(&tables.node);
    control
        .run(node, methods, events, move |change| match change {
            MembershipChange::Members => tables.rebuild(clock.now()),
            MembershipChange::Died(member) => tables.mark_dead(clock.now(), &member),
        })
        .await;
}

fn spawn_services(context: &ProcessContext, tables: &Tables, sockets: Sockets) {
    let reader = context.control.configuration.clone();
    let handlers = Handlers::fetch_only(Arc::new(move |call| reader.newer_texts(call)));
    let tls = Arc::clone(&context.tls);
    spawn_essential("peers", async move {
        peer::serve(sockets.peer, &tls, handlers).await;
    });
    let (tables, counters) = (tables.clone(), Arc::clone(&context.control.counters));
    spawn_essential(
        "admin",
        admin::serve(sockets.admin, move |path| match path {
            "/status" => Some(status(&tables)),
            "/counters" => serde_json::to_value(counters.snapshot()).ok(),
            "/histograms" => Some(serde_json::json!([])),
            _ => None,
        }),
    );
}

fn status(tables: &Tables) -> serde_json::Value {
    let routing = {
        let router = tables
            .router
            .lock()
            .expect("no panic while the lock is held");
        format!("{:?}", router.counters())
    };
    let node = tables.node.lock().expect("no panic while the lock is held");
    serde_json::json!({
        "role": "balancer",
        "versions": tables.configuration.versions(),
        "balancers": node.balancers().len(),
        "agents": node.agents().collect::<Vec<_>>(),
        "routing": routing,
    })
}

/// Applies each change of the configuration to tables, service sockets and membership.
async fn follow_configuration(
    context: &ProcessContext,
    tables: &Tables,
    listeners: &mut Listeners,
    events: &mpsc::Sender<Event>,
) {
    let mut changes = tables.configuration.subscribe();
    changes.mark_changed();
    while changes.changed().await.is_ok() {
        tables.rebuild(context.control.clock.now());
        listeners.apply_configuration(&tables.configuration).await;
        let local = LocalState {
            state: State::Ready,
            load: 0,
            slots: 0,
            versions: tables.configuration.versions(),
        };
        if events.send(Event::Local(local)).await.is_err() {
            return;
        }
    }
}
