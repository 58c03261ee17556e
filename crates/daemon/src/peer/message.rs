//! Messages of the peer service.

use bytes::Bytes;
use monsoon_admission::Load;
use monsoon_execution::claim::{Answer, ClaimId, KeyHash, TransferredClaim};
use monsoon_model::{ServiceId, Version, Versions};
use serde::{Deserialize, Serialize};

/// Head of a request that is to run at another target.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExecuteHead {
    /// Service that the caller addressed.
    pub service: ServiceId,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Header names and values that go to the target.
    pub headers: Vec<(String, Bytes)>,
    /// Time left until the caller's deadline, in milliseconds; `None` for streams.
    pub deadline_ms: Option<u64>,
}

/// Frame of a request on its way to another target.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum RequestFrame {
    /// First frame.
    Head(ExecuteHead),
    /// Part of the body.
    Data(Bytes),
    /// End of the body.
    End,
}

/// Status and headers of a target's response.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ResponseHead {
    /// HTTP status code.
    pub status: u16,
    /// Header names and values.
    pub headers: Vec<(String, Bytes)>,
}

/// Frame of a response on its way back.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ResponseFrame {
    /// The request was admitted and its body may follow. Carries the target's present load.
    Admitted(Load),
    /// The request was not run and will not be. Carries the target's present load.
    NotRun(Load),
    /// The request may have run, and its response is lost.
    Unknown,
    /// Status and headers of the target's response.
    Head(ResponseHead),
    /// Part of the body.
    Data(Bytes),
    /// End of a complete body.
    End,
}

/// Message to a claim replica.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClaimCall {
    /// Service that the key belongs to.
    pub service: ServiceId,
    /// What to do.
    pub message: ClaimMessage,
}

/// What a claim replica is to do.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ClaimMessage {
    /// Record a claim.
    Claim(KeyHash, ClaimId),
    /// Store the response status of the attempt that holds the key.
    Store(KeyHash, ClaimId, u16),
    /// Release the claim of an attempt that was not run.
    Release(KeyHash, ClaimId),
    /// Take over claims of a leaving replica.
    Transfer(Vec<TransferredClaim>),
}

/// Answer of a claim replica.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub enum ClaimReply {
    /// Answer to a claim.
    Answer(Answer),
    /// The message was carried out.
    Done,
    /// Some of the claims found no room.
    Full,
}

/// Request for configuration texts newer than the caller's.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct FetchCall {
    /// Versions that the caller has in force.
    pub versions: Versions,
}

/// Text of a configuration object.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ObjectText {
    /// Version in the store.
    pub version: Version,
    /// TOML text.
    pub text: String,
}

/// Configuration texts newer than the caller's.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct FetchReply {
    /// Newer document, if there is one.
    pub document: Option<ObjectText>,
    /// Newer set of data centres taken out, if there is one.
    pub evacuations: Option<ObjectText>,
}
