//! Snapshots of fault lists. They guard against a fault kind that is no longer found, is reported
//! at another key or line, or hides the faults after it.

use std::collections::BTreeSet;
use std::fmt::Write;

use monsoon_config::{Document, Evacuations, FaultKind, Faults, MAX_FAULTS, MAX_TEXT, diff};
use monsoon_model::hash;

const GOOD: &str = include_str!("../../../examples/karavanex.toml");

fn faults(text: &str) -> Faults {
    Document::parse(text).expect_err("text has faults")
}

/// Name of the variant, without its fields.
fn kind(kind: &FaultKind) -> String {
    let text = format!("{kind:?}");
    text.split([' ', '{']).next().unwrap_or_default().to_owned()
}

#[test]
fn every_fault_is_reported_at_once() {
    let found = faults(include_str!("faults.toml"));
    insta::assert_snapshot!(found);
    let kinds: BTreeSet<_> = found.list().iter().map(|fault| kind(&fault.kind)).collect();
    insta::assert_snapshot!(kinds.into_iter().collect::<Vec<_>>().join(" "));
}

#[test]
fn empty_text_names_the_missing_keys() {
    insta::assert_snapshot!(faults(""));
}

#[test]
fn syntax_faults_keep_their_lines() {
    insta::assert_snapshot!(faults(
        "tenant = \"a\"\n[[service]\nname = \"b\"\nslots = = 4\n"
    ));
}

#[test]
fn sizes_are_bounded() {
    let long = "#".repeat(MAX_TEXT + 1);
    insta::assert_snapshot!(faults(&long));
    let (service, _) = GOOD
        .split_once("\n[[service]]\nname = \"dilna\"")
        .expect("dilna is listed");
    let class = "[[service.class]]\nname = \"a\"\nmethod = \"A\"\npath = \"/\"\nidempotent = true\nweight = 1\ndeadline_ms = 1\n";
    let found = faults(&(service.to_owned() + &class.repeat(30)));
    let many = found
        .list()
        .iter()
        .find(|fault| kind(&fault.kind) == "TooMany");
    insta::assert_snapshot!(many.expect("the list is too long"));
    let many: String = (0..6_000).fold(String::new(), |mut text, i| {
        writeln!(text, "key{i} = 1").expect("a string takes every write");
        text
    });
    let found = faults(&many);
    assert_eq!(found.list().len(), MAX_FAULTS + 1);
    let quoted = faults(&format!("tenant = \"{}\\u001b\"", "x".repeat(1_000))).to_string();
    assert!(quoted.len() < 500 && !quoted.contains('\u{1b}'), "{quoted}");
    insta::assert_snapshot!(found.list()[MAX_FAULTS]);
}

#[test]
fn successor_keeps_numbers_and_names() {
    let previous = Document::parse(GOOD).expect("example parses");
    let next = GOOD
        .replace("tenant = \"karavanex\"", "tenant = \"directorate\"")
        .replace("name = \"brno-a\"", "name = \"brno-c\"")
        .replace(
            "name = \"dilna\"\nnumber = 2",
            "name = \"dilna\"\nnumber = 9",
        );
    let next = Document::parse(&next).expect("text parses");
    insta::assert_snapshot!(
        next.check_successor(&previous)
            .expect_err("numbers changed")
    );
}

/// Guards against a number that is free again after the document that removed it.
#[test]
fn removed_numbers_stay_taken() {
    let start = GOOD
        .find("[[service]]\nname = \"dilna\"")
        .expect("example lists dilna");
    let previous = Document::parse(GOOD).expect("example parses");
    let removed = Document::parse(&GOOD[..start]).expect("text parses");
    insta::assert_snapshot!(
        removed
            .check_successor(&previous)
            .expect_err("number dropped")
    );
    let kept = format!(
        "{}[[retired_service]]\nname = \"dilna\"\nnumber = 2\n",
        &GOOD[..start]
    );
    let kept = Document::parse(&kept).expect("text parses");
    kept.check_successor(&previous)
        .expect("the number stays taken");
    let reused = GOOD.replace("name = \"dilna\"", "name = \"sklad\"");
    let reused = Document::parse(&reused).expect("text parses");
    insta::assert_snapshot!(reused.check_successor(&kept).expect_err("number reused"));
}

#[test]
fn places_round_trip_and_report_faults() {
    let evacuations = Evacuations::parse("out = [\"brno-a\", \"olomouc\"]").expect("text parses");
    assert_eq!(Evacuations::parse(&evacuations.to_text()), Ok(evacuations));
    let text = "out = [\n  \"brno-a\",\n  \"Brno\",\n  \"brno-a\",\n]\nin = 1\n";
    insta::assert_snapshot!(Evacuations::parse(text).expect_err("text has faults"));
}

/// Guards against a text that ends the process or passes with broken relations. Odd seeds from
/// 1 to 3000 replace up to four pieces of the example, even ones swap two lines or
/// remove one.
#[test]
fn damaged_texts_are_refused_or_sound() {
    let pieces = [
        "\"",
        "[[",
        "]",
        "=",
        "\n",
        "1",
        "-0.5",
        "true",
        "\u{e9}",
        "name = \"brno-a\"\n",
        "{",
    ];
    let mut sound = 0;
    for seed in 1..=3_000 {
        let draw = |step: u64, bound: usize| (hash::mix(seed, step) % bound as u64) as usize;
        let mut text = GOOD.to_owned();
        for step in 0..=seed % 4 {
            let start = text.floor_char_boundary(draw(step * 3, text.len()));
            let end = text.floor_char_boundary((start + draw(step * 3 + 1, 12)).min(text.len()));
            text.replace_range(
                start..end.max(start),
                pieces[draw(step * 3 + 2, pieces.len())],
            );
        }
        if seed % 2 == 0 {
            let mut lines: Vec<_> = GOOD.lines().collect();
            let count = lines.len();
            let first = draw(20, count);
            if seed % 4 == 0 {
                lines.remove(first);
            } else {
                lines.swap(first, (first + draw(21, 12)) % count);
            }
            text = lines.join("\n");
        }
        if let Ok(document) = Document::parse(&text) {
            sound += 1;
            document
                .check_successor(&document)
                .expect("a document succeeds itself");
            assert!(diff(&document, &document).is_empty(), "seed {seed}");
            for service in document.services.values() {
                let streams = service
                    .classes
                    .iter()
                    .all(|c| c.stream == c.deadline.is_none());
                assert!(streams && !service.addresses.is_empty(), "seed {seed}");
            }
        }
    }
    assert!(sound > 100, "only {sound} texts were accepted");
}
