//! Entries that are repeated or can never match.

use compact_str::CompactString;

use super::{Draft, Field, Finding, RouteEntry, Subject};
use crate::keys::KeyHash;

pub(super) fn check(draft: &Draft, findings: &mut Vec<Finding>) {
    check_names(draft, findings);
    for (at, entry) in draft.routes.iter().enumerate() {
        check_route(entry, &draft.routes[..at], findings);
    }
    if draft.routes.is_empty() && draft.has_all_routes {
        findings.push(Finding::warning(
            Subject::Document,
            Field::Routes,
            "there are no routes: every request gets 404",
        ));
    }
    check_services(draft, findings);
    check_keys(draft, findings);
}

fn check_names(draft: &Draft, findings: &mut Vec<Finding>) {
    let routes = draft.routes.iter().map(|entry| {
        let subject = Subject::Route(entry.position);
        (subject, &entry.route.name)
    });
    find_repeated(routes, "route", findings);
    let services = draft.services.iter().map(|entry| {
        let subject = Subject::Service(entry.position);
        (subject, &entry.name)
    });
    find_repeated(services, "service", findings);
    // Repeated names of tenants are found by the decoder, which leaves the second entry out.
}

fn find_repeated<'a>(
    names: impl Iterator<Item = (Subject, &'a CompactString)>,
    kind: &str,
    findings: &mut Vec<Finding>,
) {
    let mut seen: Vec<&CompactString> = Vec::new();
    for (subject, name) in names {
        if name.is_empty() {
            let text = format!("the {kind} has an empty name");
            findings.push(Finding::error(subject, Field::Name, text));
        } else if seen.contains(&name) {
            let text = format!("another {kind} before it is named \"{name}\"");
            findings.push(Finding::error(subject, Field::Name, text));
        }
        seen.push(name);
    }
}

/// Checks a queue. Those before it in the document go first if prefixes are equally long.
fn check_route(entry: &RouteEntry, before: &[RouteEntry], findings: &mut Vec<Finding>) {
    let subject = Subject::Route(entry.position);
    let route = &entry.route;
    if let Some(reason) = host_fault(&route.host) {
        findings.push(Finding::error(subject, Field::Host, reason));
    }
    if !route.prefix.is_empty() && !route.prefix.starts_with('/') {
        findings.push(Finding::error(
            subject,
            Field::Prefix,
            "the prefix matches no path: paths start with \"/\"",
        ));
    } else if route.prefix.contains(['?', '#']) {
        findings.push(Finding::error(
            subject,
            Field::Prefix,
            "the prefix matches no path: queries and fragments aren't part of it",
        ));
    }
    // Longer prefixes go first, so only an equal prefix hides a route.
    let shadow = before
        .iter()
        .map(|entry| &entry.route)
        .find(|other| other.host.eq_ignore_ascii_case(&route.host) && other.prefix == route.prefix);
    if let Some(shadow) = shadow {
        let text = format!(
            "the route can never match: route \"{}\" has the same host and prefix and comes first",
            shadow.name
        );
        findings.push(Finding::error(subject, Field::Prefix, text));
    }
}

/// Returns why no request has this host.
fn host_fault(host: &str) -> Option<&'static str> {
    let is_port = |port: &str| port.bytes().all(|b| b.is_ascii_digit());
    if host.is_empty() {
        Some("the host is empty: no request has an empty host")
    } else if host.contains(|c: char| c.is_whitespace() || c == '/') {
        Some("the host matches no request: it contains a space or \"/\"")
    } else if host.rsplit_once(':').is_some_and(|(_, port)| is_port(port)) {
        Some("the host matches no request: ports are removed before hosts are compared")
    } else {
        None
    }
}

fn check_services(draft: &Draft, findings: &mut Vec<Finding>) {
    let services = &draft.services;
    if !draft.lists_services || !draft.has_all_services {
        return;
    }
    if services.is_empty() {
        if !draft.routes.is_empty() {
            findings.push(Finding::warning(
                Subject::Document,
                Field::Services,
                "the list of services is empty, and routes name services",
            ));
        }
        return;
    }
    for entry in &draft.routes {
        let name = &entry.route.policy.service;
        if !services.iter().any(|service| service.name == *name) {
            let subject = Subject::Route(entry.position);
            let text = format!("there is no service \"{name}\"");
            findings.push(Finding::error(subject, Field::Service, text));
        }
    }
    if !draft.has_all_routes {
        return;
    }
    for service in services {
        let mut routes = draft.routes.iter();
        if !routes.any(|entry| entry.route.policy.service == service.name) {
            let subject = Subject::Service(service.position);
            let text = format!("no route leads to service \"{}\"", service.name);
            findings.push(Finding::warning(subject, Field::Name, text));
        }
    }
}

fn check_keys(draft: &Draft, findings: &mut Vec<Finding>) {
    if !draft.checks_keys {
        return;
    }
    let mut seen: Vec<(KeyHash, usize)> = Vec::new();
    for entry in &draft.tenants {
        for key in &entry.keys {
            let owner = seen.iter().find(|(other, _)| other == key);
            let subject = Subject::Tenant(entry.position);
            match owner {
                Some((_, position)) if *position == entry.position => {
                    let text = "a key is listed twice";
                    findings.push(Finding::warning(subject, Field::Keys, text));
                }
                Some((_, position)) => {
                    let owner = draft
                        .tenants
                        .iter()
                        .find(|other| other.position == *position);
                    let owner = owner.map_or("", |other| &other.terms.name);
                    let text = format!("a key belongs to tenant \"{owner}\", which comes first");
                    findings.push(Finding::error(subject, Field::Keys, text));
                }
                None => seen.push((*key, entry.position)),
            }
        }
    }
    let is_closed = |entry: &&RouteEntry| !entry.route.is_public;
    let closed = draft.routes.iter().filter(is_closed).count();
    if closed == 0 {
        return;
    }
    if seen.is_empty() {
        let text =
            format!("no tenant has a key: {closed} routes that aren't public answer 401 to all");
        findings.push(Finding::error(Subject::Document, Field::Tenants, text));
        return;
    }
    for entry in draft.tenants.iter().filter(|entry| entry.keys.is_empty()) {
        let subject = Subject::Tenant(entry.position);
        let text = format!(
            "tenant \"{}\" has no key: it can't send to the {closed} routes that aren't public",
            entry.terms.name
        );
        findings.push(Finding::warning(subject, Field::Keys, text));
    }
}
