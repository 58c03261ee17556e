//! Scores of weighted rendezvous hashing.
//!
//! A target's score for a bucket is `-log2(u) / weight`, with `u` a uniform hash of both; the
//! smallest score wins. A target is then first in a share of the buckets proportional to its
//! weight, and a change of one target moves only buckets to or from it. The arithmetic is in
//! fixed point, so that all processes rank alike whatever their floating point library.

use monsoon_model::hash::mix;

/// Fraction bits of a logarithm.
const LOG_BITS: u32 = 32;

/// Fraction bits of a reciprocal weight. A logarithm has at most 38 bits, the product 62.
const INVERSE_BITS: u32 = 24;

const STEPS: usize = 256;

/// `log2(1 + i / 256)` with [`LOG_BITS`] fraction bits.
static LOGS: [u64; STEPS + 1] = logs();

const fn logs() -> [u64; STEPS + 1] {
    let mut out = [0; STEPS + 1];
    let mut i = 0;
    while i < STEPS {
        out[i] = log2((1 << 63) + ((i as u64) << 55));
        i += 1;
    }
    out[STEPS] = 1 << LOG_BITS;
    out
}

/// Binary logarithm of `x / 2^63` for `x >= 2^63`, one bit per squaring.
const fn log2(x: u64) -> u64 {
    let mut x = x as u128;
    let mut out = 0;
    let mut i = 0;
    while i < LOG_BITS {
        x = (x * x) >> 63;
        out <<= 1;
        if x >= 1 << 64 {
            x >>= 1;
            out |= 1;
        }
        i += 1;
    }
    out
}

/// `-log2(u / 2^64)`, linear between table entries. The error stays under 0.3 % also near zero,
/// because the entries themselves are exact there.
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

/// Reciprocal of a weight from 1 to [`crate::MAX_WEIGHT`].
pub(crate) fn inverse_weight(weight: u32) -> u64 {
    debug_assert!(
        (1..=crate::MAX_WEIGHT).contains(&weight),
        "weight {weight} is out of range"
    );
    (1 << INVERSE_BITS) / u64::from(weight)
}

/// Uniform hash of a target and a bucket.
pub(crate) fn hash(seed: u64, bucket: usize) -> u64 {
    mix(seed, bucket as u64)
}

/// Score of a target for the bucket of a hash; the smallest wins.
pub(crate) fn score(hash: u64, inverse_weight: u64) -> u64 {
    minus_log2(hash) * inverse_weight
}

/// Lower bound of the score, from `-log2(u) >= 1 - u`. Most targets of a full ranking are decided
/// by it, at half of the cost.
pub(crate) fn lower_bound(hash: u64, inverse_weight: u64) -> u64 {
    let bound = (!hash >> (u64::BITS - LOG_BITS)) * inverse_weight;
    debug_assert!(
        bound <= score(hash, inverse_weight),
        "bound exceeds the score of {hash:x}"
    );
    bound
}
