//! HTTP requests that several tests share.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use monsoon_standin::web;
use serde_json::Value;

/// Time after which a test that waits for a condition fails.
const TIMEOUT: Duration = Duration::from_secs(20);

pub fn request(
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Request<Full<Bytes>> {
    let mut builder = Request::builder().method(method).uri(path);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder.body(Full::from(body.to_owned())).unwrap()
}

pub async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> std::io::Result<Response<Bytes>> {
    web::call(address, request(method, path, headers, body)).await
}

pub async fn get_json(address: SocketAddr, path: &str) -> Value {
    let response = send(address, "GET", path, &[], "").await.unwrap();
    serde_json::from_slice(response.body()).unwrap()
}

pub async fn post(address: SocketAddr, path: &str, body: &str) {
    let response = send(address, "POST", path, &[], body).await.unwrap();
    assert!(response.status().is_success(), "{path}: {response:?}");
}

/// Polls a JSON page until `condition` is met; fails with the last page after [`TIMEOUT`].
pub async fn wait_for(
    address: SocketAddr,
    path: &str,
    condition: impl Fn(&Value) -> bool,
) -> Value {
    let deadline = tokio::time::Instant::now() + TIMEOUT;
    loop {
        let page = get_json(address, path).await;
        if condition(&page) {
            return page;
        }
        assert!(
            tokio::time::Instant::now() < deadline,
            "{path} stayed at {page}"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
