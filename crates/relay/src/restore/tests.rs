//! Decisions after a restore of the store, in virtual time.

use std::collections::BTreeSet;

use monsoon_flow::Evacuations;
use monsoon_model::{Duration, Instant, Number, Version};

use super::{Choice, REWRITE_WAIT, Restore, Source, choose, is_same_era};
use crate::message::{List, StoreObject};

const START: Instant = Instant::from_secs(100);

fn version(era: u64, number: u64) -> Version {
    Version::new(era, Number::of(number))
}

fn names(names: &str) -> BTreeSet<String> {
    names.split_whitespace().map(str::to_owned).collect()
}

fn set(era: u64, revision: u64, data_centres: &str) -> Evacuations {
    Evacuations {
        version: version(era, revision),
        data_centres: names(data_centres),
    }
}

/// Complete list of the store.
fn list(revision: u64) -> Source<'static> {
    Source::List(List {
        revision: Number::of(revision),
        is_complete: true,
    })
}

fn in_force(restore: &Restore) -> String {
    let names = restore.evacuations().data_centres.iter();
    names.cloned().collect::<Vec<_>>().join(" ")
}

/// State of a process that read the set in era 1, before the store is restored.
fn before_restore(data_centres: &str) -> Restore {
    let mut restore = Restore::default();
    assert!(!restore.observe(START, 1), "the first era is no restore");
    assert!(restore.offer(START, set(1, 90, data_centres), list(95)));
    restore
}

/// Guards against the copy of a configuration that replaces a newer one, and against a change after
/// the restore that is ignored, also before the revisions have caught up.
#[test]
fn a_configuration_of_the_copy_does_not_come_into_force() {
    let present = Some(version(1, 9));
    assert_eq!(choose(None, version(0, 4)), Choice::Adopt);
    assert_eq!(choose(present, version(1, 8)), Choice::Ignore);
    assert_eq!(choose(present, version(1, 10)), Choice::Adopt);
    // The copy, the same one written again, and a change after the restore.
    assert_eq!(
        choose(present, version(2, 7)),
        Choice::Restamp(version(2, 9))
    );
    assert_eq!(choose(present, version(2, 9)), Choice::Adopt);
    assert_eq!(choose(present, version(2, 10)), Choice::Adopt);
    // What operators write again in order counts as older than the restamped one.
    let restamped = Some(version(2, 9));
    assert_eq!(choose(restamped, version(2, 8)), Choice::Ignore);
    // A late response of the former era.
    assert_eq!(choose(restamped, version(1, 12)), Choice::Ignore);
    // A second restore follows, and its copy is older still.
    assert_eq!(
        choose(restamped, version(3, 2)),
        Choice::Restamp(version(3, 9))
    );
}

/// Guards against an evacuation that was withdrawn and comes back with the set of a peer that could
/// not read the store since, because no process is left that saw its end (review/6).
#[test]
fn a_set_from_before_the_list_does_not_come_into_force() {
    let mut restore = Restore::default();
    restore.observe(START, 1);
    assert!(restore.offer(START, set(1, 0, ""), list(60)));
    assert!(restore.offer(START, set(1, 50, "brno"), Source::Peer));
    assert_eq!(in_force(&restore), "");
    // The version tells the peer that its set is outdated.
    assert_eq!(restore.evacuations().version, version(1, 60));
    // A set of a later change comes into force.
    assert!(restore.offer(START, set(1, 61, "olomouc"), Source::Peer));
    assert_eq!(in_force(&restore), "olomouc");
}

/// Guards against a withdrawn evacuation that comes back beside others that are in force.
#[test]
fn one_evacuation_of_several_does_not_come_back() {
    let mut restore = Restore::default();
    restore.observe(START, 1);
    assert!(restore.offer(START, set(1, 40, "olomouc"), list(60)));
    assert!(restore.offer(START, set(1, 50, "brno olomouc"), Source::Peer));
    assert_eq!(in_force(&restore), "olomouc");
    // An equal set of an earlier revision changes no version.
    let mut other = Restore::default();
    other.observe(START, 1);
    assert!(other.offer(START, set(1, 40, "olomouc"), list(60)));
    assert!(other.offer(START, set(1, 50, "olomouc"), Source::Peer));
    assert_eq!(other.evacuations().version, version(1, 50));
}

/// Guards against an evacuation that ends because the list of a process that has just started holds
/// an entry which it cannot read, and against one that ends during a restore.
#[test]
fn a_list_that_is_not_complete_decides_nothing() {
    let mut restore = Restore::default();
    restore.observe(START, 1);
    let incomplete = Source::List(List {
        revision: Number::of(60),
        is_complete: false,
    });
    assert!(restore.offer(START, set(1, 0, ""), incomplete));
    assert!(restore.offer(START, set(1, 50, "brno"), Source::Peer));
    assert_eq!(in_force(&restore), "brno");
    let mut restored = before_restore("");
    restored.observe(START, 2);
    assert!(restored.offer(START, set(2, 0, ""), list(60)));
    assert!(restored.offer(START, set(2, 50, "brno"), Source::Peer));
    assert_eq!(in_force(&restored), "brno");
}

