//! Results of the experiments for one seed.

use crate::{cold, imbalance, overload};

/// Guards against an unnoticed change of the spread and latency under unequal speeds.
#[test]
fn imbalance_is_unchanged() {
    insta::assert_snapshot!(imbalance::run(1));
}

/// Guards against an unnoticed change of the overruns of cold targets.
#[test]
fn cold_is_unchanged() {
    insta::assert_snapshot!(cold::run(1));
}

/// Guards against an unnoticed change of the goodput under overload.
#[test]
fn overload_is_unchanged() {
    insta::assert_snapshot!(overload::run(1));
}
