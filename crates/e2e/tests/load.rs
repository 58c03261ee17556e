//! Crashes and planned stops while callers send.

use monsoon_e2e::wait::pause;
use monsoon_e2e::world::{World, wait_agents};
use monsoon_e2e::{PLACES, holds};

/// Work of every class; the uploads last long enough to be under way at any moment.
const MIXED: &str = "--connections 6 --boards 6 --holds-per-second 20 --uploads 8 \
                     --upload-bytes 1000000 --upload-path /uploads";

/// Guards against flows or requests that depend on state of one balancer, and against repeated
/// execution when packets are lost with it.
#[test]
fn a_killed_balancer_breaks_nothing() {
    let mut world = World::start();
    let caller = world.caller(12, 101, MIXED);
    pause(3.0);
    world.balancers.remove(0).kill();
    let replacement = world.balancer(PLACES[0]);
    world.balancers.push(replacement);
    wait_agents(&world.balancers[1], PLACES.len());
    world.spray(&[0, 1]);

    let report = caller.finish();
    let records = world.records();
    assert_eq!(report.broken, 0);
    holds::check(&records, &[&report]);
    // The caller compares the digest of each upload with the one that the target computed.
    assert_eq!(report.sum("upload", "answered"), 8);
    let uploads = records.iter().flat_map(|record| &record.uploads);
    assert!(uploads.clone().count() >= 8);
    assert!(uploads.clone().all(|upload| upload.bytes == 1_000_000));
    assert_eq!(report.sum("board", "answered"), report.sum("board", "sent"));
    let (answered, sent) = (report.sum("hold", "answered"), report.sum("hold", "sent"));
    assert!(answered * 10 >= sent * 9, "{answered} of {sent} holds");
}
