//! Test against a target that repeats its answers.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Empty};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::Target;

/// Answers each request with its path, and once more 30 ms later.
async fn answer_twice(mut stream: TcpStream) -> std::io::Result<()> {
    let mut received = Vec::new();
    loop {
        while !received.ends_with(b"\r\n\r\n") {
            received.push(stream.read_u8().await?);
        }
        let text = String::from_utf8_lossy(&received).into_owned();
        let path = text.split(' ').nth(1).unwrap_or_default();
        let length = path.len();
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{path}");
        stream.write_all(answer.as_bytes()).await?;
        tokio::time::sleep(Duration::from_millis(30)).await;
        stream.write_all(answer.as_bytes()).await?;
        received.clear();
    }
}

/// Load pattern: requests in quick succession to a target that repeats each answer. Guards against
/// a repeated answer that the caller of the next request gets as its own.
#[tokio::test]
async fn a_repeated_answer_reaches_no_other_caller() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let target = Target::new(listener.local_addr().expect("a bound socket"));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_twice(stream));
        }
    });
    for number in 0..10 {
        let path = format!("/{number}");
        let mut exchange = target.connect().await.expect("the target listens");
        let body = Empty::<Bytes>::new().map_err(|never| match never {});
        let request = Request::get(&path)
            .body(body.boxed_unsync())
            .expect("a valid request");
        let response = exchange.send(request).await.expect("an answer");
        let body = response.into_body().collect().await.expect("a whole body");
        assert_eq!(body.to_bytes(), path);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
