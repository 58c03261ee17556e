//! Hash for rendezvous rankings.
//!
//! All processes must rank members in the same order, so the function is fixed here and does not
//! depend on the hasher of the standard library. It distributes keys evenly but is not resistant to
//! chosen inputs; keys that a caller controls are hashed with a secret first.

/// Mixes two integers into one (the finaliser of `SplitMix64` over their combination).
pub const fn mix(a: u64, b: u64) -> u64 {
    let mut z = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29);
    z = z.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Hash of a byte string (FNV-1a followed by [`mix`]).
pub const fn bytes(data: &[u8]) -> u64 {
    let mut h = 0xcbf2_9ce4_8422_2325_u64;
    let mut i = 0;
    while i < data.len() {
        h = (h ^ data[i] as u64).wrapping_mul(0x0000_0100_0000_01b3);
        i += 1;
    }
    mix(h, data.len() as u64)
}
