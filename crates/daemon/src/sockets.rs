//! Sockets of the process and the addresses under which others reach them.

use std::net::{IpAddr, SocketAddr, SocketAddrV4};
use std::sync::Arc;

use derive_more::{Display, Error};
use tokio::net::{TcpListener, UdpSocket};

use crate::settings::Settings;

/// Largest datagram read, in bytes: a packet of 1,500 with its envelope, and room to spare.
pub const MAX_DATAGRAM: usize = 2_048;

/// A socket cannot be opened.
#[derive(Debug, Display, Error)]
#[display(
    "cannot listen on {address} ({purpose}): {source}; choose a free port or stop the process that uses it"
)]
pub struct BindError {
    purpose: &'static str,
    address: SocketAddr,
    source: std::io::Error,
}

/// Open sockets.
#[derive(Debug)]
pub struct Sockets {
    /// Control datagrams.
    pub control: Arc<UdpSocket>,
    /// Encapsulated datagrams.
    pub data: Arc<UdpSocket>,
    /// Peer service.
    pub peer: TcpListener,
    /// Admin listener.
    pub admin: TcpListener,
    /// Addresses of the above.
    pub addresses: Addresses,
}

/// Addresses under which other processes reach this one.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Control datagrams.
    pub control: SocketAddr,
    /// Encapsulated datagrams.
    pub data: SocketAddrV4,
    /// Peer service.
    pub peer: SocketAddr,
    /// Admin listener.
    pub admin: SocketAddr,
}

impl Sockets {
    /// Opens all sockets that the settings name.
    ///
    /// # Errors
    /// Returns the first address that cannot be used.
    pub async fn open(settings: &Settings) -> Result<Self, BindError> {
        let control = bind_udp("control", settings.control).await?;
        let data = bind_udp("data", settings.data).await?;
        let peer = bind_tcp("peer", settings.peer).await?;
        let admin = bind_tcp("admin", settings.admin).await?;
        let addresses = Addresses {
            control: seen("control", control.local_addr(), settings)?,
            data: match seen("data", data.local_addr(), settings)? {
                SocketAddr::V4(address) => address,
                SocketAddr::V6(address) => {
                    let source = std::io::Error::other("an IPv4 address is needed");
                    let address = address.into();
                    return Err(BindError {
                        purpose: "data",
                        address,
                        source,
                    });
                }
            },
            peer: seen("peer", peer.local_addr(), settings)?,
            admin: seen("admin", admin.local_addr(), settings)?,
        };
        Ok(Self {
            control: Arc::new(control),
            data: Arc::new(data),
            peer,
            admin,
            addresses,
        })
    }
}

/// Opens a UDP socket.
///
/// # Errors
/// Returns the address when it cannot be used.
pub async fn bind_udp(purpose: &'static str, address: SocketAddr) -> Result<UdpSocket, BindError> {
    let bound = UdpSocket::bind(address).await;
    bound.map_err(|source| BindError {
        purpose,
        address,
        source,
    })
}

async fn bind_tcp(purpose: &'static str, address: SocketAddr) -> Result<TcpListener, BindError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| BindError {
        purpose,
        address,
        source,
    })
}

fn seen(
    purpose: &'static str,
    bound: std::io::Result<SocketAddr>,
    settings: &Settings,
) -> Result<SocketAddr, BindError> {
    let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
    let bound = bound.map_err(|source| BindError {
        purpose,
        address: nowhere,
        source,
    })?;
    let ip: IpAddr = match settings.advertise {
        Some(ip) if bound.ip().is_unspecified() => ip,
        _ => bound.ip(),
    };
    Ok(SocketAddr::new(ip, bound.port()))
}
