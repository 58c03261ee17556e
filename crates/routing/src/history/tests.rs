//! Tests of changes that are merged into one batch.

use std::net::{Ipv4Addr, SocketAddrV4};

use monsoon_model::{DataCentreId, Instant};

use super::History;
use crate::table::Endpoint;
use crate::update::Changes;

fn endpoint(id: u32) -> Endpoint {
    let agent = SocketAddrV4::new(Ipv4Addr::from(id), 1);
    Endpoint {
        agent,
        data_centre: DataCentreId(1),
    }
}

/// Guards against an endpoint index that overflows after many changes in one batch, which would
/// route flows to a wrong agent, and against a later change that replaces the oldest candidate.
#[test]
fn merged_changes_keep_the_oldest_candidate() {
    let mut history = History::default();
    let now = Instant::from_secs(1);
    for id in 0..70_000 {
        // Other buckets change only after more endpoints were replaced than a 16-bit index counts.
        let bucket = (id.max(69_900) - 69_900) as u16;
        let changes = Changes {
            endpoints: vec![endpoint(id)],
            replaced: vec![(bucket, 0)],
            ignored: 0,
        };
        assert_eq!(history.push(now, changes), 0);
    }
    assert!(history.previous(now, 0).eq([endpoint(0)]));
    for id in 69_901..70_000 {
        assert!(
            history
                .previous(now, id as usize - 69_900)
                .eq([endpoint(id)]),
            "{id}"
        );
    }
    assert_eq!(history.previous(Instant::from_secs(11), 1).count(), 0);
}
