//! A data node's report of its own load, as far as the decision module uses it.

use fernknot::interface::LoadReport;

/// The report from fields by name; unknown names and numbers that are not finite are ignored.
///
/// Guards against two sets of names: on sockets too the fields come under the names of the simulator's wire; the plain
/// names are those of the protocol's own example.
pub fn report<'a>(fields: impl Iterator<Item = (&'a str, f64)>) -> LoadReport {
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

/// The report in the form that frames have: `name=value`, separated by commas; `-` where there is none.
pub fn from_text(text: &str) -> LoadReport {
    let fields = text.split(',').filter_map(|field| field.split_once('='));
    report(fields.filter_map(|(name, value)| Some((name, value.parse().ok()?))))
}
