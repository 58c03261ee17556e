//! Tests of the reported faults. The snapshots guard against a kind of fault that is no longer
//! found, is reported at another key or line, or hides the faults after it.

use std::collections::BTreeSet;
use std::fmt::Write;

use monsoon_config::{Document, Evacuations, FaultKind, Faults, MAX_FAULTS, MAX_TEXT, diff};
use monsoon_model::hash;

const EXAMPLE: &str = include_str!("../../../examples/karavanex.toml");

fn faults(text: &str) -> Faults {
    Document::parse(text).expect_err("text has faults")
}

/// Name of the variant without its fields.
fn variant_name(kind: &FaultKind) -> String {
    let text = format!("{kind:?}");
    text.split([' ', '{']).next().unwrap_or_default().to_owned()
}

#[test]
fn every_fault_is_reported_at_once() {
    let found = faults(include_str!("faults.toml"));
    insta::assert_snapshot!(found);
    let kinds: BTreeSet<_> = found
        .list()
        .iter()
        .map(|fault| variant_name(&fault.kind))
        .collect();
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
    let (service, _) = EXAMPLE
        .split_once("\n[[service]]\nname = \"dilna\"")
        .expect("dilna is listed");
    let class = "[[service.class]]\nname = \"a\"\nmethod = \"A\"\npath = \"/\"\nidempotent = true\nweight = 1\ndeadline_ms = 1\n";
    let found = faults(&(service.to_owned() + &class.repeat(30)));
    let many = found
        .list()
        .iter()
        .find(|fault| variant_name(&fault.kind) == "TooMany");
    insta::assert_snapshot!(many.expect("the list is too long"));
    let unknown_keys: String = (0..6_000).fold(String::new(), |mut text, i| {
        writeln!(text, "key{i} = 1").expect("a string takes every write");
        text
    });
    let found = faults(&unknown_keys);
    assert_eq!(found.list().len(), MAX_FAULTS + 1);
    let quoted = faults(&format!("tenant = \"{}\\u001b\"", "x".repeat(1_000))).to_string();
    assert!(quoted.len() < 500 && !quoted.contains('\u{1b}'), "{quoted}");
    insta::assert_snapshot!(found.list()[MAX_FAULTS]);
}

#[test]
fn changed_numbers_and_names_are_rejected() {
    let previous = Document::parse(EXAMPLE).expect("example parses");
    let next = EXAMPLE
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

/// Guards against a number that can be reused after the document that removed it.
#[test]
fn removed_numbers_cannot_be_reused() {
    let start = EXAMPLE
        .find("[[service]]\nname = \"dilna\"")
        .expect("example lists dilna");
    let previous = Document::parse(EXAMPLE).expect("example parses");
    let removed = Document::parse(&EXAMPLE[..start]).expect("text parses");
    insta::assert_snapshot!(
        removed
            .check_successor(&previous)
            .expect_err("number dropped")
    );
    let kept = format!(
        "{}[[retired_service]]\nname = \"dilna\"\nnumber = 2\n",
        &EXAMPLE[..start]
    );
    let kept = Document::parse(&kept).expect("text parses");
    kept.check_successor(&previous)
        .expect("the number stays taken");
    let reused = EXAMPLE.replace("name = \"dilna\"", "name = \"sklad\"");
    let reused = Document::parse(&reused).expect("text parses");
    insta::assert_snapshot!(reused.check_successor(&kept).expect_err("number reused"));
}

#[test]
fn evacuations_round_trip_and_report_faults() {
    let evacuations = Evacuations::parse("out = [\"brno-a\", \"olomouc\"]").expect("text parses");
    assert_eq!(Evacuations::parse(&evacuations.to_text()), Ok(evacuations));
    let text = "out = [\n  \"brno-a\",\n  \"Brno\",\n  \"brno-a\",\n]\nin = 1\n";
    insta::assert_snapshot!(Evacuations::parse(text).expect_err("text has faults"));
}

/// Guards against a text that makes the parser panic, and against an accepted document whose
/// values contradict each other. Of the seeds 1 to 3000, odd ones replace up to four pieces of the
/// example, and even ones swap two of its lines or remove one.
#[test]
fn damaged_texts_are_rejected_or_consistent() {
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
    let mut accepted = 0;
    for seed in 1..=3_000 {
        let draw = |step: u64, bound: usize| (hash::mix(seed, step) % bound as u64) as usize;
        let mut text = EXAMPLE.to_owned();
        for step in 0..=seed % 4 {
            let start = text.floor_char_boundary(draw(step * 3, text.len()));
            let end = text.floor_char_boundary((start + draw(step * 3 + 1, 12)).min(text.len()));
            text.replace_range(
                start..end.max(start),
                pieces[draw(step * 3 + 2, pieces.len())],
            );
        }
        if seed % 2 == 0 {
            let mut lines: Vec<_> = EXAMPLE.lines().collect();
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
            accepted += 1;
            document
                .check_successor(&document)
                .expect("a document may replace itself");
            assert!(diff(&document, &document).is_empty(), "seed {seed}");
            for service in document.services.values() {
                let is_consistent = service
                    .classes
                    .iter()
                    .all(|c| c.stream == c.deadline.is_none());
                assert!(
                    is_consistent && !service.addresses.is_empty(),
                    "seed {seed}"
                );
            }
        }
    }
    assert!(accepted > 100, "only {accepted} texts were accepted");
}

/// Guards against a text of another writer that ends the process: nested too deeply, or with numbers
/// out of range.
#[test]
fn extreme_texts_are_rejected() {
    let nested = |open: &str, close: &str| {
        format!("out = {}{}", open.repeat(100_000), close.repeat(100_000))
    };
    let texts = [
        nested("[", "]"),
        nested("{ a = ", " }"),
        format!("out{} = 1", ".a".repeat(100_000)),
        "out = 1e400".to_owned(),
        "out = 99999999999999999999".to_owned(),
        "out = [18446744073709551616]".to_owned(),
        "out = [\"".to_owned() + &"x".repeat(900_000),
    ];
    for text in texts {
        let start: String = text.chars().take(40).collect();
        assert!(Evacuations::parse(&text).is_err(), "{start}");
        assert!(Document::parse(&text).is_err(), "{start}");
    }
}
