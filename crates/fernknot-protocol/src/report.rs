//! Parsing of the load that a data node reports of itself, limited to the fields of [`LoadReport`].

use fernknot::interface::LoadReport;

/// Returns the report with the values of the named fields; unknown names and numbers that are not finite are ignored.
///
/// Each field has two accepted names: first the one of the bench's wire format, which nodes use on sockets too, then
/// the one in the example of the node protocol's documentation.
pub fn from_fields<'a>(fields: impl Iterator<Item = (&'a str, f64)>) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in fields.filter(|(_, value)| value.is_finite()) {
        match name {
            "cpu_share" | "util" => report.busy_share = Some(value),
            "pending" | "queue" => report.queued_parts = Some(value),
            _ => {}
        }
    }
    report
}

/// Parses a report in the form of frames: comma-separated `name=value` pairs, or `-` for an empty report.
pub fn from_text(text: &str) -> LoadReport {
    let fields = text.split(',').filter_map(|field| field.split_once('='));
    from_fields(fields.filter_map(|(name, value)| Some((name, value.parse().ok()?))))
}
