//! The `columns` module lays text out in columns.

/// The space between two columns.
const GAP: &str = "  ";

/// Lays `rows` out under `heads`, each column as wide as its widest cell.
pub fn columns<const N: usize>(heads: [&str; N], rows: &[[String; N]]) -> String {
    let mut widths = heads.map(str::len);
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut text = line(&heads, &widths);
    for row in rows {
        text.push_str(&line(row, &widths));
    }
    text
}

fn line(cells: &[impl AsRef<str>], widths: &[usize]) -> String {
    let padded = cells.iter().zip(widths).map(|(cell, width)| format!("{:<width$}", cell.as_ref()));
    let line = padded.collect::<Vec<_>>().join(GAP);
    format!("{}\n", line.trim_end())
}
