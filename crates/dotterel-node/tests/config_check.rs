//! Tests of the checks on a configuration and of the comparison with the one in force.

use dotterel_cell::{AdviceTerms, Policy, TenantTerms};
use dotterel_kernel::{Millis, Size};
use dotterel_node::config_check::{
    Change, Difference, DifferenceKind, Draft, Field, Finding, RouteEntry, ServiceEntry, Severity,
    Subject, TenantEntry, check, compare,
};
use dotterel_node::keys::KeyHash;
use dotterel_node::routes::{RequestLimits, Route};

fn route(position: usize, name: &str, prefix: &str) -> RouteEntry {
    RouteEntry {
        position,
        route: Route {
            name: name.into(),
            host: "h.example".into(),
            prefix: prefix.into(),
            timeout: Millis(3000),
            policy: Policy {
                queue: name.into(),
                service: "s".into(),
                max_attempts: 1,
                stretch_pct: 300,
                allowance: Millis(1000),
                ..Policy::default()
            },
            is_public: false,
            is_closed: false,
        },
        unread: Vec::new(),
    }
}

fn tenant(position: usize, name: &str, keys: &[&str]) -> TenantEntry {
    TenantEntry {
        position,
        terms: TenantTerms {
            name: name.into(),
            weight: 1.0,
            cap: Size::ZERO,
        },
        keys: keys.iter().map(|key| KeyHash::of(key)).collect(),
    }
}

fn service(position: usize, name: &str) -> ServiceEntry {
    ServiceEntry {
        position,
        name: name.into(),
        unread: Vec::new(),
    }
}

/// Returns a configuration without findings.
fn draft() -> Draft {
    Draft {
        version: Some(7),
        routes: vec![route(0, "a", "/a/"), route(1, "b", "/a/b/")],
        has_all_routes: true,
        services: vec![service(0, "s")],
        lists_services: true,
        has_all_services: true,
        tenants: vec![tenant(0, "red", &["k-1"]), tenant(1, "blue", &["k-2"])],
        has_all_tenants: true,
        checks_keys: true,
        limits: Some(RequestLimits::default()),
    }
}

/// Checks the configuration after a change.
fn findings(change: impl FnOnce(&mut Draft)) -> Vec<Finding> {
    let mut draft = draft();
    change(&mut draft);
    check(&draft, Size::ZERO)
}

/// Checks that a change causes just this finding.
fn assert_finds(
    severity: Severity,
    subject: Subject,
    field: Field,
    change: impl FnOnce(&mut Draft),
) {
    let found = findings(change);
    let [finding] = found.as_slice() else {
        panic!("{found:#?}");
    };
    let seen = (finding.severity, finding.subject, finding.field);
    assert_eq!(seen, (severity, subject, Some(field)), "{finding:?}");
}

/// Guards against findings in a sound configuration, and against findings that other tests take for theirs.
#[test]
fn a_sound_configuration_has_no_findings() {
    assert_eq!(findings(|_| {}), []);
    assert_eq!(findings(|draft| draft.lists_services = false), []);
    assert_eq!(
        findings(|draft| draft.routes.iter_mut().for_each(|entry| {
            entry.route.timeout = Millis::MAX;
            entry.route.policy.allowance = Millis::ZERO;
            entry.route.policy.stretch_pct = 100;
        })),
        []
    );
}

/// Guards against a version that no node would apply.
#[test]
fn version_zero_is_an_error() {
    assert_finds(
        Severity::Error,
        Subject::Document,
        Field::Version,
        |draft| {
            draft.version = Some(0);
        },
    );
}

/// Guards against routes that match no request.
#[test]
fn routes_that_never_match_are_errors() {
    for host in ["", "h.example:80", "http://h.example", "h example", "h:"] {
        assert_finds(Severity::Error, Subject::Route(1), Field::Host, |draft| {
            draft.routes[1].route.host = host.into();
        });
    }
    for prefix in ["b/", "/a?x=1"] {
        assert_finds(Severity::Error, Subject::Route(1), Field::Prefix, |draft| {
            draft.routes[1].route.prefix = prefix.into();
        });
    }
    assert_finds(Severity::Error, Subject::Route(1), Field::Prefix, |draft| {
        draft.routes[1].route.host = "H.Example".into();
        draft.routes[1].route.prefix = "/a/".into();
    });
}

