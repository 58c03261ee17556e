//! Keys of new flows.

use std::net::{IpAddr, SocketAddr};

use ring::hmac;

use crate::Keyring;

/// Key of a new flow: keyed hash of the caller's address and chosen destination connection ID.
///
/// The hash is keyed because a caller that could predict it could direct all its flows to one
/// target. Balancers with different current phases derive different keys for one flow.
pub fn flow_key(keys: &Keyring, caller: SocketAddr, dcid: &[u8]) -> u64 {
    let mut context = hmac::Context::with_key(&keys.current().flow);
    // A dual-stack socket reports IPv4 callers as mapped IPv6 addresses; the key must not depend
    // on the type of socket.
    match caller.ip().to_canonical() {
        IpAddr::V4(ip) => context.update(&ip.octets()),
        IpAddr::V6(ip) => context.update(&ip.octets()),
    }
    context.update(&caller.port().to_be_bytes());
    context.update(dcid);
    let hash = context.sign();
    hash.as_ref()[..8]
        .iter()
        .fold(0, |key, byte| key << 8 | u64::from(*byte))
}
