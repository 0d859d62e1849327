//! Differences between two configurations, and the tenants and queues that they affect.

use compact_str::CompactString;
use dotterel_cell::TenantTerms;
use dotterel_kernel::Millis;

use super::{Draft, Field, Finding, RouteEntry, Subject, TenantEntry, UnreadFields};
use crate::routes::{RequestLimits, Route};

/// What happened to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DifferenceKind {
    /// Only the new version has it.
    Added,
    /// Only the version in force has it.
    Removed,
    /// Both have it, with different fields.
    Changed,
}

/// A field with its values in both versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The field.
    pub field: Field,
    /// Value in the version in force.
    pub old: String,
    /// Value in the new version.
    pub new: String,
}

/// An entry that differs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// What happened to it.
    pub kind: DifferenceKind,
    /// The entry; its position is that in the new version, or in the version in force if it was removed.
    pub subject: Subject,
    /// Name of the entry; empty for those without one.
    pub name: CompactString,
    /// The fields that differ, if it was changed.
    pub changes: Vec<Change>,
    /// Names of the queues that it affects, sorted.
    pub queues: Vec<CompactString>,
    /// Names of the tenants that it affects, sorted.
    pub tenants: Vec<CompactString>,
}

/// Compares a configuration with the one in force. The finding says that the version isn't higher.
///
/// While entries of a kind are malformed in one version, those that only the other one has aren't reported: they
/// may be the malformed ones.
#[must_use]
pub fn compare(old: &Draft, new: &Draft) -> (Vec<Difference>, Option<Finding>) {
    let both = Both { old, new };
    let mut differences = Vec::new();
    both.compare_tenant_lists(&mut differences);
    both.compare_routes(&mut differences);
    both.compare_services(&mut differences);
    both.compare_tenants(&mut differences);
    both.compare_limits(&mut differences);
    let finding = match (old.version, new.version) {
        (Some(old), Some(new)) if new <= old => Some(Finding::error(
            Subject::Document,
            Field::Version,
            format!(
                "version {new} isn't higher than version {old}, which is in force: nodes ignore it"
            ),
        )),
        _ => None,
    };
    (differences, finding)
}

struct Both<'a> {
    old: &'a Draft,
    new: &'a Draft,
}

