//! Client side of the peer service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::Stream;
use http::uri::PathAndQuery;
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Status, Streaming};

use super::codec::PostcardCodec;
use super::message::{ClaimCall, ClaimReply, FetchCall, FetchReply, RequestFrame, ResponseFrame};
use crate::tls::Tls;

/// Most connections kept to peers. At this number all are dropped, and reopened on demand.
const MAX_CHANNELS: usize = 256;
/// Longest wait for a TCP and TLS connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for the reply to `Fetch`.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for the reply to `Claim`.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(500);

/// Connections to other processes, opened on demand.
#[derive(Clone, Debug)]
pub struct Peers {
    tls: Arc<Tls>,
    channels: Arc<Mutex<BTreeMap<SocketAddr, Channel>>>,
}

impl Peers {
    pub fn new(tls: Arc<Tls>) -> Self {
        Self {
            tls,
            channels: Arc::default(),
        }
    }

    /// Runs a request at the target of the agent `peer`.
    ///
    /// # Errors
    /// Returns the status of the call. The request was not run if the connection failed.
    pub async fn execute(
        &self,
        peer: SocketAddr,
        frames: impl Stream<Item = RequestFrame> + Send + 'static,
    ) -> Result<Streaming<ResponseFrame>, Status> {
        let mut grpc = self.connect(peer).await?;
        let path = PathAndQuery::from_static("/monsoon.Peer/Execute");
        let codec = PostcardCodec::<RequestFrame, ResponseFrame>::default();
        let response = grpc.streaming(Request::new(frames), path, codec).await?;
        Ok(response.into_inner())
    }

    /// Sends a message to a claim replica.
    ///
    /// # Errors
    /// Returns the status of the call. The message may have taken effect.
    pub async fn claim(&self, peer: SocketAddr, call: ClaimCall) -> Result<ClaimReply, Status> {
        let mut grpc = self.connect(peer).await?;
        let path = PathAndQuery::from_static("/monsoon.Peer/Claim");
        let codec = PostcardCodec::<ClaimCall, ClaimReply>::default();
        let mut request = Request::new(call);
        request.set_timeout(CLAIM_TIMEOUT);
        Ok(grpc.unary(request, path, codec).await?.into_inner())
    }

    /// Reads configuration texts newer than `call.versions`.
    ///
    /// # Errors
    /// Returns the status of the call.
    pub async fn fetch(&self, peer: SocketAddr, call: FetchCall) -> Result<FetchReply, Status> {
        let mut grpc = self.connect(peer).await?.max_decoding_message_size(4 << 20);
        let path = PathAndQuery::from_static("/monsoon.Peer/Fetch");
        let codec = PostcardCodec::<FetchCall, FetchReply>::default();
        let mut request = Request::new(call);
        request.set_timeout(FETCH_TIMEOUT);
        Ok(grpc.unary(request, path, codec).await?.into_inner())
    }

    async fn connect(&self, peer: SocketAddr) -> Result<tonic::client::Grpc<Channel>, Status> {
        let mut grpc = tonic::client::Grpc::new(self.channel(peer)?);
        grpc.ready().await.map_err(|error| {
            Status::unavailable(format!("peer {peer} cannot be reached: {error}"))
        })?;
        Ok(grpc)
    }

    fn channel(&self, peer: SocketAddr) -> Result<Channel, Status> {
        let mut channels = self
            .channels
            .lock()
            .expect("no panic while the lock is held");
        if let Some(channel) = channels.get(&peer) {
            return Ok(channel.clone());
        }
        if channels.len() >= MAX_CHANNELS {
            channels.clear();
        }
        let channel = Endpoint::from_shared(format!("https://{peer}"))
            .and_then(|endpoint| endpoint.tls_config(self.tls.peer_client()))
            .map_err(|error| Status::internal(format!("no channel to peer {peer}: {error}")))?
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .connect_lazy();
        channels.insert(peer, channel.clone());
        Ok(channel)
    }
}