/// Guards against false findings: a shorter prefix of the host hides nothing, and hosts are separate.
#[test]
fn overlapping_prefixes_are_sound() {
    assert_eq!(
        findings(|draft| draft.routes[0].route.prefix = "".into()),
        []
    );
    assert_eq!(
        findings(|draft| {
            draft.routes[1].route.prefix = "/a/".into();
            draft.routes[1].route.host = "other.example".into();
        }),
        []
    );
}

/// Guards against two entries of which only one takes effect.
#[test]
fn repeated_and_empty_names_are_errors() {
    for name in ["a", ""] {
        assert_finds(Severity::Error, Subject::Route(1), Field::Name, |draft| {
            draft.routes[1].route.name = name.into();
        });
    }
    assert_finds(Severity::Error, Subject::Service(1), Field::Name, |draft| {
        draft.services.push(service(1, "s"));
    });
}

/// Guards against jobs that no VM serves, and services that nothing uses.
#[test]
fn routes_and_services_must_name_each_other() {
    assert_finds(
        Severity::Error,
        Subject::Route(1),
        Field::Service,
        |draft| {
            draft.routes[1].route.policy.service = "t".into();
        },
    );
    assert_finds(
        Severity::Warning,
        Subject::Service(1),
        Field::Name,
        |draft| {
            draft.services.push(service(1, "t"));
        },
    );
    assert_finds(
        Severity::Warning,
        Subject::Document,
        Field::Services,
        |draft| draft.services.clear(),
    );
}

/// Guards against findings that follow from another one: a malformed entry may be the missing one.
#[test]
fn malformed_entries_cause_no_further_findings() {
    assert_eq!(
        findings(|draft| {
            draft.services.push(service(1, "t"));
            draft.has_all_routes = false;
        }),
        []
    );
    assert_eq!(
        findings(|draft| {
            draft.services.clear();
            draft.has_all_services = false;
        }),
        []
    );
}

#[test]
fn a_configuration_without_routes_is_a_warning() {
    let found = findings(|draft| draft.routes.clear());

    let fields: Vec<_> = found.iter().map(|finding| finding.field).collect();
    assert_eq!(fields, [Some(Field::Routes), Some(Field::Name)]);
}

/// Guards against keys that don't do what the operator expects.
#[test]
fn keys_that_are_repeated_or_missing_are_found() {
    assert_finds(Severity::Error, Subject::Tenant(1), Field::Keys, |draft| {
        draft.tenants[1] = tenant(1, "blue", &["k-2", "k-1"]);
    });
    assert_finds(
        Severity::Warning,
        Subject::Tenant(1),
        Field::Keys,
        |draft| {
            draft.tenants[1] = tenant(1, "blue", &["k-2", "k-2"]);
        },
    );
    assert_finds(
        Severity::Warning,
        Subject::Tenant(1),
        Field::Keys,
        |draft| {
            draft.tenants[1] = tenant(1, "blue", &[]);
        },
    );
    assert_finds(
        Severity::Error,
        Subject::Document,
        Field::Tenants,
        |draft| {
            draft.tenants.clear();
        },
    );
    let public = findings(|draft| {
        draft.tenants[1].keys.clear();
        for entry in &mut draft.routes {
            entry.route.is_public = true;
        }
    });
    assert_eq!(public, []);
}

/// An advice call costs 100 ms and 10 ms for each VM: 110 ms for one, 400 ms for 30.
const ADVICE: AdviceTerms = AdviceTerms {
    base_cost: Millis(100),
    per_vm_us: 10_000,
    ticket_ttl: Millis(400),
};

fn set_advice(draft: &mut Draft, advice: AdviceTerms) -> &mut Route {
    let route = &mut draft.routes[0].route;
    route.policy.advice = Some(advice);
    route.timeout = Millis(400);
    route
}

