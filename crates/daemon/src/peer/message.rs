//! Messages of the peer service.
//!
//! They are encoded with `postcard`, so the order and types of fields and variants are the format.

use bytes::Bytes;
use monsoon_admission::Load;
use monsoon_execution::claim::{Answer, ClaimId, KeyHash, TransferredClaim};
use monsoon_model::{ServiceId, Version, Versions};
use serde::{Deserialize, Serialize};

/// Head of a request for another target.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExecuteHead {
    /// Service that the caller addressed.
    pub service: ServiceId,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Names and values of the headers for the target.
    pub headers: Vec<(String, Bytes)>,
    /// Time left until the caller's deadline, in milliseconds; `None` for streams.
    pub deadline_ms: Option<u64>,
}

/// Part of a request for another target.
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
    /// Names and values of the headers.
    pub headers: Vec<(String, Bytes)>,
}

/// Part of the response to a request from another agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ResponseFrame {
    /// The request is admitted and its body may follow. Carries the present load of the target.
    Admitted(Load),
    /// The request was not and will not be run. Carries the present load of the target.
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
    /// What the replica is to do.
    pub message: ClaimMessage,
}

/// Instruction to a claim replica.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ClaimMessage {
    /// Record a claim.
    Claim(KeyHash, ClaimId),
    /// Store the response status of the attempt that owns the claim.
    Store(KeyHash, ClaimId, u16),
    /// Release the claim of an attempt that was not run.
    Release(KeyHash, ClaimId),
    /// Take over the claims of a leaving replica.
    Transfer(Vec<TransferredClaim>),
}

/// Reply of a claim replica.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub enum ClaimReply {
    /// Answer to a claim.
    Answer(Answer),
    /// The message was carried out.
    Done,
    /// The replica has no room for some of the claims.
    Full,
}

/// Call for configuration texts that are newer than the caller's.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct FetchCall {
    /// Versions in force at the caller.
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

/// Configuration texts that are newer than the caller's.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct FetchReply {
    /// Newer document, if there is one.
    pub document: Option<ObjectText>,
    /// Newer set of data centres taken out of service, if there is one.
    pub evacuations: Option<ObjectText>,
}
