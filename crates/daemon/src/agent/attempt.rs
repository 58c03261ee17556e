//! One attempt to run a request at one target.

use std::sync::Arc;

use futures::StreamExt;
use monsoon_membership::SampledTarget;
use monsoon_model::{AgentId, ClassKey};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use super::{Agent, local};
use crate::peer::{ExecuteHead, RequestFrame, ResponseFrame};

/// Capacity of the channel of frames between two tasks, in one direction.
const FRAME_QUEUE: usize = 8;

/// Channels of an attempt. Dropping it cancels the attempt.
#[derive(Debug)]
pub struct Attempt {
    /// Number of the attempt within the request.
    pub number: u32,
    /// Agent of the target, `None` for the local one.
    pub peer: Option<AgentId>,
    /// Frames of the target's response.
    pub replies: mpsc::Receiver<ResponseFrame>,
    body: Option<mpsc::Sender<RequestFrame>>,
}

impl Attempt {
    /// Starts an attempt at the local target.
    pub fn start_local(
        agent: &Arc<Agent>,
        number: u32,
        class: ClassKey,
        head: ExecuteHead,
    ) -> Self {
        let (attempt, body, replies) = Self::channels(number, None);
        let body = ReceiverStream::new(body).boxed();
        tokio::spawn(local::run(Arc::clone(agent), class, head, body, replies));
        attempt
    }

    /// Starts an attempt at the target of `peer`.
    pub fn start_remote(
        agent: &Arc<Agent>,
        number: u32,
        peer: &SampledTarget,
        head: ExecuteHead,
    ) -> Self {
        let (attempt, body, replies) = Self::channels(number, Some(peer.id));
        let peer = peer.peer;
        let first = futures::stream::once(std::future::ready(RequestFrame::Head(head)));
        let frames = first.chain(ReceiverStream::new(body));
        let peers = agent.peers.clone();
        tokio::spawn(async move {
            let call = async {
                let mut received = match peers.execute(peer, frames).await {
                    Ok(received) => received,
                    Err(status) => return log::debug!("peer: call to {peer} failed: {status}"),
                };
                while let Ok(Some(frame)) = received.message().await {
                    if replies.send(frame).await.is_err() {
                        return;
                    }
                }
            };
            tokio::select! {
                () = call => {}
                () = replies.closed() => {}
            }
        });
        attempt
    }

    fn channels(
        number: u32,
        peer: Option<AgentId>,
    ) -> (
        Self,
        mpsc::Receiver<RequestFrame>,
        mpsc::Sender<ResponseFrame>,
    ) {
        let (body, frames) = mpsc::channel(FRAME_QUEUE);
        let (sender, replies) = mpsc::channel(FRAME_QUEUE);
        (
            Self {
                number,
                peer,
                replies,
                body: Some(body),
            },
            frames,
            sender,
        )
    }

    /// Takes the sender of the body, after which the target may receive the request; `None` the
    /// second time.
    pub fn take_body(&mut self) -> Option<mpsc::Sender<RequestFrame>> {
        self.body.take()
    }

    /// Whether the target cannot have received the request yet.
    pub fn is_unsent(&self) -> bool {
        self.body.is_some()
    }
}