/// Guards against routes whose jobs can't wait for advice. The bounds themselves are sound.
#[test]
fn limits_below_the_cost_of_advice_are_errors() {
    let sound = findings(|draft| {
        set_advice(draft, ADVICE);
    });
    assert_eq!(sound, []);
    assert_finds(
        Severity::Error,
        Subject::Route(0),
        Field::Timeout,
        |draft| {
            set_advice(draft, ADVICE).timeout = Millis(399);
        },
    );
    assert_finds(
        Severity::Error,
        Subject::Route(0),
        Field::AdviceValidity,
        |draft| {
            let ticket_ttl = Millis(399);
            set_advice(
                draft,
                AdviceTerms {
                    ticket_ttl,
                    ..ADVICE
                },
            );
        },
    );
}

/// Guards against objectives that all jobs miss. With a stretch above 1, long jobs can meet any of them.
#[test]
fn objectives_that_no_job_can_meet_are_found() {
    let with_objective = |target, stretch_pct| {
        move |draft: &mut Draft| {
            let policy = &mut set_advice(draft, ADVICE).policy;
            policy.allowance = Millis(target);
            policy.stretch_pct = stretch_pct;
        }
    };
    let field = Field::Target;
    assert_finds(
        Severity::Error,
        Subject::Route(0),
        field,
        with_objective(109, 100),
    );
    assert_finds(
        Severity::Error,
        Subject::Route(0),
        field,
        with_objective(109, 0),
    );
    assert_finds(
        Severity::Warning,
        Subject::Route(0),
        field,
        with_objective(0, 100),
    );
    assert_eq!(findings(with_objective(110, 100)), []);
    assert_eq!(findings(with_objective(0, 101)), []);
    assert_finds(
        Severity::Error,
        Subject::Route(0),
        Field::Stretch,
        |draft| {
            draft.routes[0].route.policy.allowance = Millis::ZERO;
            draft.routes[0].route.policy.stretch_pct = 99;
        },
    );
}

#[test]
fn zero_attempts_and_timeouts_are_found() {
    assert_finds(
        Severity::Warning,
        Subject::Route(0),
        Field::MaxAttempts,
        |draft| draft.routes[0].route.policy.max_attempts = 0,
    );
    assert_finds(
        Severity::Error,
        Subject::Route(0),
        Field::Timeout,
        |draft| {
            draft.routes[0].route.timeout = Millis::ZERO;
        },
    );
}

/// Guards against limits that refuse every request, or of which one makes another ineffective.
#[test]
fn request_limits_that_contradict_each_other_are_errors() {
    let default = RequestLimits::default();
    let header_timeout = Millis(15_001);
    let cases = [
        (
            Field::HeaderTimeout,
            RequestLimits {
                header_timeout,
                ..default
            },
        ),
        (
            Field::HeaderTimeout,
            RequestLimits {
                header_timeout: Millis::ZERO,
                ..default
            },
        ),
        (
            Field::IdleTimeout,
            RequestLimits {
                idle_timeout: Millis::ZERO,
                ..default
            },
        ),
        (
            Field::MaxBody,
            RequestLimits {
                max_body: 63,
                ..default
            },
        ),
        (
            Field::MaxHead,
            RequestLimits {
                max_head: 127,
                ..default
            },
        ),
    ];
    for (field, limits) in cases {
        assert_finds(Severity::Error, Subject::Limits, field, |draft| {
            draft.limits = Some(limits);
        });
    }
}

/// Guards against a tenant that is meant to get nothing and gets a share.
#[test]
fn weight_zero_beside_others_is_a_warning() {
    assert_finds(
        Severity::Warning,
        Subject::Tenant(0),
        Field::Weight,
        |draft| {
            draft.tenants[0].terms.weight = 0.0;
        },
    );
    let none = findings(|draft| {
        for entry in &mut draft.tenants {
            entry.terms.weight = 0.0;
        }
    });
    assert_eq!(none, []);
}

