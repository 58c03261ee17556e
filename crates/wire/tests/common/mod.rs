//! Seeded random values and key files for the tests.
#![allow(dead_code, reason = "each test file uses a part of the helpers")]

use std::net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4};

use monsoon_model::hash::mix;
use monsoon_model::{Chain, DataCentreId, Hop, ServiceId};
use monsoon_wire::{ConnectionId, Direction, Envelope, Keyring, MAX_PATH, RawKeys};

/// Secret of a phase; every keyring that holds the phase has the same one.
fn secret(phase: u8) -> String {
    format!("{:02x}", 0xa0 + phase).repeat(32)
}

pub fn raw_keys(phase: u8, current: &str, previous: Option<&str>) -> RawKeys {
    let (current, previous) = (current.to_owned(), previous.map(str::to_owned));
    RawKeys {
        phase,
        current,
        previous,
        next: None,
    }
}

/// Keyring that signs with `phase` and, if `previous`, also verifies the phase before it.
pub fn keyring(phase: u8, previous: bool) -> Keyring {
    let before = previous.then(|| secret((phase + 7) % 8));
    let raw = raw_keys(phase, &secret(phase), before.as_deref());
    Keyring::try_from(raw).expect("valid keys")
}

pub fn hex(bytes: &[u8]) -> String {
    let digits = |text: String, byte: &u8| text + &format!("{byte:02x}");
    bytes.iter().fold(String::new(), digits)
}

/// Deterministic random number generator.
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 += 1;
        mix(self.0, 0x7769_7265)
    }

    pub fn below(&mut self, bound: usize) -> usize {
        (self.next() % bound as u64) as usize
    }

    pub fn bytes(&mut self, length: usize) -> Vec<u8> {
        (0..length).map(|_| self.next() as u8).collect()
    }

    pub fn agent(&mut self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from(self.next() as u32), self.next() as u16)
    }

    fn service(&mut self) -> ServiceId {
        ServiceId(self.next() as u16)
    }

    fn socket(&mut self) -> SocketAddr {
        let port = self.next() as u16;
        let v6 = (u128::from(self.next()) << 64 | 1).to_be_bytes();
        let v4 = (self.next() as u32).to_be_bytes();
        SocketAddr::new([IpAddr::from(v4), IpAddr::from(v6)][self.below(2)], port)
    }

    pub fn cid(&mut self) -> ConnectionId {
        let (service, data_centre) = (self.service(), DataCentreId(self.next() as u8));
        let nonce = self.next() as u32 & monsoon_wire::NONCE_MASK;
        ConnectionId {
            agent: self.agent(),
            service,
            data_centre,
            nonce,
        }
    }

    pub fn envelope(&mut self) -> Envelope {
        let mut chain = Chain::default();
        for _ in 0..self.below(5) {
            let (agent, known_only) = (self.agent(), self.below(2) == 0);
            let hop = Hop { agent, known_only };
            chain.push(hop).expect("at most 4 hops");
        }
        // Agents may shift a full chain; the hop number then exceeds its length.
        let hop = self.below([1, 1, 2, 3, MAX_PATH][chain.len()]) as u8;
        let direction = [Direction::Forward, Direction::Reply][self.below(2)];
        let (caller, address, key) = (self.socket(), self.socket(), self.next());
        let service = self.service();
        Envelope {
            direction,
            service,
            caller,
            address,
            key,
            chain,
            hop,
        }
    }

    /// Returns the datagram truncated, extended, or with one to three bytes changed.
    pub fn mutate(&mut self, datagram: &[u8]) -> Vec<u8> {
        let mut changed = datagram.to_vec();
        match self.below(4) {
            0 => changed.truncate(self.below(datagram.len())),
            1 => {
                let extra = 1 + self.below(40);
                changed.extend(self.bytes(extra));
            }
            _ => {
                for _ in 0..=self.below(3) {
                    let at = self.below(changed.len());
                    changed[at] ^= 1 + self.below(255) as u8;
                }
            }
        }
        changed
    }
}
