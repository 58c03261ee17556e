use monsoon_config::Document;

use super::documents;
use super::fit::Series;

/// Guards against a wrong slope, intercept or residual, from which all figures of the capacity page
/// are derived. The fourth point lies 4 above the line through the others.
#[test]
fn line_and_residuals_of_known_points() {
    let exact = Series::new("y", "x", [1, 2, 5, 9], |x| 3.0 + 0.5 * x as f64);
    let line = exact.line();
    assert!((line.intercept - 3.0).abs() < 1e-9 && (line.slope - 0.5).abs() < 1e-9);
    let off = Series::new("y", "x", [0, 1, 2, 3], |x| if x == 3 { 4.0 } else { 0.0 });
    insta::assert_snapshot!(off.row());
}

/// Guards against the measurement of a document that is rejected or lacks services.
#[test]
fn measured_document_is_accepted() {
    let document = Document::parse(&documents::text(360)).expect("document has no faults");
    assert_eq!(
        (document.services.len(), document.data_centres.len()),
        (360, 7)
    );
}