/// Guards against caps below which every job is refused; no cap is no limit.
#[test]
fn caps_below_the_smallest_task_are_errors() {
    let mut draft = draft();
    draft.tenants[0].terms.cap = Size {
        milli_cores: 499,
        memory_mb: 1023,
        ..Size::ZERO
    };
    let smallest = Size {
        milli_cores: 500,
        memory_mb: 1024,
        ..Size::ZERO
    };

    let fields = |found: &[Finding]| -> Vec<_> {
        let found = found.iter();
        found
            .map(|finding| (finding.severity, finding.field))
            .collect()
    };

    assert_eq!(
        fields(&check(&draft, smallest)),
        [
            (Severity::Error, Some(Field::CapCpu)),
            (Severity::Error, Some(Field::CapMemory))
        ]
    );
    assert_eq!(check(&draft, Size::ZERO), []);
    draft.tenants[0].terms.cap = smallest;
    assert_eq!(check(&draft, smallest), []);
}

/// Compares the sound configuration with a changed one of a higher version.
fn differences(change: impl FnOnce(&mut Draft)) -> Vec<Difference> {
    let mut new = draft();
    new.version = Some(8);
    change(&mut new);
    let (differences, finding) = compare(&draft(), &new);
    assert_eq!(finding, None);
    differences
}

fn only(mut differences: Vec<Difference>) -> Difference {
    assert_eq!(differences.len(), 1, "{differences:#?}");
    differences.remove(0)
}

fn change(field: Field, old: &str, new: &str) -> Change {
    Change {
        field,
        old: old.to_owned(),
        new: new.to_owned(),
    }
}

/// Guards against a version that nodes ignore.
#[test]
fn a_version_that_is_not_higher_is_an_error() {
    for version in [6, 7] {
        let mut new = draft();
        new.version = Some(version);

        let (differences, finding) = compare(&draft(), &new);

        assert_eq!(differences, []);
        let finding = finding.expect("the version isn't higher");
        assert_eq!(finding.severity, Severity::Error);
        assert_eq!(finding.field, Some(Field::Version));
    }
    assert_eq!(differences(|_| {}), []);
}

/// Guards against a removed route whose requests reach another queue unnoticed.
#[test]
fn removed_and_added_routes_name_the_queues_whose_requests_they_take() {
    let removed = only(differences(|draft| {
        draft.routes.remove(1);
    }));
    let added = only(differences(|draft| {
        draft.routes.push(route(2, "c", "/a/b/c/"));
    }));

    assert_eq!(removed.kind, DifferenceKind::Removed);
    assert_eq!(
        (removed.name.as_str(), removed.subject),
        ("b", Subject::Route(1))
    );
    assert_eq!(removed.queues, ["a", "b"]);
    assert_eq!(removed.tenants, ["blue", "red"]);
    assert_eq!(added.kind, DifferenceKind::Added);
    assert_eq!(added.queues, ["b", "c"]);
}

/// Guards against a field of a route that is left out of the comparison.
#[test]
fn changed_routes_are_shown_field_by_field() {
    let changed = only(differences(|draft| {
        let entry = &mut draft.routes[1];
        entry.unread = vec![("kind", "\"unsafe\"".to_owned())];
        let route = &mut entry.route;
        route.host = "i.example".into();
        route.prefix = "/c/".into();
        route.timeout = Millis::MAX;
        route.is_public = true;
        route.policy.service = "t".into();
        route.policy.priority = 3;
        route.policy.max_attempts = 2;
        route.policy.allowance = Millis(900);
        route.policy.stretch_pct = 250;
        route.policy.advice = Some(ADVICE);
    }));

    assert_eq!(changed.kind, DifferenceKind::Changed);
    assert_eq!(
        changed.changes,
        [
            change(Field::Host, "h.example", "i.example"),
            change(Field::Prefix, "/a/b/", "/c/"),
            change(Field::Public, "false", "true"),
            change(Field::Timeout, "3000", "none"),
            change(Field::Service, "s", "t"),
            change(Field::Priority, "0", "3"),
            change(Field::MaxAttempts, "1", "2"),
            change(Field::Target, "1000", "900"),
            change(Field::Stretch, "3", "2.5"),
            change(
                Field::Advice,
                "none",
                "100 ms + 10 ms for each VM, valid for 400 ms"
            ),
            change(Field::Unread("kind"), "none", "\"unsafe\""),
        ]
    );
    assert_eq!(changed.queues, ["a", "b"]);
}

