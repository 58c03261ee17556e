//! Finding balancers through the store, when the seeds of the settings do not suffice.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::sleep;

use crate::message::{Message, MessageSender};
use crate::{Settings, StoreClient};

/// Pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Interval of reads while no other process answers.
const READ_INTERVAL: Duration = Duration::from_secs(2);

/// Records a balancer, so that others find it.
pub(crate) async fn register_balancer(client: StoreClient, settings: Settings) {
    let name = settings.instance.clone();
    let address = settings.control;
    while let Err(error) = (client.register_balancer)(settings.store, name.clone(), address).await {
        log::warn!("discovery: not registered error=\"{error}\"");
        sleep(RETRY_DELAY).await;
    }
    log::info!("discovery: registered instance={name} control={address}");
}

/// Reads the recorded balancers at the start, and again while the process is alone.
pub(crate) async fn find_balancers(
    client: StoreClient,
    store: SocketAddr,
    me: SocketAddrV4,
    mut is_isolated: watch::Receiver<bool>,
    messages: MessageSender,
) {
    loop {
        match (client.list_balancers)(store).await {
            Ok(mut found) => {
                found.retain(|&at| at != SocketAddr::V4(me));
                if messages.send(Message::Balancers(found)).await.is_err() {
                    return;
                }
                sleep(READ_INTERVAL).await;
                if is_isolated
                    .wait_for(|is_isolated| *is_isolated)
                    .await
                    .is_err()
                {
                    return;
                }
            }
            Err(error) => {
                log::warn!("discovery: no list of balancers error=\"{error}\"");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}
