//! Guards against example documents that the parser rejects.

use monsoon_config::Document;

#[test]
fn examples_are_valid_and_may_replace_themselves() {
    for text in [
        include_str!("../../../examples/karavanex.toml"),
        include_str!("../../../examples/directorate.toml"),
    ] {
        let document = Document::parse(text).unwrap_or_else(|faults| panic!("{faults}"));
        assert_eq!(document.data_centres.len(), 3);
        assert_eq!(document.services.len(), 2);
        document
            .check_successor(&document)
            .expect("a document may replace itself");
    }
}
