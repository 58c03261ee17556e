//! Calls of the object API.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, ETAG, HOST};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use monsoon_model::Version;

use crate::connection::{ExchangeError, Response, exchange};
use crate::error::{PutError, StoreError};
use crate::object::{Condition, MAX_OBJECT, StoredObject, is_object_name, version_of};

/// Most store addresses; each is tried in turn and may take a whole timeout.
pub const MAX_ADDRESSES: usize = 8;
/// Time for a read.
const GET_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for a write; longer than for a read, because a lost answer costs a further read.
const PUT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for a watch: the store waits up to 30 s.
const WATCH_TIMEOUT: Duration = Duration::from_secs(35);

/// Result of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchResult {
    /// Object has this newer version.
    Newer(Version, StoredObject),
    /// Nothing newer within the waiting time of the store.
    Unchanged,
    /// Store has an older version or none, after a loss. It answers at once, so that the caller
    /// pauses before the next watch.
    Behind(Option<Version>),
}

/// Client of one store.
#[derive(Debug)]
pub struct Client {
    addresses: Vec<SocketAddr>,
    /// Position of the address that answered last; it is tried first.
    first: AtomicUsize,
}

impl Client {
    /// Client that tries these addresses in turn.
    ///
    /// # Errors
    /// Returns an error when there is no address or more than [`MAX_ADDRESSES`].
    pub fn new(addresses: impl IntoIterator<Item = SocketAddr>) -> Result<Self, StoreError> {
        let addresses: Vec<_> = addresses.into_iter().collect();
        let (count, limit) = (addresses.len(), MAX_ADDRESSES);
        match count {
            0 => Err(StoreError::NoAddress),
            _ if count > limit => Err(StoreError::TooManyAddresses { count, limit }),
            _ => Ok(Self {
                addresses,
                first: AtomicUsize::new(0),
            }),
        }
    }

    /// Present version and value of an object, `None` when it does not exist.
    ///
    /// # Errors
    /// Returns an error when no address answers or the answer does not follow the protocol.
    pub async fn get(&self, name: &str) -> Result<Option<(Version, StoredObject)>, StoreError> {
        let response = self.read(name, "", GET_TIMEOUT).await?;
        match response.status {
            StatusCode::OK => object(name, &response).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(unexpected(name, status)),
        }
    }

    /// Waits until the object has a version newer than `after`.
    ///
    /// # Errors
    /// Returns an error when no address answers or the answer does not follow the protocol.
    pub async fn watch(&self, name: &str, after: Version) -> Result<WatchResult, StoreError> {
        let response = self
            .read(name, &format!("?watch={after}"), WATCH_TIMEOUT)
            .await?;
        match response.status {
            StatusCode::OK => {
                let (version, stored) = object(name, &response)?;
                let newer = version > after;
                Ok(if newer {
                    WatchResult::Newer(version, stored)
                } else {
                    WatchResult::Behind(Some(version))
                })
            }
            StatusCode::NOT_MODIFIED => Ok(WatchResult::Unchanged),
            StatusCode::NOT_FOUND => Ok(WatchResult::Behind(None)),
            status => Err(unexpected(name, status)),
        }
    }

    /// Writes an object when the condition holds, and returns its new version.
    ///
    /// # Errors
    /// Returns [`PutError::UnknownOutcome`] when the outcome is unknown; with every other error the write
    /// did not take effect.
    pub async fn put(
        &self,
        name: &str,
        condition: Condition,
        stored: &StoredObject,
    ) -> Result<Version, PutError> {
        check_name(name).map_err(PutError::NotSent)?;
        let body = body_of(name, stored)?;
        let mut reasons = Vec::new();
        for address in self.turn() {
            let request = put_request(address, name, condition, body.clone());
            match exchange(address, request, PUT_TIMEOUT).await {
                Ok(response) => return self.put_result(address, &response),
                // Nothing was sent to this address, so that the next one may be tried.
                Err(error @ ExchangeError::Connect { .. }) => reasons.push(error.to_string()),
                Err(error @ ExchangeError::Broken { .. }) => {
                    return Err(PutError::UnknownOutcome {
                        reason: error.to_string(),
                    });
                }
            }
        }
        Err(PutError::NotSent(StoreError::Unreachable {
            reason: reasons.join("; "),
        }))
    }

