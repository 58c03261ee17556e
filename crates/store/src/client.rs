//! Calls of the object API: read, watch and conditional write.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, ETAG, HOST};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use monsoon_model::Version;
use tokio::time::timeout;

use crate::connection::{ExchangeError, Response, exchange};
use crate::error::{PutError, StoreError};
use crate::object::{Condition, MAX_OBJECT, StoredObject, is_object_name, version_of};

/// Most store addresses; they are tried in turn, and each may take a whole timeout.
pub const MAX_ADDRESSES: usize = 8;
/// Timeout of a read.
const GET_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a write; longer than that of a read, because a lost response costs a further read.
const PUT_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest wait of a watch, although the store waits up to 30 s. The answer may be lost while the
/// connection stays open, which only a further call shows. Bounds the time for which a change is
/// missed.
const MAX_WATCH: Duration = Duration::from_secs(2);
/// Timeout of a watch at one address, longer than the wait of the store. [`MAX_WATCH`], which covers
/// all addresses, ends a watch earlier.
const WATCH_TIMEOUT: Duration = Duration::from_secs(35);

/// Result of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchResult {
    /// The object has this newer version.
    Newer(Version, StoredObject),
    /// No newer version was returned while the client waited.
    Unchanged,
    /// The store has an older version or no object, for example after it lost data. It answers at
    /// once, so the caller has to pause before the next watch.
    Behind(Option<Version>),
}

/// Client of one store, which has several addresses.
#[derive(Debug)]
pub struct Client {
    addresses: Vec<SocketAddr>,
    /// Index of the address that answered last; it is tried first.
    preferred: AtomicUsize,
}

impl Client {
    /// Creates a client that tries these addresses in turn.
    ///
    /// # Errors
    /// Returns an error when there is no address or there are more than [`MAX_ADDRESSES`].
    pub fn new(addresses: impl IntoIterator<Item = SocketAddr>) -> Result<Self, StoreError> {
        let addresses: Vec<_> = addresses.into_iter().collect();
        let (count, limit) = (addresses.len(), MAX_ADDRESSES);
        match count {
            0 => Err(StoreError::NoAddress),
            _ if count > limit => Err(StoreError::TooManyAddresses { count, limit }),
            _ => Ok(Self {
                addresses,
                preferred: AtomicUsize::new(0),
            }),
        }
    }

    /// Reads the version and value of an object; `None` when it doesn't exist.
    ///
    /// # Errors
    /// Returns an error when no address answers or the response doesn't follow the protocol.
    pub async fn get(&self, name: &str) -> Result<Option<(Version, StoredObject)>, StoreError> {
        let response = self.read(name, "", GET_TIMEOUT).await?;
        match response.status {
            StatusCode::OK => object(name, &response).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(unexpected(name, status)),
        }
    }

    /// Waits until the object has a version newer than `after`, at most [`MAX_WATCH`]. The next watch
    /// then asks another address, because this one may not answer at all.
    ///
    /// # Errors
    /// Returns an error when no address answers or the response doesn't follow the protocol.
    pub async fn watch(&self, name: &str, after: Version) -> Result<WatchResult, StoreError> {
        let query = format!("?watch={}", after.packed());
        let answer = timeout(MAX_WATCH, self.read(name, &query, WATCH_TIMEOUT)).await;
        let Ok(response) = answer else {
            let next = self.preferred.load(Ordering::Relaxed) + 1;
            self.preferred
                .store(next % self.addresses.len(), Ordering::Relaxed);
            return Ok(WatchResult::Unchanged);
        };
        let response = response?;
        match response.status {
            StatusCode::OK => {
                let (version, stored) = object(name, &response)?;
                let is_newer = version > after;
                Ok(if is_newer {
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

    /// Writes an object if the condition holds, and returns its new version.
    ///
    /// # Errors
    /// Returns [`PutError::UnknownOutcome`] when the write may have taken effect; after every other
    /// error it didn't.
    pub async fn put(
        &self,
        name: &str,
        condition: Condition,
        stored: &StoredObject,
    ) -> Result<Version, PutError> {
        check_name(name).map_err(PutError::NotSent)?;
        let body = body_of(name, stored)?;
        let mut reasons = Vec::new();
        for address in self.addresses_in_order() {
            let request = put_request(address, name, condition, body.clone());
            match exchange(address, request, PUT_TIMEOUT).await {
                Ok(response) => return self.put_result(address, &response),
                // Nothing was sent to this address, so the next one may be tried.
                Err(error @ ExchangeError::Connect { .. }) => reasons.push(error.to_string()),
                Err(error @ (ExchangeError::Broken { .. } | ExchangeError::TooLarge { .. })) => {
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
                reason: "the response has no version".to_owned(),
            }),
            StatusCode::PRECONDITION_FAILED => Err(PutError::Conflict { present: version }),
            // A server or proxy may have forwarded the write before it failed.
            status if status.is_server_error() => Err(PutError::UnknownOutcome {
                reason: format!("{address}: status {}", status.as_u16()),
            }),
            status => Err(PutError::Refused {
                status: status.as_u16(),
            }),
        }
    }

    async fn read(
        &self,
        name: &str,
        query: &str,
        timeout: Duration,
    ) -> Result<Response, StoreError> {
        check_name(name)?;
        let mut reasons = Vec::new();
        for address in self.addresses_in_order() {
            let request = request(address, Method::GET, &format!("/objects/{name}{query}"));
            match exchange(address, request, timeout).await {
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

    /// All addresses, the one that answered last first.
    fn addresses_in_order(&self) -> impl Iterator<Item = SocketAddr> {
        let first = self.preferred.load(Ordering::Relaxed);
        let count = self.addresses.len();
        (0..count).map(move |step| self.addresses[(first + step) % count])
    }

    fn prefer(&self, address: SocketAddr) {
        let position = self.addresses.iter().position(|&known| known == address);
        self.preferred
            .store(position.unwrap_or(0), Ordering::Relaxed);
    }
}

/// Fetches a page from another process's HTTP listener, such as its histograms.
///
/// # Errors
/// Returns an error when the address doesn't answer in time or answers with a status other than
/// 200.
pub async fn fetch(address: SocketAddr, path: &str) -> Result<Bytes, StoreError> {
    let response = fetch_response(address, path).await?;
    if response.status == StatusCode::OK {
        Ok(response.body)
    } else {
        Err(unexpected(&format!("{address}{path}"), response.status))
    }
}

/// Fetches a page whatever its status is, for callers that show the body of an error.
///
/// # Errors
/// Returns an error when the address doesn't answer in time.
pub async fn fetch_response(address: SocketAddr, path: &str) -> Result<Response, StoreError> {
    let request = request(address, Method::GET, path);
    let response = exchange(address, request, GET_TIMEOUT).await;
    response.map_err(|error| StoreError::Unreachable {
        reason: error.to_string(),
    })
}

fn check_name(name: &str) -> Result<(), StoreError> {
    let is_valid = is_object_name(name);
    if is_valid {
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
    // The name was checked and an address prints as ASCII, so the request is always valid.
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
    let version = version.ok_or_else(|| malformed("the ETag has no version".to_owned()))?;
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
