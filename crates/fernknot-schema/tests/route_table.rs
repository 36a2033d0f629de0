//! Look-up of routes: a request gets its host's route with the longest prefix of its path.

mod common;

use common::{config_json, parse_config};
use fernknot_schema::{RouteTable, RoutingConfig};
use proptest::prelude::*;
use test_case::test_case;

#[test_case("file10.example", "/gozi722/2f", Some(1); "longest prefix")]
#[test_case("FILE10.Example:8080", "/gozi722/", Some(1); "port and capital letters")]
#[test_case("file10.example", "/gozi722", Some(2); "path shorter than the longest prefix")]
#[test_case("file10.example", "/else/2f", Some(2); "shorter prefix")]
#[test_case("file10.example", "/else?to=/gozi722/", Some(2); "prefix in the query only")]
#[test_case("daka4.example", "/hubo77/2f", None; "no matching prefix")]
#[test_case("daka4.example", "*", None; "asterisk instead of a path")]
#[test_case("nobody.example", "/", None; "unknown host")]
#[test_case("", "", None; "empty host and path")]
fn given_a_request_when_looked_up_then_it_gets_the_longest_prefix_of_its_host(
    host: &str,
    path: &str,
    route: Option<usize>,
) {
    let table = RouteTable::new(&parse_config(&config_json()).unwrap());
    assert_eq!(table.find(host, path), route);
}

fn config(prefixes: &[String]) -> RoutingConfig {
    let mut config = parse_config(&config_json()).unwrap();
    let route = config.routes.remove(1);
    config.routes.clear();
    for prefix in prefixes {
        let mut route = route.clone();
        route.path_prefix = prefix.clone();
        if !config.routes.contains(&route) {
            config.routes.push(route);
        }
    }
    config
}

proptest! {
    #[test]
    fn given_any_prefixes_when_looked_up_then_the_result_is_that_of_a_linear_search(
        prefixes in prop::collection::vec("/([ab]{1,2}/){0,3}", 0..12), path in "/([ab]{1,2}/?){0,5}",
    ) {
        let config = config(&prefixes);
        let expected = (0..config.routes.len())
            .filter(|index| path.starts_with(&config.routes[*index].path_prefix))
            .max_by_key(|index| config.routes[*index].path_prefix.len());
        prop_assert_eq!(RouteTable::new(&config).find("file10.example", &path), expected);
    }

    #[test]
    fn given_any_host_and_path_when_looked_up_then_nothing_panics(host: String, path: String) {
        RouteTable::new(&config(&["/".into(), "/é/".into()])).find(&host, &path);
    }
}
