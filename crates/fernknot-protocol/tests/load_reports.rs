//! Load reports of data nodes.

use fernknot::interface::LoadReport;
use fernknot_protocol::report::from_text;
use test_case::test_case;

#[test_case("-", None, None; "none")]
#[test_case("served_ps=2.8,pending=3", None, Some(3.0); "words of the wire")]
#[test_case("cpu_share=0.61,pending=0", Some(0.61), Some(0.0); "share of the processor")]
#[test_case("inflight=7,util=0.61", Some(0.61), None; "words of the page")]
#[test_case("pending=many,=,cpu_share=inf,x", None, None; "strange")]
fn reports_are_read_under_either_name(text: &str, busy_share: Option<f64>, waiting: Option<f64>) {
    assert_eq!(from_text(text), LoadReport { busy_share, queued_parts: waiting });
}
