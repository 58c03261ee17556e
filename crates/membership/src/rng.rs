//! Seeded pseudo-random generator for jitter and random choices.

use monsoon_model::hash::mix;

/// Counter-based generator; the same seed gives the same numbers.
#[derive(Clone, Debug)]
pub(crate) struct Rng {
    seed: u64,
    count: u64,
}

impl Rng {
    pub(crate) const fn new(seed: u64) -> Self {
        Self { seed, count: 0 }
    }

    /// Number below `bound`, zero when `bound` is zero.
    pub(crate) fn below(&mut self, bound: usize) -> usize {
        self.count += 1;
        let word = mix(self.seed, self.count);
        ((u128::from(word) * bound as u128) >> 64) as usize
    }

    /// At most `count` different items of `items`, in random order.
    pub(crate) fn pick<T: Copy>(&mut self, items: &[T], count: usize) -> Vec<T> {
        let mut order = (0..items.len()).collect::<Vec<_>>();
        let count = count.min(order.len());
        for i in 0..count {
            let j = i + self.below(order.len() - i);
            order.swap(i, j);
        }
        order[..count].iter().map(|&i| items[i]).collect()
    }
}