impl Both<'_> {
    fn drafts(&self) -> impl Iterator<Item = &Draft> {
        [self.old, self.new].into_iter()
    }

    /// Returns the names of the queues of both versions that the condition holds for.
    fn queues(&self, condition: impl Fn(&Route) -> bool) -> Vec<CompactString> {
        let routes = self.drafts().flat_map(|draft| &draft.routes);
        let routes = routes.map(|entry| &entry.route);
        sorted(
            routes
                .filter(|route| condition(route))
                .map(|route| route.name.clone()),
        )
    }

    fn all_tenants(&self) -> Vec<CompactString> {
        let tenants = self.drafts().flat_map(|draft| &draft.tenants);
        sorted(tenants.map(|entry| entry.terms.name.clone()))
    }

    /// Without tenants, keys aren't checked.
    fn compare_tenant_lists(&self, differences: &mut Vec<Difference>) {
        let (old, new) = (self.old.checks_keys, self.new.checks_keys);
        if old == new {
            return;
        }
        let show = |checks| {
            if checks {
                "keys are checked"
            } else {
                "keys aren't checked"
            }
        };
        differences.push(Difference {
            kind: DifferenceKind::Changed,
            subject: Subject::Document,
            name: CompactString::default(),
            changes: vec![Change {
                field: Field::Tenants,
                old: show(old).to_owned(),
                new: show(new).to_owned(),
            }],
            queues: self.queues(|route| !route.is_public),
            tenants: self.all_tenants(),
        });
    }

    fn compare_routes(&self, differences: &mut Vec<Difference>) {
        let named = |routes: &'_ [RouteEntry], name: &str| {
            routes.iter().position(|entry| entry.route.name == name)
        };
        let mut add = |kind, entry: &RouteEntry, changes, mut queues: Vec<CompactString>| {
            queues.push(entry.route.name.clone());
            differences.push(Difference {
                kind,
                subject: Subject::Route(entry.position),
                name: entry.route.name.clone(),
                changes,
                queues: sorted(queues),
                tenants: self.all_tenants(),
            });
        };
        for entry in self.old.routes.iter().filter(|_| self.new.has_all_routes) {
            if named(&self.new.routes, &entry.route.name).is_none() {
                let heir = next_match(&self.new.routes, &entry.route);
                add(DifferenceKind::Removed, entry, Vec::new(), heir);
            }
        }
        for entry in &self.new.routes {
            let Some(at) = named(&self.old.routes, &entry.route.name) else {
                if self.old.has_all_routes {
                    let from = next_match(&self.old.routes, &entry.route);
                    add(DifferenceKind::Added, entry, Vec::new(), from);
                }
                continue;
            };
            let old = &self.old.routes[at];
            let changes = route_changes(old, entry);
            if changes.is_empty() {
                continue;
            }
            let is_moved = |change: &Change| matches!(change.field, Field::Host | Field::Prefix);
            let mut queues = Vec::new();
            if changes.iter().any(is_moved) {
                queues.extend(next_match(&self.new.routes, &old.route));
                queues.extend(next_match(&self.old.routes, &entry.route));
            }
            add(DifferenceKind::Changed, entry, changes, queues);
        }
    }

    fn compare_services(&self, differences: &mut Vec<Difference>) {
        let (old, new) = (&self.old.services, &self.new.services);
        let mut add = |kind, position, name: &CompactString, changes| {
            differences.push(Difference {
                kind,
                subject: Subject::Service(position),
                name: name.clone(),
                changes,
                queues: self.queues(|route| route.policy.service == *name),
                tenants: self.all_tenants(),
            });
        };
        for entry in old.iter().filter(|_| self.new.has_all_services) {
            if !new.iter().any(|other| other.name == entry.name) {
                add(
                    DifferenceKind::Removed,
                    entry.position,
                    &entry.name,
                    Vec::new(),
                );
            }
        }
        for entry in new {
            let Some(before) = old.iter().find(|other| other.name == entry.name) else {
                if self.old.has_all_services {
                    add(
                        DifferenceKind::Added,
                        entry.position,
                        &entry.name,
                        Vec::new(),
                    );
                }
                continue;
            };
            let mut changes = Vec::new();
            push_unread(&mut changes, &before.unread, &entry.unread);
            if !changes.is_empty() {
                add(
                    DifferenceKind::Changed,
                    entry.position,
                    &entry.name,
                    changes,
                );
            }
        }
    }

    fn compare_tenants(&self, differences: &mut Vec<Difference>) {
        let closed = self.queues(|route| !route.is_public);
        let all = self.queues(|_| true);
        let mut add = |kind, entry: &TenantEntry, changes: Vec<Change>| {
            let is_keys = |change: &Change| change.field == Field::Keys;
            let is_weight = |change: &Change| change.field == Field::Weight;
            let only_keys = !changes.is_empty() && changes.iter().all(is_keys);
            // Shares are relative, so a tenant that comes, goes or changes its weight changes those of all others.
            let shares_shift = changes.is_empty() || changes.iter().any(is_weight);
            differences.push(Difference {
                kind,
                subject: Subject::Tenant(entry.position),
                name: entry.terms.name.clone(),
                queues: if only_keys {
                    closed.clone()
                } else {
                    all.clone()
                },
                tenants: if shares_shift {
                    self.all_tenants()
                } else {
                    vec![entry.terms.name.clone()]
                },
                changes,
            });
        };
        let find = |draft: &'_ Draft, name: &str| {
            draft
                .tenants
                .iter()
                .position(|entry| entry.terms.name == name)
        };
        for entry in self.old.tenants.iter().filter(|_| self.new.has_all_tenants) {
            if find(self.new, &entry.terms.name).is_none() {
                add(DifferenceKind::Removed, entry, Vec::new());
            }
        }
        for entry in &self.new.tenants {
            match find(self.old, &entry.terms.name) {
                None if self.old.has_all_tenants => add(DifferenceKind::Added, entry, Vec::new()),
                None => {}
                Some(at) => {
                    let changes = tenant_changes(&self.old.tenants[at], entry);
                    if !changes.is_empty() {
                        add(DifferenceKind::Changed, entry, changes);
                    }
                }
            }
        }
    }

    fn compare_limits(&self, differences: &mut Vec<Difference>) {
        let (Some(old), Some(new)) = (&self.old.limits, &self.new.limits) else {
            return;
        };
        let changes = limit_changes(old, new);
        if !changes.is_empty() {
            differences.push(Difference {
                kind: DifferenceKind::Changed,
                subject: Subject::Limits,
                name: CompactString::default(),
                changes,
                queues: self.queues(|_| true),
                tenants: self.all_tenants(),
            });
        }
    }
}

fn sorted(names: impl IntoIterator<Item = CompactString>) -> Vec<CompactString> {
    let mut names: Vec<_> = names.into_iter().collect();
    names.sort();
    names.dedup();
    names
}

/// Returns the name of the queue that gets a route's requests in a version that doesn't have the route.
fn next_match(routes: &[RouteEntry], gone: &Route) -> Vec<CompactString> {
    let covers = |route: &&Route| {
        route.host.eq_ignore_ascii_case(&gone.host) && gone.prefix.starts_with(&*route.prefix)
    };
    // Of equal prefixes, the first one in the document matches; `max_by_key` returns the last.
    let matching = routes.iter().rev().map(|entry| &entry.route).filter(covers);
    let longest = matching.max_by_key(|route| route.prefix.len());
    longest
        .map(|route| route.name.clone())
        .into_iter()
        .collect()
}