/// Guards against an evacuation that ends because the copy lacks its entry.
#[test]
fn an_evacuation_that_the_copy_lacks_stays_until_it_is_removed() {
    let mut restore = before_restore("brno olomouc");
    let later = START + Duration::from_secs(1);
    assert!(restore.observe(later, 2));
    assert!(restore.offer(later, set(2, 40, "brno plzen"), list(41)));
    // The copy holds one evacuation that had ended.
    assert_eq!(in_force(&restore), "brno olomouc plzen");
    // Changes of other entries do not end it.
    let changes = names("plzen");
    assert!(restore.offer(later, set(2, 42, "brno"), Source::Changes(&changes)));
    assert_eq!(in_force(&restore), "brno olomouc");
    // It is written again and removed.
    let changes = names("olomouc");
    assert!(restore.offer(later, set(2, 43, "brno olomouc"), Source::Changes(&changes)));
    assert!(restore.offer(later, set(2, 44, "brno"), Source::Changes(&changes)));
    assert_eq!(in_force(&restore), "brno");
}

/// Guards against a removal that is missed because the entry was written and removed between two
/// reads of the changes.
#[test]
fn an_entry_that_was_written_and_removed_at_once_ends_the_evacuation() {
    let mut restore = before_restore("brno");
    restore.observe(START, 2);
    restore.offer(START, set(2, 0, ""), list(41));
    assert_eq!(in_force(&restore), "brno");
    let changes = names("brno");
    assert!(restore.offer(START, set(2, 43, ""), Source::Changes(&changes)));
    assert_eq!(in_force(&restore), "");
}

/// Guards against an evacuation that never ends because nobody writes its entry again.
#[test]
fn an_evacuation_that_is_not_written_again_ends_after_the_wait() {
    let mut restore = before_restore("brno");
    restore.observe(START, 2);
    restore.offer(START, set(2, 0, ""), list(41));
    let almost = START + REWRITE_WAIT.saturating_sub(Duration::from_millis(1));
    assert!(restore.expire(almost).is_empty());
    assert_eq!(in_force(&restore), "brno");
    assert_eq!(restore.expire(START + REWRITE_WAIT), names("brno"));
    assert_eq!(in_force(&restore), "");
}

/// Guards against a second restore whose copy lacks what was found after the first one.
#[test]
fn a_second_restore_retains_what_the_first_one_had_kept() {
    let mut restore = before_restore("brno olomouc");
    assert!(restore.observe(START, 2));
    restore.offer(START, set(2, 40, "brno"), list(41));
    let second = START + Duration::from_secs(8);
    assert!(restore.observe(second, 3));
    restore.offer(second, set(3, 0, ""), list(20));
    assert_eq!(in_force(&restore), "brno olomouc");
    assert!(restore.expire(START + REWRITE_WAIT).is_empty());
    assert_eq!(restore.expire(second + REWRITE_WAIT), names("brno olomouc"));
    // The second one is noticed before the first one was handled.
    let mut restore = before_restore("brno");
    restore.observe(START, 2);
    restore.observe(START, 3);
    restore.offer(START, set(3, 0, ""), list(20));
    assert_eq!(in_force(&restore), "brno");
}

/// Guards against a late response of a former era, which may arrive before the set of the new era.
#[test]
fn a_late_response_of_a_former_era_changes_nothing() {
    let mut restore = before_restore("brno");
    restore.observe(START, 2);
    assert!(!restore.offer(START, set(1, 99, ""), Source::Changes(&names("brno"))));
    assert!(!restore.offer(START, set(1, 99, ""), list(99)));
    assert!(!restore.observe(START, 1));
    assert_eq!((restore.era(), in_force(&restore).as_str()), (2, "brno"));
}

/// Guards against a process that learns of the era from a peer, and then ends an evacuation that
/// the peer retains, because the store's list lacks it.
#[test]
fn a_set_of_a_peer_is_kept_until_the_store_was_read() {
    let mut restore = before_restore("brno");
    restore.observe(START, 2);
    assert!(restore.offer(START, set(2, 40, "olomouc plzen"), Source::Peer));
    assert_eq!(in_force(&restore), "brno olomouc plzen");
    assert!(restore.offer(START, set(2, 40, "plzen"), list(41)));
    assert_eq!(in_force(&restore), "brno olomouc plzen");
    restore.expire(START + REWRITE_WAIT);
    assert_eq!(in_force(&restore), "plzen");
}

