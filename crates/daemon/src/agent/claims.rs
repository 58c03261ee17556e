//! Claims of idempotency keys: sends the messages of a claim round and answers those of others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use monsoon_execution::claim::{
    Answer, ClaimId, ClaimResult, ClaimRound, KeyHash, Member, RoundAction,
};
use monsoon_model::{AgentId, ServiceId};
use ring::digest;
use tokio::sync::mpsc;
use tonic::Status;

use super::Agent;
use crate::peer::{ClaimCall, ClaimMessage, ClaimReply};

/// Capacity of the channel of answers to one round.
const ANSWER_QUEUE: usize = 8;

/// Hash of an idempotency key within a service.
pub fn key_hash(service: ServiceId, key: &[u8]) -> KeyHash {
    let mut context = digest::Context::new(&digest::SHA256);
    context.update(&service.0.to_be_bytes());
    context.update(key);
    let digest = context.finish();
    let mut half = [0; 16];
    half.copy_from_slice(&digest.as_ref()[..16]);
    KeyHash(u128::from_be_bytes(half))
}

/// Round of a claim and the addresses of the members that may have recorded the claim.
#[derive(Debug)]
pub struct ClaimHandle {
    round: ClaimRound,
    addresses: BTreeMap<AgentId, SocketAddr>,
}

struct MemberAnswer {
    from: AgentId,
    answer: Option<Answer>,
}

/// Claims `key` at the members of the service. The handle settles the claim later.
pub async fn claim(agent: &Arc<Agent>, key: KeyHash) -> (ClaimResult, ClaimHandle) {
    let members = agent.members();
    let addresses = members
        .iter()
        .map(|member| (member.id, member.peer))
        .collect();
    let ranked = members.iter().map(|member| Member {
        id: member.id,
        // A leaving agent still answers for its claims until it has transferred them.
        departed: member.state.is_none(),
    });
    let claim = ClaimId {
        agent: agent.id,
        serial: agent.next_claim_serial(),
    };
    let mut handle = ClaimHandle {
        round: ClaimRound::new(key, claim, ranked),
        addresses,
    };
    let (sender, mut answers) = mpsc::channel(ANSWER_QUEUE);
    let mut actions = handle.round.start(agent.clock.now());
    loop {
        for action in actions {
            match action {
                RoundAction::Claim(member) => request_claim(agent, &handle, member, sender.clone()),
                RoundAction::Release(member) => {
                    send_without_reply(agent, &handle, member, ClaimMessage::Release(key, claim));
                }
                RoundAction::Done(result) => return (result, handle),
            }
        }
        actions = next_actions(agent, &mut handle.round, &mut answers).await;
    }
}

async fn next_actions(
    agent: &Agent,
    round: &mut ClaimRound,
    answers: &mut mpsc::Receiver<MemberAnswer>,
) -> Vec<RoundAction> {
    let next_tick = round.next_tick();
    tokio::select! {
        () = agent.clock.sleep_until(next_tick) => round.tick(agent.clock.now()),
        Some(received) = answers.recv() => match received.answer {
            Some(answer) => round.handle_answer(agent.clock.now(), received.from, answer),
            None => round.handle_unreachable(agent.clock.now(), received.from),
        },
    }
}

fn request_claim(
    agent: &Arc<Agent>,
    handle: &ClaimHandle,
    member: AgentId,
    answers: mpsc::Sender<MemberAnswer>,
) {
    let (key, claim) = handle.round.identity();
    let message = ClaimMessage::Claim(key, claim);
    let reply = send(agent, handle, member, message);
    tokio::spawn(async move {
        let answer = match reply.await {
            Some(ClaimReply::Answer(answer)) => Some(answer),
            _ => None,
        };
        // The channel is closed when the round is over.
        let _ = answers
            .send(MemberAnswer {
                from: member,
                answer,
            })
            .await;
    });
}

fn send_without_reply(
    agent: &Arc<Agent>,
    handle: &ClaimHandle,
    member: AgentId,
    message: ClaimMessage,
) {
    tokio::spawn(send(agent, handle, member, message));
}

/// Sends one message to a member, which may be this agent itself. The result is `None` when the
/// member cannot be reached.
fn send(
    agent: &Arc<Agent>,
    handle: &ClaimHandle,
    member: AgentId,
    message: ClaimMessage,
) -> impl Future<Output = Option<ClaimReply>> + Send + 'static {
    let address = handle.addresses.get(&member).copied();
    let agent = Arc::clone(agent);
    let call = ClaimCall {
        service: agent.service,
        message,
    };
    async move {
        if member == agent.id {
            return answer(&agent, call).ok();
        }
        agent.peers.claim(address?, call).await.ok()
    }
}

impl ClaimHandle {
    /// Stores the response status at the members that may have recorded the claim.
    pub fn store(&self, agent: &Arc<Agent>, status: u16) {
        let (key, claim) = self.round.identity();
        for member in self.round.contacted() {
            send_without_reply(
                agent,
                self,
                *member,
                ClaimMessage::Store(key, claim, status),
            );
        }
    }

    /// Releases the claim, because the request was not run.
    pub fn release(&self, agent: &Arc<Agent>) {
        let (key, claim) = self.round.identity();
        for member in self.round.contacted() {
            send_without_reply(agent, self, *member, ClaimMessage::Release(key, claim));
        }
    }
}

/// Answers a message to this agent as a claim replica.
///
/// # Errors
/// Returns an error for a message to another service.
pub fn answer(agent: &Agent, call: ClaimCall) -> Result<ClaimReply, Status> {
    agent.check_service(call.service)?;
    let mut claims = agent
        .claims
        .lock()
        .expect("no panic while the lock is held");
    let now = agent.clock.now();
    Ok(match call.message {
        ClaimMessage::Claim(key, claim) => ClaimReply::Answer(claims.claim(now, key, claim)),
        ClaimMessage::Store(key, claim, status) => {
            claims.store_status(key, claim, status);
            ClaimReply::Done
        }
        ClaimMessage::Release(key, claim) => {
            claims.release(key, claim);
            ClaimReply::Done
        }
        ClaimMessage::Transfer(transferred) => {
            let mut accepted = transferred
                .into_iter()
                .map(|claim| claims.accept_transfer(now, claim));
            if accepted.all(|done| done) {
                ClaimReply::Done
            } else {
                ClaimReply::Full
            }
        }
    })
}
