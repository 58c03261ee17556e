//! Blocking HTTP/1.1 client for the control pages of the stand-ins and the admin pages of daemons.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::TIMEOUT;

/// Reads the JSON page at `path`.
///
/// # Errors
/// Returns an error if the process does not answer with a 2xx status and JSON.
pub fn try_get(address: SocketAddr, path: &str) -> io::Result<Value> {
    exchange(address, &format!("GET {path} HTTP/1.1"), "")
}

/// Reads the JSON page at `path` and deserializes it.
pub fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> T {
    let page = try_get(address, path).unwrap_or_else(|error| panic!("GET {path}: {error}"));
    serde_json::from_value(page).unwrap_or_else(|error| panic!("GET {path}: {error}"))
}

/// Posts a JSON body.
pub fn post(address: SocketAddr, path: &str, body: &str) {
    let posted = exchange(address, &format!("POST {path} HTTP/1.1"), body);
    posted.unwrap_or_else(|error| panic!("POST {path}: {error}"));
}

fn exchange(address: SocketAddr, request_line: &str, body: &str) -> io::Result<Value> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    let length = body.len();
    write!(
        stream,
        "{request_line}\r\nhost: {address}\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    )?;
    let mut reply = String::new();
    stream.read_to_string(&mut reply)?;
    let (header, page) = reply.split_once("\r\n\r\n").unwrap_or((&reply, ""));
    if !header.starts_with("HTTP/1.1 2") {
        return Err(io::Error::other(format!("answered with {reply:?}")));
    }
    serde_json::from_str(page).map_err(io::Error::other)
}