    fn put_result(&self, address: SocketAddr, response: &Response) -> Result<Version, PutError> {
        self.prefer(address);
        let version = version_of(response.headers.get(ETAG));
        match response.status {
            status if status.is_success() => version.ok_or_else(|| PutError::UnknownOutcome {
                reason: "answer without a version".to_owned(),
            }),
            StatusCode::PRECONDITION_FAILED => Err(PutError::Conflict { present: version }),
            // A failing server or proxy may have passed the write on before it failed.
            status if status.is_server_error() => Err(PutError::UnknownOutcome {
                reason: format!("{address}: status {}", status.as_u16()),
            }),
            status => Err(PutError::Refused {
                status: status.as_u16(),
            }),
        }
    }

    async fn read(&self, name: &str, query: &str, limit: Duration) -> Result<Response, StoreError> {
        check_name(name)?;
        let mut reasons = Vec::new();
        for address in self.turn() {
            let request = request(address, Method::GET, &format!("/objects/{name}{query}"));
            match exchange(address, request, limit).await {
                Ok(response) if response.status.is_server_error() => {
                    reasons.push(format!("{address}: status {}", response.status.as_u16()));
                }
                Ok(response) => {
                    self.prefer(address);
                    return Ok(response);
                }
                Err(error) => reasons.push(error.to_string()),
            }
        }
        Err(StoreError::Unreachable {
            reason: reasons.join("; "),
        })
    }

    fn turn(&self) -> impl Iterator<Item = SocketAddr> {
        let first = self.first.load(Ordering::Relaxed);
        let count = self.addresses.len();
        (0..count).map(move |step| self.addresses[(first + step) % count])
    }

    fn prefer(&self, address: SocketAddr) {
        let position = self.addresses.iter().position(|&known| known == address);
        self.first.store(position.unwrap_or(0), Ordering::Relaxed);
    }
}

/// Body of a plain read of another process's HTTP listener, such as its histograms.
///
/// # Errors
/// Returns an error when the address does not answer in time or not with status 200.
pub async fn fetch(address: SocketAddr, path: &str) -> Result<Bytes, StoreError> {
    let request = request(address, Method::GET, path);
    match exchange(address, request, GET_TIMEOUT).await {
        Ok(response) if response.status == StatusCode::OK => Ok(response.body),
        Ok(response) => Err(unexpected(&format!("{address}{path}"), response.status)),
        Err(error) => Err(StoreError::Unreachable {
            reason: error.to_string(),
        }),
    }
}

fn check_name(name: &str) -> Result<(), StoreError> {
    let valid = is_object_name(name);
    if valid {
        Ok(())
    } else {
        Err(StoreError::InvalidName {
            name: name.to_owned(),
        })
    }
}

fn request(address: SocketAddr, method: Method, path: &str) -> Request<Full<Bytes>> {
    let builder = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, address.to_string());
    // The names are checked and the address prints as ASCII, so that the parts always fit.
    builder.body(Full::default()).unwrap_or_default()
}

fn put_request(
    address: SocketAddr,
    name: &str,
    condition: Condition,
    body: Bytes,
) -> Request<Full<Bytes>> {
    let mut request = request(address, Method::PUT, &format!("/objects/{name}"));
    let (header, value) = condition.header();
    request.headers_mut().insert(header, value);
    request.headers_mut().insert(
        CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    *request.body_mut() = Full::new(body);
    request
}

fn body_of(name: &str, stored: &StoredObject) -> Result<Bytes, PutError> {
    let body = serde_json::to_vec(stored).map_err(|error| {
        PutError::NotSent(StoreError::Malformed {
            name: name.to_owned(),
            reason: error.to_string(),
        })
    })?;
    let (bytes, limit) = (body.len(), MAX_OBJECT);
    if bytes > limit {
        return Err(PutError::TooLarge { bytes, limit });
    }
    Ok(Bytes::from(body))
}

fn object(name: &str, response: &Response) -> Result<(Version, StoredObject), StoreError> {
    let malformed = |reason: String| StoreError::Malformed {
        name: name.to_owned(),
        reason,
    };
    let version = version_of(response.headers.get(ETAG));
    let version = version.ok_or_else(|| malformed("no version in the ETag".to_owned()))?;
    let stored = serde_json::from_slice(&response.body);
    Ok((
        version,
        stored.map_err(|error| malformed(error.to_string()))?,
    ))
}

fn unexpected(name: &str, status: StatusCode) -> StoreError {
    StoreError::Status {
        name: name.to_owned(),
        status: status.as_u16(),
    }
}
