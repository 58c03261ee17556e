//! Server side of the peer service.

use std::convert::Infallible;
use std::fmt;
use std::sync::Arc;
use std::task::{Context, Poll};

use futures::future::{BoxFuture, FutureExt};
use futures::stream::BoxStream;
use http_body::Body;
use tokio::net::TcpListener;
use tonic::codegen::Service;
use tonic::server::{Grpc, NamedService, StreamingService, UnaryService};
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status, Streaming};

use super::codec::PostcardCodec;
use super::message::{ClaimCall, ClaimReply, FetchCall, FetchReply, RequestFrame, ResponseFrame};
use crate::tls::Tls;

/// Largest message accepted, in bytes. It has room for a document of 1 MB.
const MAX_MESSAGE: usize = 2 << 20;

/// Stream of the frames of a response.
pub type ResponseFrames = BoxStream<'static, Result<ResponseFrame, Status>>;

/// Handler of `Execute`, which runs a request at the local target.
pub type Execute = Arc<
    dyn Fn(Streaming<RequestFrame>) -> BoxFuture<'static, Result<ResponseFrames, Status>>
        + Send
        + Sync,
>;
/// Handler of `Claim`, which answers a message to a claim replica.
pub type Claim = Arc<dyn Fn(ClaimCall) -> Result<ClaimReply, Status> + Send + Sync>;
/// Handler of `Fetch`, which returns configuration texts.
pub type Fetch = Arc<dyn Fn(FetchCall) -> FetchReply + Send + Sync>;

/// Handlers of the methods of the service.
#[derive(Clone)]
pub struct Handlers {
    pub execute: Execute,
    pub claim: Claim,
    pub fetch: Fetch,
}

impl fmt::Debug for Handlers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Handlers").finish_non_exhaustive()
    }
}

impl Handlers {
    /// Handlers of a process without a target; only `Fetch` succeeds.
    pub fn fetch_only(fetch: Fetch) -> Self {
        Self {
            execute: Arc::new(|_| {
                async { Err(Status::unimplemented("a balancer runs no requests")) }.boxed()
            }),
            claim: Arc::new(|_| Err(Status::unimplemented("a balancer stores no claims"))),
            fetch,
        }
    }
}

/// Serves the peer service until the process ends.
pub async fn serve(listener: TcpListener, tls: &Tls, handlers: Handlers) {
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let served = async {
        tonic::transport::Server::builder()
            .tls_config(tls.peer_server())?
            .add_service(PeerService { handlers })
            .serve_with_incoming(incoming)
            .await
    };
    if let Err(error) = served.await {
        log::error!(
            "peer: the peer service ended and other processes cannot call this one: {error}; check the certificate files"
        );
    }
}

#[derive(Clone, Debug)]
struct PeerService {
    handlers: Handlers,
}

impl NamedService for PeerService {
    const NAME: &'static str = "monsoon.Peer";
}

impl<B> Service<http::Request<B>> for PeerService
where
    B: Body + Send + 'static,
    B::Error: Into<tonic::codegen::StdError> + Send + 'static,
{
    type Response = http::Response<tonic::body::Body>;
    type Error = Infallible;
    type Future = BoxFuture<'static, Result<Self::Response, Infallible>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: http::Request<B>) -> Self::Future {
        let handlers = self.handlers.clone();
        async move {
            let response = match request.uri().path() {
                "/monsoon.Peer/Execute" => {
                    let method = ExecuteMethod(handlers.execute);
                    grpc::<ResponseFrame, RequestFrame>()
                        .streaming(method, request)
                        .await
                }
                "/monsoon.Peer/Claim" => {
                    let method = ClaimMethod(handlers.claim);
                    grpc::<ClaimReply, ClaimCall>().unary(method, request).await
                }
                "/monsoon.Peer/Fetch" => {
                    let method = FetchMethod(handlers.fetch);
                    grpc::<FetchReply, FetchCall>().unary(method, request).await
                }
                _ => Status::unimplemented("unknown method").into_http(),
            };
            Ok(response)
        }
        .boxed()
    }
}

fn grpc<T, U>() -> Grpc<PostcardCodec<T, U>>
where
    T: serde::Serialize + Send + 'static,
    U: serde::de::DeserializeOwned + Send + 'static,
{
    Grpc::new(PostcardCodec::default()).max_decoding_message_size(MAX_MESSAGE)
}

struct ExecuteMethod(Execute);

impl StreamingService<RequestFrame> for ExecuteMethod {
    type Response = ResponseFrame;
    type ResponseStream = ResponseFrames;
    type Future = BoxFuture<'static, Result<Response<ResponseFrames>, Status>>;

    fn call(&mut self, request: Request<Streaming<RequestFrame>>) -> Self::Future {
        let response = (self.0)(request.into_inner());
        async move { response.await.map(Response::new) }.boxed()
    }
}

struct ClaimMethod(Claim);

impl UnaryService<ClaimCall> for ClaimMethod {
    type Response = ClaimReply;
    type Future = std::future::Ready<Result<Response<ClaimReply>, Status>>;

    fn call(&mut self, request: Request<ClaimCall>) -> Self::Future {
        std::future::ready((self.0)(request.into_inner()).map(Response::new))
    }
}

struct FetchMethod(Fetch);

impl UnaryService<FetchCall> for FetchMethod {
    type Response = FetchReply;
    type Future = std::future::Ready<Result<Response<FetchReply>, Status>>;

    fn call(&mut self, request: Request<FetchCall>) -> Self::Future {
        std::future::ready(Ok(Response::new((self.0)(request.into_inner()))))
    }
}
