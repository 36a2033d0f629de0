//! Parsing of data nodes' load reports.

use fernknot::interface::LoadReport;
use fernknot_protocol::report::from_text;
use test_case::test_case;

#[test_case("-", None, None; "no report")]
#[test_case("served_ps=2.8,pending=3", None, Some(3.0); "queue length under its wire name")]
#[test_case("cpu_share=0.61,pending=0", Some(0.61), Some(0.0); "CPU share under its wire name")]
#[test_case("inflight=7,util=0.61", Some(0.61), None; "CPU share under its documented name")]
#[test_case("pending=many,=,cpu_share=inf,x", None, None; "malformed fields")]
fn reports_are_parsed_under_both_sets_of_names(text: &str, busy_share: Option<f64>, waiting: Option<f64>) {
    assert_eq!(from_text(text), LoadReport { busy_share, queued_parts: waiting });
}
