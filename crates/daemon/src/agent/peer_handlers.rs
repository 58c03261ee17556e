//! Handlers of the peer service: requests from other agents for the local target, claims and
//! configuration texts.

use std::sync::Arc;

use futures::StreamExt;
use futures::future::FutureExt;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Status, Streaming};

use super::flows::Phase;
use super::{Agent, claims, local};
use crate::peer::{ExecuteHead, Handlers, RequestFrame, ResponseFrame, ResponseFrames};

/// Capacity of the channel of response frames.
const FRAME_QUEUE: usize = 8;

/// Handlers of the peer service of an agent.
pub fn handlers(agent: &Arc<Agent>) -> Handlers {
    let (executor, replica, reader) = (Arc::clone(agent), Arc::clone(agent), Arc::clone(agent));
    Handlers {
        execute: Arc::new(move |frames| execute(Arc::clone(&executor), frames).boxed()),
        claim: Arc::new(move |call| claims::answer(&replica, call)),
        fetch: Arc::new(move |call| reader.configuration.newer_texts(call)),
    }
}

async fn execute(
    agent: Arc<Agent>,
    mut frames: Streaming<RequestFrame>,
) -> Result<ResponseFrames, Status> {
    let Some(RequestFrame::Head(head)) = frames.message().await? else {
        return Err(Status::invalid_argument("the first frame must be the head"));
    };
    agent.check_service(head.service)?;
    let (sender, replies) = mpsc::channel(FRAME_QUEUE);
    match class_of(&agent, &head) {
        Some(key) if *agent.phase.borrow() != Phase::Evacuated => {
            let body = frames.filter_map(|frame| async { frame.ok() }).boxed();
            let guard = agent.peer_requests.begin_request();
            tokio::spawn(async move {
                local::run(agent, key, head, body, sender).await;
                drop(guard);
            });
        }
        _ => {
            // The channel is new and empty, so the only frame always fits.
            let _ = sender.try_send(ResponseFrame::NotRun(agent.admission_control.load()));
        }
    }
    Ok(ReceiverStream::new(replies).map(Ok).boxed())
}

fn class_of(agent: &Agent, head: &ExecuteHead) -> Option<monsoon_model::ClassKey> {
    let path = head.path.split('?').next().unwrap_or("/");
    agent.class_of(&head.method, path).map(|(key, _)| key)
}
