//! Lists that balancers send to agents: the live balancers of the data centre and the members of
//! the agent's service. A hash tells an agent whether its list is current.

use std::collections::BTreeMap;
use std::net::{SocketAddr, SocketAddrV4};

use monsoon_model::hash::mix;
use monsoon_model::{AgentId, DataCentreId};
use serde::{Deserialize, Serialize};

use crate::{Member, State};

/// A balancer, as lists carry it.
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

/// A member of a service, as lists carry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetInfo {
    /// Identity.
    pub id: AgentId,
    /// Incarnation; a new one restarts the age.
    pub incarnation: u64,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Address of the tonic server.
    pub peer: SocketAddr,
    /// State; `None` for a departed member.
    pub state: Option<State>,
    /// Seconds since the member joined or departed.
    pub age: u32,
}

/// Hash of a set of live members, independent of their order.
pub(crate) fn member_hash<'a>(members: impl IntoIterator<Item = &'a Member>) -> u32 {
    let sum = members
        .into_iter()
        .fold(0_u64, |sum, m| sum.wrapping_add(m.fingerprint()));
    mix(sum, 1) as u32
}

/// Collects the pages of one list. A page with another hash discards the pages collected so far.
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
    /// Largest number of pages of a list; a list that claims more is ignored.
    const MAX_PAGES: u16 = 256;

    /// Adds a page and returns the whole list once it is complete.
    pub(crate) fn add(&mut self, hash: u32, position: (u16, u16), list: Vec<T>) -> Option<Vec<T>> {
        let (page, pages) = position;
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