/// Guards against a process that cannot reach the store and keeps an evacuation for ever, which a
/// peer has retained and ended without a new revision.
#[test]
fn a_process_without_the_store_follows_its_peers() {
    let mut restore = before_restore("brno");
    restore.observe(START, 2);
    assert!(restore.offer(START, set(2, 40, "brno"), Source::Peer));
    let almost = START + REWRITE_WAIT.saturating_sub(Duration::from_millis(1));
    assert!(restore.offer(almost, set(2, 40, ""), Source::Peer));
    assert_eq!(in_force(&restore), "brno");
    assert!(restore.offer(almost, set(2, 40, "brno"), Source::Peer));
    restore.expire(START + REWRITE_WAIT);
    assert_eq!(in_force(&restore), "brno");
    let recheck_at = START + REWRITE_WAIT + super::RECHECK_DELAY;
    assert!(restore.take_recheck(recheck_at));
    // The peer depends on another one and has not ended it yet.
    assert!(restore.offer(recheck_at, set(2, 40, "brno"), Source::Peer));
    let recheck_at = recheck_at + super::RECHECK_DELAY;
    assert!(restore.take_recheck(recheck_at));
    assert!(restore.offer(recheck_at, set(2, 40, ""), Source::Peer));
    assert_eq!(in_force(&restore), "");
    let later = (0..20).map(|number| recheck_at + Duration::from_secs(5 * number));
    let repeated = later.filter(|&at| restore.take_recheck(at)).count();
    assert_eq!(repeated, 3, "the reads end");
}

/// Guards against an agent that relies on peers before it has read the store in the new era, and
/// against one that watches the store for ever because it cannot be reached.
#[test]
fn a_process_reads_the_store_after_a_restore() {
    let mut restore = before_restore("brno");
    assert!(!restore.needs_store(START));
    assert!(restore.announce(START, 2));
    assert!(!restore.announce(START, 2), "each era is read once");
    assert!(restore.needs_store(START));
    assert_eq!(restore.era(), 1, "an announcement makes no response late");
    restore.observe(START, 2);
    restore.offer(START, set(2, 40, "brno"), list(41));
    restore.set_read(StoreObject::Catalogue);
    assert!(restore.needs_store(START));
    restore.set_read(StoreObject::Places);
    assert!(!restore.needs_store(START));
    // A restore whose copy lacks an evacuation: the store is read once more at the end.
    restore.observe(START, 3);
    restore.offer(START, set(3, 0, ""), list(20));
    restore.set_read(StoreObject::Catalogue);
    restore.set_read(StoreObject::Places);
    let end = START + REWRITE_WAIT;
    restore.expire(end);
    assert!(restore.needs_store(end) && !restore.take_recheck(end));
    let recheck_at = end + super::RECHECK_DELAY;
    assert!(restore.take_recheck(recheck_at) && !restore.take_recheck(recheck_at));
    assert!(!restore.needs_store(recheck_at + super::RECHECK_TIME));
}

/// Guards against a last read that all processes make at the same instant.
#[test]
fn the_last_read_has_a_delay_of_its_own() {
    let spread = Duration::from_secs(2);
    let mut restore = Restore::new(spread);
    restore.observe(START, 1);
    restore.offer(START, set(1, 90, "brno"), list(95));
    restore.observe(START, 2);
    restore.offer(START, set(2, 0, ""), list(41));
    let earliest = START + REWRITE_WAIT + super::RECHECK_DELAY;
    assert!(!restore.take_recheck(earliest));
    let recheck_at = earliest + spread;
    assert!(restore.needs_store(recheck_at) && restore.take_recheck(recheck_at));
}

/// Guards against an evacuation that stays although its entry was written again and removed, because
/// a peer's set of a later revision was heard before.
#[test]
fn a_change_that_a_peer_has_shown_before_ends_the_evacuation() {
    let mut restore = before_restore("brno olomouc");
    restore.observe(START, 2);
    restore.offer(START, set(2, 40, "olomouc"), list(41));
    // The peer did not know the evacuation before the restore.
    assert!(restore.offer(START, set(2, 50, "olomouc"), Source::Peer));
    assert_eq!(in_force(&restore), "brno olomouc");
    let changes = names("brno");
    assert!(restore.offer(START, set(2, 43, "brno olomouc"), Source::Changes(&changes)));
    assert_eq!(restore.evacuations(), &set(2, 50, "olomouc"));
    assert!(!restore.offer(START, set(2, 48, "olomouc"), Source::Changes(&changes)));
    assert_eq!(restore.evacuations(), &set(2, 50, "olomouc"));
}

/// Guards against a store without eras that is handled in another way than before.
#[test]
fn without_eras_the_list_of_the_store_takes_precedence() {
    let mut restore = Restore::default();
    assert!(!restore.observe(START, 0));
    restore.offer(START, set(0, 14, "brno"), Source::Peer);
    assert!(restore.offer(START, set(0, 3, ""), list(20)));
    assert_eq!(restore.evacuations(), &set(0, 20, ""));
    assert!(!restore.offer(START, set(0, 19, "brno"), Source::Peer));
    assert!(!restore.needs_store(START));
}

/// Guards against a write that counts as done although it met another registry, and against one
/// that is never done because the store states no era.
#[test]
fn a_write_across_eras_is_a_conflict() {
    assert!(!is_same_era(Some(1), Some(2)));
    assert!(is_same_era(Some(2), Some(2)));
    assert!(is_same_era(None, Some(2)) && is_same_era(Some(2), None));
}
