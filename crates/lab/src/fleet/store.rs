//! Simulated store with two versioned objects. It can be down or slow, and can lose answers and the
//! newest values.

use monsoon_lease::ObjectState;
use monsoon_model::{Duration, Instant, Version};

use super::network::Rng;

/// Configuration object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Object {
    Document,
    Evacuations,
}

pub const OBJECTS: [Object; 2] = [Object::Document, Object::Evacuations];

/// Value of an object, with the id of the change that wrote it.
#[derive(Clone, Debug)]
pub struct Value {
    pub version: Version,
    pub change: String,
    pub text: String,
}

impl Value {
    pub fn object_state(&self) -> ObjectState {
        ObjectState {
            version: self.version,
            change: self.change.clone(),
        }
    }
}

/// Store of one environment.
#[derive(Debug)]
pub struct Store {
    /// Values of each object in order of acceptance, the present one last.
    values: [Vec<Value>; 2],
    /// Version of the last write. It survives the loss of values, so that no version is used twice.
    last_version: Version,
    pub down_until: Instant,
    pub slow_until: Instant,
    /// Share of the answers to writes that are lost, per thousand.
    pub lost_permille: u64,
    /// Watches that wait for a newer value, as process and object.
    pub watches: Vec<(usize, Object)>,
}

impl Store {
    pub fn new(document: &str) -> Self {
        let value = |text: &str| {
            vec![Value {
                version: Version::of(1),
                change: "first".to_owned(),
                text: text.to_owned(),
            }]
        };
        Self {
            values: [value(document), value("out = []\n")],
            last_version: Version::of(1),
            down_until: Instant::ZERO,
            slow_until: Instant::ZERO,
            lost_permille: 0,
            watches: Vec::new(),
        }
    }

    pub fn is_down(&self, now: Instant) -> bool {
        now < self.down_until
    }

    /// Time that a call takes, up to 1.5 s while the store is slow.
    pub fn delay(&self, now: Instant, rng: &mut Rng) -> Duration {
        let spread = if now < self.slow_until { 1_500 } else { 4 };
        Duration::from_micros(1_000 + rng.below(spread) * 1_000)
    }

    pub fn get(&self, object: Object) -> &Value {
        self.values[object as usize]
            .last()
            .expect("the first value is never lost")
    }

    /// Writes a value if `condition` is the present version. Returns the new version, or `None` on
    /// a conflict.
    pub fn put(
        &mut self,
        object: Object,
        condition: Option<Version>,
        change: String,
        text: String,
    ) -> Option<Version> {
        let present = self.get(object).version;
        if condition != Some(present) {
            return None;
        }
        let version = Version::of(self.last_version.packed() + 1);
        self.last_version = version;
        self.values[object as usize].push(Value {
            version,
            change,
            text,
        });
        Some(version)
    }

    /// Loses the newest value of an object, but never the first.
    pub fn lose_newest(&mut self, object: Object) {
        let values = &mut self.values[object as usize];
        if values.len() > 1 {
            values.pop();
        }
    }
}
