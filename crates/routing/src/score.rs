//! Scores of weighted rendezvous hashing.
//!
//! The score of a target for a bucket is `-log2(u) / weight`, where `u` is a uniform hash of both.
//! The smallest score wins. Each target is then first in a share of the buckets proportional to its
//! weight, and a change of one target moves only buckets to or from that target. The arithmetic is
//! in fixed point, so that all processes rank alike regardless of their floating-point library.

use monsoon_model::hash::mix;

/// Number of fraction bits of a logarithm.
const LOG_BITS: u32 = 32;

/// Number of fraction bits of a reciprocal weight. A logarithm has at most 38 bits, so a score has
/// at most 62.
const INVERSE_BITS: u32 = 24;

/// Number of intervals of the logarithm table.
const STEPS: usize = 256;

/// `log2(1 + i / 256)` with [`LOG_BITS`] fraction bits.
static LOGS: [u64; STEPS + 1] = logs();

const fn logs() -> [u64; STEPS + 1] {
    let mut logs = [0; STEPS + 1];
    let mut i = 0;
    while i < STEPS {
        logs[i] = log2((1 << 63) + ((i as u64) << 55));
        i += 1;
    }
    logs[STEPS] = 1 << LOG_BITS;
    logs
}

/// Returns the binary logarithm of `x / 2^63` for `x >= 2^63`, one bit per squaring.
const fn log2(x: u64) -> u64 {
    let mut x = x as u128;
    let mut log = 0;
    let mut i = 0;
    while i < LOG_BITS {
        x = (x * x) >> 63;
        log <<= 1;
        if x >= 1 << 64 {
            x >>= 1;
            log |= 1;
        }
        i += 1;
    }
    log
}

/// Returns `-log2(u / 2^64)`, interpolated linearly between table entries. The error stays below
/// 0.3 % also near zero, because the table entries are exact there.
fn minus_log2(u: u64) -> u64 {
    let u = u | 1;
    let zeros = u.leading_zeros();
    let scaled = u << zeros;
    let step = (scaled >> 55) as usize & (STEPS - 1);
    let rest = scaled >> 23 & 0xffff_ffff;
    let (low, high) = (LOGS[step], LOGS[step + 1]);
    let log = low + (((high - low) * rest) >> 32);
    (u64::from(zeros + 1) << LOG_BITS) - log
}

/// Returns the reciprocal of a weight between 1 and [`crate::MAX_WEIGHT`].
pub(crate) fn inverse_weight(weight: u32) -> u64 {
    debug_assert!(
        (1..=crate::MAX_WEIGHT).contains(&weight),
        "weight {weight} is out of range"
    );
    (1 << INVERSE_BITS) / u64::from(weight)
}

/// Returns a uniform hash of a target and a bucket.
pub(crate) fn hash(seed: u64, bucket: usize) -> u64 {
    mix(seed, bucket as u64)
}

/// Returns the score of a target for the bucket that was hashed. The smallest wins.
pub(crate) fn score(hash: u64, inverse_weight: u64) -> u64 {
    minus_log2(hash) * inverse_weight
}

/// Returns a lower bound of the score, from `-log2(u) >= 1 - u`. It rules out most targets of a
/// full ranking at half the cost of the score.
pub(crate) fn lower_bound(hash: u64, inverse_weight: u64) -> u64 {
    let bound = (!hash >> (u64::BITS - LOG_BITS)) * inverse_weight;
    debug_assert!(
        bound <= score(hash, inverse_weight),
        "the lower bound exceeds the score of hash {hash:x}"
    );
    bound
}
