//! Lists that agents hold: live balancers of the data centre and members of the own service.

use std::collections::BTreeMap;
use std::net::{SocketAddr, SocketAddrV4};

use monsoon_model::hash::mix;
use monsoon_model::{AgentId, DataCentreId};
use serde::{Deserialize, Serialize};

use crate::{Member, State};

/// A balancer as agents need it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BalancerInfo {
    /// Identity.
    pub id: AgentId,
    /// Address of the control socket.
    pub control: SocketAddr,
    /// Address of the encapsulation socket.
    pub data: SocketAddrV4,
}

impl From<&Member> for BalancerInfo {
    fn from(m: &Member) -> Self {
        Self {
            id: m.id,
            control: m.control,
            data: m.data,
        }
    }
}

/// A member of a service as agents need it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetInfo {
    /// Identity.
    pub id: AgentId,
    /// Incarnation. A new one restarts the age.
    pub incarnation: u64,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Address of the tonic server.
    pub peer: SocketAddr,
    /// State, `None` for a departed member.
    pub state: Option<State>,
    /// Seconds since it joined or departed.
    pub age: u32,
}

/// Hash of a set of live members, the same whatever the order.
pub(crate) fn member_hash<'a>(members: impl IntoIterator<Item = &'a Member>) -> u32 {
    let sum = members
        .into_iter()
        .fold(0_u64, |sum, m| sum.wrapping_add(m.fingerprint()));
    mix(sum, 1) as u32
}

/// Collects the pages of one list. A page of another hash starts the collection anew.
#[derive(Debug)]
pub(crate) struct PageCollector<T> {
    hash: u32,
    pages: BTreeMap<u16, Vec<T>>,
}

impl<T> Default for PageCollector<T> {
    fn default() -> Self {
        Self {
            hash: 0,
            pages: BTreeMap::new(),
        }
    }
}

impl<T> PageCollector<T> {
    /// Most pages of one list; a list that claims more is ignored.
    const MAX_PAGES: u16 = 256;

    /// Adds a page and returns the whole list once it is complete.
    pub(crate) fn add(&mut self, hash: u32, at: (u16, u16), list: Vec<T>) -> Option<Vec<T>> {
        let (page, pages) = at;
        if page >= pages || pages > Self::MAX_PAGES {
            return None;
        }
        if self.hash != hash {
            self.hash = hash;
            self.pages.clear();
        }
        self.pages.insert(page, list);
        if self.pages.len() < usize::from(pages) {
            return None;
        }
        let whole = std::mem::take(&mut self.pages);
        Some(whole.into_values().flatten().collect())
    }
}
