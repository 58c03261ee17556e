//! Guards against example documents that the parser refuses.

use monsoon_config::Document;

#[test]
fn examples_parse_and_succeed_themselves() {
    for text in [
        include_str!("../../../examples/karavanex.toml"),
        include_str!("../../../examples/directorate.toml"),
    ] {
        let document = Document::parse(text).unwrap_or_else(|faults| panic!("{faults}"));
        assert_eq!(document.data_centres.len(), 3);
        assert_eq!(document.services.len(), 2);
        document
            .check_successor(&document)
            .expect("a document succeeds itself");
    }
}
