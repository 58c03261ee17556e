//! Sockets of the process and the addresses at which others reach them.

use std::net::{IpAddr, SocketAddr, SocketAddrV4};
use std::sync::Arc;

use derive_more::{Display, Error};
use tokio::net::{TcpListener, UdpSocket};

use crate::settings::Settings;

/// Size of a receive buffer in bytes. It fits a packet of 1,500 bytes in its envelope.
pub const MAX_DATAGRAM: usize = 2_048;

/// A socket that cannot be opened.
#[derive(Debug, Display, Error)]
#[display(
    "cannot listen on {address} ({purpose}): {source}; choose a free port or stop the process that uses it"
)]
pub struct BindError {
    purpose: &'static str,
    address: SocketAddr,
    source: std::io::Error,
}

/// Open sockets of the process.
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
    /// Addresses to announce for these sockets.
    pub addresses: Addresses,
}

/// Addresses at which other processes reach this one.
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
    /// Opens the sockets that the settings name.
    ///
    /// # Errors
    /// Returns the first address on which no socket can be opened.
    pub async fn open(settings: &Settings) -> Result<Self, BindError> {
        let control = bind_udp("control", settings.control).await?;
        let data = bind_udp("data", settings.data).await?;
        let peer = bind_tcp("peer", settings.peer).await?;
        let admin = bind_tcp("admin", settings.admin).await?;
        let addresses = Addresses {
            control: advertised("control", control.local_addr(), settings)?,
            data: match advertised("data", data.local_addr(), settings)? {
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
            peer: advertised("peer", peer.local_addr(), settings)?,
            admin: advertised("admin", admin.local_addr(), settings)?,
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

/// Opens a UDP socket; `purpose` names it in the error.
///
/// # Errors
/// Returns the address and the reason when it cannot be opened.
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

/// Address of a bound socket as others see it: with the advertised IP address if the socket is bound
/// to all interfaces.
fn advertised(
    purpose: &'static str,
    bound: std::io::Result<SocketAddr>,
    settings: &Settings,
) -> Result<SocketAddr, BindError> {
    let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
    let bound = bound.map_err(|source| BindError {
        purpose,
        address: unspecified,
        source,
    })?;
    let ip: IpAddr = match settings.advertise {
        Some(ip) if bound.ip().is_unspecified() => ip,
        _ => bound.ip(),
    };
    Ok(SocketAddr::new(ip, bound.port()))
}