fn push(changes: &mut Vec<Change>, field: Field, old: impl ToString, new: impl ToString) {
    let (old, new) = (old.to_string(), new.to_string());
    if old != new {
        changes.push(Change { field, old, new });
    }
}

/// Compares fields that the node doesn't read; an absent one is shown as `none`.
fn push_unread(changes: &mut Vec<Change>, old: &UnreadFields, new: &UnreadFields) {
    let value = |fields: &'_ UnreadFields, name: &str| {
        let field = fields.iter().find(|(other, _)| *other == name);
        field.map_or_else(|| "none".to_owned(), |(_, value)| value.clone())
    };
    let added = new
        .iter()
        .filter(|(name, _)| !old.iter().any(|(other, _)| other == name));
    for (name, _) in old.iter().chain(added) {
        push(
            changes,
            Field::Unread(name),
            value(old, name),
            value(new, name),
        );
    }
}

fn route_changes(old_entry: &RouteEntry, new_entry: &RouteEntry) -> Vec<Change> {
    let mut changes = Vec::new();
    let (old, new) = (&old_entry.route, &new_entry.route);
    push(&mut changes, Field::Host, &old.host, &new.host);
    push(&mut changes, Field::Prefix, &old.prefix, &new.prefix);
    push(&mut changes, Field::Public, old.is_public, new.is_public);
    let timeout = |time: Millis| match time {
        Millis::MAX => "none".to_owned(),
        Millis(ms) => ms.to_string(),
    };
    push(
        &mut changes,
        Field::Timeout,
        timeout(old.timeout),
        timeout(new.timeout),
    );
    let (old, new) = (&old.policy, &new.policy);
    push(&mut changes, Field::Service, &old.service, &new.service);
    push(&mut changes, Field::Priority, old.priority, new.priority);
    push(
        &mut changes,
        Field::MaxAttempts,
        old.max_attempts,
        new.max_attempts,
    );
    push(
        &mut changes,
        Field::Target,
        old.allowance.0,
        new.allowance.0,
    );
    let stretch = |pct: u32| f64::from(pct) / 100.0;
    push(
        &mut changes,
        Field::Stretch,
        stretch(old.stretch_pct),
        stretch(new.stretch_pct),
    );
    let advice = |terms: Option<dotterel_cell::AdviceTerms>| {
        terms.map_or_else(
            || "none".to_owned(),
            |terms| {
                let each = f64::from(terms.per_vm_us) / 1000.0;
                format!(
                    "{} ms + {each} ms for each VM, valid for {} ms",
                    terms.base_cost.0, terms.ticket_ttl.0
                )
            },
        )
    };
    push(
        &mut changes,
        Field::Advice,
        advice(old.advice),
        advice(new.advice),
    );
    push_unread(&mut changes, &old_entry.unread, &new_entry.unread);
    changes
}

fn tenant_changes(old: &TenantEntry, new: &TenantEntry) -> Vec<Change> {
    let mut changes = Vec::new();
    let cap = |cap: u32| match cap {
        0 => "none".to_owned(),
        cap => cap.to_string(),
    };
    let (old_terms, new_terms): (&TenantTerms, &TenantTerms) = (&old.terms, &new.terms);
    push(
        &mut changes,
        Field::Weight,
        old_terms.weight,
        new_terms.weight,
    );
    let (before, after) = (&old_terms.cap, &new_terms.cap);
    push(
        &mut changes,
        Field::CapCpu,
        cap(before.milli_cores),
        cap(after.milli_cores),
    );
    push(
        &mut changes,
        Field::CapMemory,
        cap(before.memory_mb),
        cap(after.memory_mb),
    );
    push(
        &mut changes,
        Field::CapAccelerators,
        cap(before.accelerators),
        cap(after.accelerators),
    );
    let added = new
        .keys
        .iter()
        .filter(|key| !old.keys.contains(key))
        .count();
    let removed = old
        .keys
        .iter()
        .filter(|key| !new.keys.contains(key))
        .count();
    if added + removed > 0 {
        changes.push(Change {
            field: Field::Keys,
            old: old.keys.len().to_string(),
            new: format!("{} ({added} added, {removed} removed)", new.keys.len()),
        });
    }
    changes
}

fn limit_changes(old: &RequestLimits, new: &RequestLimits) -> Vec<Change> {
    let mut changes = Vec::new();
    push(&mut changes, Field::MaxBody, old.max_body, new.max_body);
    push(&mut changes, Field::MaxHead, old.max_head, new.max_head);
    push(
        &mut changes,
        Field::HeaderTimeout,
        old.header_timeout.0,
        new.header_timeout.0,
    );
    push(
        &mut changes,
        Field::IdleTimeout,
        old.idle_timeout.0,
        new.idle_timeout.0,
    );
    changes
}
