//! The `columns` module formats text as a table with aligned columns.

/// The separator between two columns.
const SEPARATOR: &str = "  ";

/// Formats `rows` under `headings`. Each column is as wide as its widest cell.
pub fn columns<const N: usize>(headings: [&str; N], rows: &[[String; N]]) -> String {
    let mut widths = headings.map(str::len);
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut text = format_line(&headings, &widths);
    for row in rows {
        text.push_str(&format_line(row, &widths));
    }
    text
}

fn format_line(cells: &[impl AsRef<str>], widths: &[usize]) -> String {
    let padded = cells.iter().zip(widths).map(|(cell, width)| format!("{:<width$}", cell.as_ref()));
    let line = padded.collect::<Vec<_>>().join(SEPARATOR);
    format!("{}\n", line.trim_end())
}
