//! Processor time for signing and verifying control datagrams.

use monsoon_wire::{Keyring, RawKeys, control};

use super::fit::Series;
use super::probe;

const SIZES: [usize; 5] = [50, 200, 500, 800, 1_100];
const SIZE: &str = "bytes of the message";

/// Messages in one timed repetition, so many that the resolution of the clock does not matter.
const BATCH: usize = 2_000;

fn keys() -> Keyring {
    let raw = RawKeys {
        phase: 0,
        current: "5a".repeat(32),
        previous: None,
        next: None,
    };
    Keyring::try_from(raw).expect("secret has 64 hex digits")
}

pub fn measure() -> Vec<Series> {
    let keys = keys();
    let seal = |body: &Vec<u8>| control::seal(&keys, body).expect("message is within its bound");
    vec![
        Series::new("control message signed, µs", SIZE, SIZES, |size| {
            let body = vec![7_u8; size];
            let batch = || (0..BATCH).map(|_| seal(&body).len()).sum::<usize>();
            probe::least_micros(batch) / BATCH as f64
        }),
        Series::new("control message verified, µs", SIZE, SIZES, |size| {
            let datagram = seal(&vec![7_u8; size]);
            let open = || control::open::<Vec<u8>>(&keys, &datagram).map_or(0, |body| body.len());
            let batch = || (0..BATCH).map(|_| open()).sum::<usize>();
            probe::least_micros(batch) / BATCH as f64
        }),
    ]
}
