//! Measures what the pace costs an agent per request.

use divan::{Bencher, black_box};
use monsoon_admission::Pace;
use monsoon_model::{Duration, Instant};

const LATENCY: Duration = Duration::from_millis(24);

fn main() {
    divan::main();
}

/// Records one answer after the other, and reads the limit before each request.
fn answer(pace: &mut Pace, now: &mut Instant) -> Option<f64> {
    let sent_at = *now;
    *now += LATENCY;
    pace.answered(*now, sent_at, LATENCY);
    pace.limit(black_box(*now))
}

/// One answer of a target at full concurrency.
#[divan::bench]
fn answer_at_full_concurrency(bencher: Bencher<'_, '_>) {
    let (mut pace, mut now) = (Pace::full(2), Instant::ZERO);
    bencher.bench_local(|| answer(&mut pace, &mut now));
}

/// One answer of a paced target, which one of 16 failures keeps below its full concurrency.
#[divan::bench]
fn answer_while_paced(bencher: Bencher<'_, '_>) {
    let (mut pace, mut now, mut count) = (Pace::full(2), Instant::ZERO, 0_u32);
    bencher.bench_local(|| {
        count += 1;
        if count.is_multiple_of(16) {
            pace.restart(now);
            pace.failed(now, now);
        }
        answer(&mut pace, &mut now)
    });
}

/// From a restart to full concurrency, with as many requests in flight as allowed.
#[divan::bench(args = [2, 8, 64])]
fn restart_to_full_concurrency(bencher: Bencher<'_, '_>, slots: u16) {
    let (mut pace, mut now) = (Pace::full(slots), Instant::ZERO);
    bencher.bench_local(|| {
        now += Duration::from_secs(60);
        pace.restart(now);
        while let Some(limit) = pace.limit(now) {
            let sent_at = now;
            now += LATENCY;
            for _ in 0..limit as u32 {
                pace.answered(now, sent_at, LATENCY);
            }
        }
    });
}
