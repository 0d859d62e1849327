//! Limits that contradict each other, or that no job can keep.

use dotterel_cell::AdviceTerms;
use dotterel_kernel::{Millis, Size};

use super::{Draft, Field, Finding, RouteEntry, Severity, Subject};
use crate::routes::RequestLimits;

/// VMs that an advice call of a usual size names.
const USUAL_VMS_PER_CALL: u64 = 30;

/// Bytes that the body of a job with one step of one task, with a size and an estimate, takes at least.
pub const SMALL_JOB_BYTES: usize = 64;

/// Size of a request line with a host, a key and a length; a request with less can't have all of them.
const SMALL_HEAD_BYTES: usize = 128;

pub(super) fn check(draft: &Draft, smallest_task: Size, findings: &mut Vec<Finding>) {
    for entry in &draft.routes {
        check_route(entry, findings);
    }
    if let Some(limits) = &draft.limits {
        check_requests(limits, findings);
    }
    check_tenants(draft, smallest_task, findings);
}

/// Returns the duration of an advice call that names this number of VMs.
fn call_cost(advice: &AdviceTerms, vms: u64) -> Millis {
    advice.base_cost + Millis((vms * u64::from(advice.per_vm_us)).div_ceil(1000))
}

fn check_route(entry: &RouteEntry, findings: &mut Vec<Finding>) {
    let subject = Subject::Route(entry.position);
    let route = &entry.route;
    let policy = &route.policy;
    if route.timeout == Millis::ZERO {
        let text = "the timeout is 0: no request is answered in time";
        findings.push(Finding::error(subject, Field::Timeout, text));
    }
    if policy.max_attempts == 0 {
        let text = "0 attempts count as 1";
        findings.push(Finding::warning(subject, Field::MaxAttempts, text));
    }
    let Millis(target) = policy.allowance;
    if target == 0 && policy.stretch_pct < 100 {
        let text = format!(
            "the objective is {} % of the critical path and nothing else: no job can meet it",
            policy.stretch_pct
        );
        findings.push(Finding::error(subject, Field::Stretch, text));
    }
    if let Some(advice) = &policy.advice {
        check_advice(entry, advice, findings);
    }
}

fn check_advice(entry: &RouteEntry, advice: &AdviceTerms, findings: &mut Vec<Finding>) {
    let subject = Subject::Route(entry.position);
    let route = &entry.route;
    let policy = &route.policy;
    let Millis(usual) = call_cost(advice, USUAL_VMS_PER_CALL);
    let Millis(timeout) = route.timeout;
    // A timeout of 0 has its own finding.
    if timeout > 0 && timeout < usual {
        let text = format!(
            "the timeout ({timeout} ms) is below the duration of an advice call for {USUAL_VMS_PER_CALL} VMs \
             ({usual} ms)"
        );
        findings.push(Finding::error(subject, Field::Timeout, text));
    }
    let Millis(validity) = advice.ticket_ttl;
    if validity < usual {
        let text = format!(
            "tickets expire after {validity} ms, before another advice call for {USUAL_VMS_PER_CALL} VMs has \
             ended ({usual} ms)"
        );
        findings.push(Finding::error(subject, Field::AdviceValidity, text));
    }
    // With a larger stretch, jobs that are long enough can meet the objective.
    let Millis(shortest) = call_cost(advice, 1);
    let Millis(target) = policy.allowance;
    if policy.stretch_pct == 100 && target < shortest
        || policy.stretch_pct < 100 && target > 0 && target < shortest
    {
        // Without a target and with the default stretch, no objective was probably meant.
        let is_stated = target > 0;
        let text = format!(
            "no job can meet its objective: the target leaves {target} ms beside the critical path, and advice \
             takes at least {shortest} ms"
        );
        findings.push(Finding {
            severity: if is_stated {
                Severity::Error
            } else {
                Severity::Warning
            },
            ..Finding::error(subject, Field::Target, text)
        });
    }
}

fn check_requests(limits: &RequestLimits, findings: &mut Vec<Finding>) {
    let mut error = |field, text: String| {
        findings.push(Finding::error(Subject::Limits, field, text));
    };
    let Millis(header) = limits.header_timeout;
    let Millis(idle) = limits.idle_timeout;
    for (value, field) in [(header, Field::HeaderTimeout), (idle, Field::IdleTimeout)] {
        if value == 0 {
            error(
                field,
                "the timeout is 0: connections are closed at once".to_owned(),
            );
        }
    }
    if header > idle && idle > 0 {
        let text = format!(
            "the timeout for headers ({header} ms) is above the one for idle connections ({idle} ms), which \
             closes them first"
        );
        error(Field::HeaderTimeout, text);
    }
    if limits.max_body < SMALL_JOB_BYTES {
        let text = format!(
            "bodies are limited to {} bytes; a small job has {SMALL_JOB_BYTES}",
            limits.max_body
        );
        error(Field::MaxBody, text);
    }
    if limits.max_head < SMALL_HEAD_BYTES {
        let text = format!(
            "headers are limited to {} bytes; those of a small request have {SMALL_HEAD_BYTES}",
            limits.max_head
        );
        error(Field::MaxHead, text);
    }
}

fn check_tenants(draft: &Draft, smallest_task: Size, findings: &mut Vec<Finding>) {
    let others_have_weight = draft.tenants.iter().any(|entry| entry.terms.weight > 0.0);
    for entry in &draft.tenants {
        let subject = Subject::Tenant(entry.position);
        let terms = &entry.terms;
        if terms.weight <= 0.0 && others_have_weight {
            let text = format!(
                "tenant \"{}\" has weight 0 beside tenants with a weight: it gets a share of 1, and its rate \
                 of jobs isn't limited",
                terms.name
            );
            findings.push(Finding::warning(subject, Field::Weight, text));
        }
        let resources = [
            (
                Field::CapCpu,
                terms.cap.milli_cores,
                smallest_task.milli_cores,
                "thousandths of a core",
            ),
            (
                Field::CapMemory,
                terms.cap.memory_mb,
                smallest_task.memory_mb,
                "MB",
            ),
        ];
        for (field, cap, task, unit) in resources {
            if cap > 0 && cap < task {
                let text = format!(
                    "the cap of tenant \"{}\" ({cap}) is below the smallest task ({task} {unit}): all its \
                     jobs are refused",
                    terms.name
                );
                findings.push(Finding::error(subject, field, text));
            }
        }
    }
}
