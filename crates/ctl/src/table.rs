//! Tables of plain text.

/// Formats a table. Each column is as wide as its longest cell; lines have no trailing spaces.
pub fn table(header: &[&str], rows: &[Vec<String>]) -> String {
    let header: Vec<String> = header.iter().map(|cell| (*cell).to_owned()).collect();
    let all_rows: Vec<&Vec<String>> = std::iter::once(&header).chain(rows).collect();
    let width = |column: usize| {
        let cells = all_rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..header.len()).map(width).collect();
    let format_line = |row: &&Vec<String>| {
        let cells = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_owned()
    };
    all_rows
        .iter()
        .map(format_line)
        .collect::<Vec<_>>()
        .join("\n")
}
