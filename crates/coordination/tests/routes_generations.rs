//! Generations of service specifications across changes of published routes.

use std::time::Duration;

use pollendrift_coordination::routes::{
    CallerBounds, Route, RouteDocument, RouteKind, RouteTable, ServiceSpec, SourceVersion,
    SpecGenerations, WeightedService,
};

fn service(name: &str, connections: u32) -> ServiceSpec {
    ServiceSpec {
        name: name.into(),
        max_connections: connections,
        engine: None,
    }
}

fn route(number: u32) -> Route {
    Route {
        name: format!("r-{number}").into(),
        host: "a.example".into(),
        prefix: format!("/{number}/").into(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        target: Duration::from_millis(100),
        pause_target: None,
        priority: 1,
        split: vec![WeightedService {
            service: "x".into(),
            weight: 1,
        }],
        max_attempts: 2,
        public: true,
    }
}

fn table(version: u64, routes: u32, services: Vec<ServiceSpec>) -> RouteTable {
    RouteTable::build(RouteDocument {
        version: SourceVersion(version),
        routes: (0..routes).map(route).collect(),
        services,
        bounds: CallerBounds {
            head_bytes: 16_384,
            body_bytes: 100_000,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        customers: None,
    })
}

// Guards against a new generation for an unchanged specification. Operators change routes many
// times a second, and a new generation updates the engines in the planner, which pauses every
// stream of a small host.
#[test]
fn only_a_changed_specification_gets_a_new_generation() {
    let changes = [
        ("first", 1, 3, vec![service("x", 10), service("y", 10)]),
        (
            "more routes",
            2,
            900,
            vec![service("x", 10), service("y", 10)],
        ),
        (
            "another order",
            3,
            900,
            vec![service("y", 10), service("x", 10)],
        ),
        (
            "y changed",
            4,
            900,
            vec![service("x", 10), service("y", 20)],
        ),
        ("y gone", 5, 3, vec![service("x", 10)]),
        (
            "y as before",
            6,
            3,
            vec![service("x", 10), service("y", 20)],
        ),
    ];
    let mut generations = SpecGenerations::default();
    let lines = changes.map(|(name, version, routes, services)| {
        let table = table(version, routes, services);
        let is_new_version = generations.update(&table);
        let again = generations.update(&table);
        let numbers = ["x", "y"].map(|service| generations.get(&service.into()).map(|e| e.0));
        format!("{name}: new version {is_new_version}, repeated {again}, x and y {numbers:?}")
    });
    insta::assert_snapshot!(lines.join("\n"), @r"
    first: new version true, repeated false, x and y [Some(1), Some(2)]
    more routes: new version true, repeated false, x and y [Some(1), Some(2)]
    another order: new version true, repeated false, x and y [Some(1), Some(2)]
    y changed: new version true, repeated false, x and y [Some(1), Some(3)]
    y gone: new version true, repeated false, x and y [Some(1), None]
    y as before: new version true, repeated false, x and y [Some(1), Some(4)]
    ");
}
