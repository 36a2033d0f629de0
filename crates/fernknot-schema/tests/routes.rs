mod common;

use common::{plan_json, read_plan};
use fernknot_schema::{RouteTable, RoutingConfig};
use proptest::prelude::*;
use test_case::test_case;

#[test_case("file10.example", "/gozi722/2f", Some(1); "the longest prefix")]
#[test_case("FILE10.Example:8080", "/gozi722/", Some(1); "a port and capital letters")]
#[test_case("file10.example", "/gozi722", Some(2); "a path that ends before the prefix does")]
#[test_case("file10.example", "/else/2f", Some(2); "the shorter prefix")]
#[test_case("file10.example", "/else?to=/gozi722/", Some(2); "a query that does not count")]
#[test_case("daka4.example", "/hubo77/2f", None; "a prefix that is not there")]
#[test_case("daka4.example", "*", None; "no path")]
#[test_case("nobody.example", "/", None; "an unknown host")]
#[test_case("", "", None; "nothing")]
fn given_a_request_when_its_route_is_looked_for(host: &str, path: &str, route: Option<usize>) {
    let table = RouteTable::new(&read_plan(&plan_json()).unwrap());
    assert_eq!(table.find(host, path), route);
}

fn plan(prefixes: &[String]) -> RoutingConfig {
    let mut plan = read_plan(&plan_json()).unwrap();
    let route = plan.routes.remove(1);
    plan.routes.clear();
    for prefix in prefixes {
        let mut route = route.clone();
        route.path_prefix = prefix.clone();
        if !plan.routes.contains(&route) {
            plan.routes.push(route);
        }
    }
    plan
}

proptest! {
    #[test]
    fn given_any_prefixes_when_looked_up_then_it_is_what_a_plain_search_finds(
        prefixes in prop::collection::vec("/([ab]{1,2}/){0,3}", 0..12), path in "/([ab]{1,2}/?){0,5}",
    ) {
        let plan = plan(&prefixes);
        let plain = (0..plan.routes.len())
            .filter(|at| path.starts_with(&plan.routes[*at].path_prefix))
            .max_by_key(|at| plan.routes[*at].path_prefix.len());
        prop_assert_eq!(RouteTable::new(&plan).find("file10.example", &path), plain);
    }

    #[test]
    fn given_any_host_and_path_when_looked_up_then_nothing_panics(host: String, path: String) {
        RouteTable::new(&plan(&["/".into(), "/é/".into()])).find(&host, &path);
    }
}
