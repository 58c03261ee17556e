//! HTTP control of the fabric.

use std::net::SocketAddr;
use std::sync::Arc;

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::json;

use super::service::Shared;
use super::spray::{MAX_BALANCERS, Rates};
use crate::error::Error;
use crate::web::{self, Body, Server};

/// Largest control request, which is a full list of balancers.
const MAX_CONTROL_BYTES: usize = 64 << 10;

pub(super) async fn start(port: u16, shared: Arc<Shared>) -> Result<Server, Error> {
    let handler = move |request| {
        let shared = Arc::clone(&shared);
        async move { Ok(handle(&shared, request).await) }
    };
    Server::start(port, handler).await
}

async fn handle(shared: &Shared, request: Request<Incoming>) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/counts") => web::json(StatusCode::OK, &shared.lock().counts),
        (&Method::POST, "/balancers") => set_balancers(shared, request).await,
        (&Method::POST, "/faults") => set_rates(shared, request).await,
        _ => web::status(StatusCode::NOT_FOUND),
    }
}

async fn set_balancers(shared: &Shared, request: Request<Incoming>) -> Response<Body> {
    let list: Vec<SocketAddr> = match web::read_json(request.into_body(), MAX_CONTROL_BYTES).await {
        Ok(list) => list,
        Err(reply) => return reply,
    };
    if list.len() > MAX_BALANCERS {
        return web::status(StatusCode::PAYLOAD_TOO_LARGE);
    }
    log::info!("fabric: now uses {} balancers", list.len());
    let reply = web::json(StatusCode::OK, &list);
    shared.lock().balancers = list;
    reply
}

async fn set_rates(shared: &Shared, request: Request<Incoming>) -> Response<Body> {
    match web::read_json::<Rates>(request.into_body(), MAX_CONTROL_BYTES).await {
        Ok(rates) if rates.is_valid() => {
            shared.lock().rates = rates;
            web::json(StatusCode::OK, &rates)
        }
        Ok(_) => web::json(
            StatusCode::BAD_REQUEST,
            &json!({ "error": "rates must be 0 to 1" }),
        ),
        Err(reply) => reply,
    }
}
