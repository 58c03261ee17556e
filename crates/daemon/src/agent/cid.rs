//! Connection IDs from which any balancer reads the agent that owns the flow.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use monsoon_model::{DataCentreId, ServiceId};
use monsoon_wire::{CID_LEN, ConnectionId, Keyring};
use quinn_proto::{ConnectionIdGenerator, InvalidCid};

/// Issues and validates the connection IDs of one agent.
pub struct CidGenerator {
    keys: Arc<Keyring>,
    agent: SocketAddrV4,
    service: ServiceId,
    data_centre: DataCentreId,
    epoch: u8,
    count: u32,
}

impl CidGenerator {
    /// Generator for the agent at the data address `agent` with `epoch`. The counter in the IDs starts
    /// after `count`.
    pub fn new(
        keys: Arc<Keyring>,
        agent: SocketAddrV4,
        service: ServiceId,
        data_centre: DataCentreId,
        epoch: u8,
        count: u32,
    ) -> Self {
        Self {
            keys,
            agent,
            service,
            data_centre,
            epoch,
            count,
        }
    }
}

impl ConnectionIdGenerator for CidGenerator {
    fn generate_cid(&mut self) -> quinn_proto::ConnectionId {
        self.count = self.count.wrapping_add(1);
        let id = ConnectionId {
            agent: self.agent,
            service: self.service,
            data_centre: self.data_centre,
            nonce: ConnectionId::nonce_of(self.epoch, self.count),
        };
        quinn_proto::ConnectionId::new(&id.seal(&self.keys))
    }

    fn validate(&self, cid: &quinn_proto::ConnectionId) -> Result<(), InvalidCid> {
        ConnectionId::open(cid, &self.keys)
            .filter(|id| id.service == self.service && id.agent == self.agent)
            .map(|_| ())
            .ok_or(InvalidCid)
    }

    fn cid_len(&self) -> usize {
        CID_LEN
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}