#[test]
fn services_are_compared_by_name() {
    let added = only(differences(|draft| draft.services.push(service(1, "t"))));
    let removed = only(differences(|draft| draft.services.clear()));
    let changed = only(differences(|draft| {
        draft.services[0].unread = vec![("max_conns", "64".to_owned())];
    }));

    assert_eq!(added.kind, DifferenceKind::Added);
    assert!(added.queues.is_empty());
    assert_eq!(removed.kind, DifferenceKind::Removed);
    assert_eq!(removed.queues, ["a", "b"]);
    assert_eq!(
        changed.changes,
        [change(Field::Unread("max_conns"), "none", "64")]
    );
}

/// Guards against keys in the comparison, and against effects on others that aren't shown: weights are relative.
#[test]
fn tenants_are_compared_without_their_keys() {
    let keys = only(differences(|draft| {
        draft.routes[0].route.is_public = false;
        draft.tenants[0] = tenant(0, "red", &["k-3", "k-4"]);
    }));
    let weight = only(differences(|draft| draft.tenants[0].terms.weight = 2.0));
    let cap = only(differences(|draft| {
        draft.tenants[0].terms.cap = Size {
            milli_cores: 1,
            memory_mb: 2,
            accelerators: 3,
            ..Size::ZERO
        };
    }));
    let added = only(differences(|draft| {
        draft.tenants.push(tenant(2, "green", &["k-3"]));
    }));
    let removed = only(differences(|draft| {
        draft.tenants.remove(0);
    }));

    assert_eq!(
        keys.changes,
        [change(Field::Keys, "1", "2 (2 added, 1 removed)")]
    );
    assert_eq!(keys.tenants, ["red"]);
    assert_eq!(weight.changes, [change(Field::Weight, "1", "2")]);
    assert_eq!(weight.tenants, ["blue", "red"]);
    assert_eq!(
        cap.changes,
        [
            change(Field::CapCpu, "none", "1"),
            change(Field::CapMemory, "none", "2"),
            change(Field::CapAccelerators, "none", "3"),
        ]
    );
    assert_eq!(cap.tenants, ["red"]);
    assert_eq!(added.kind, DifferenceKind::Added);
    assert_eq!(added.tenants, ["blue", "green", "red"]);
    assert_eq!(removed.kind, DifferenceKind::Removed);
}

/// Guards against the effect of a weight on others that is hidden by another change of the tenant.
#[test]
fn a_weight_that_changes_beside_a_cap_affects_all_tenants() {
    let changed = only(differences(|draft| {
        draft.tenants[0].terms.weight = 2.0;
        draft.tenants[0].terms.cap.milli_cores = 1000;
    }));

    assert_eq!(changed.changes.len(), 2);
    assert_eq!(changed.tenants, ["blue", "red"]);
}

/// Guards against a cell that is opened by the removal of its last tenant.
#[test]
fn the_end_of_key_checks_is_a_difference() {
    let found = differences(|draft| {
        draft.routes[0].route.is_public = false;
        draft.tenants.clear();
        draft.checks_keys = false;
    });

    assert_eq!(found.len(), 3, "{found:#?}");
    assert_eq!(found[0].subject, Subject::Document);
    assert_eq!(found[0].queues, ["a", "b"]);
}

#[test]
fn limits_are_compared() {
    let changed = only(differences(|draft| {
        draft.limits = Some(RequestLimits {
            max_body: 1,
            max_head: 2,
            header_timeout: Millis(3),
            idle_timeout: Millis(4),
        });
    }));

    assert_eq!(
        changed.changes,
        [
            change(Field::MaxBody, "262144", "1"),
            change(Field::MaxHead, "16384", "2"),
            change(Field::HeaderTimeout, "3000", "3"),
            change(Field::IdleTimeout, "15000", "4"),
        ]
    );
    assert_eq!(changed.queues, ["a", "b"]);
}

/// Guards against entries that are shown as removed and are only malformed.
#[test]
fn malformed_entries_are_not_shown_as_removed() {
    let found = differences(|draft| {
        draft.routes.clear();
        draft.services.clear();
        draft.tenants.clear();
        draft.has_all_routes = false;
        draft.has_all_services = false;
        draft.has_all_tenants = false;
        draft.limits = None;
    });

    assert_eq!(found, []);
}
