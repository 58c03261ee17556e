//! Plain text tables.

/// Table with a header; columns are as wide as their longest cell, lines have no trailing spaces.
pub fn table(header: &[&str], rows: &[Vec<String>]) -> String {
    let header: Vec<String> = header.iter().map(|cell| (*cell).to_owned()).collect();
    let all: Vec<&Vec<String>> = std::iter::once(&header).chain(rows).collect();
    let width = |column: usize| {
        let cells = all.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..header.len()).map(width).collect();
    let line = |row: &&Vec<String>| {
        let cells = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_owned()
    };
    all.iter().map(line).collect::<Vec<_>>().join("\n")
}
