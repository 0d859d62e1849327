//! `status`: prints the nodes, the VMs and the current documents.

use dotterel_kernel::{Revision, Service, Size, Status, VmStatus};

use crate::client::Client;
use crate::command::json_text;
use crate::error::CommandError;
use crate::table::Table;

/// Reads the status of a node and formats it.
///
/// # Errors
///
/// Returns an error if the node cannot be reached or refuses the request.
pub async fn run(client: &Client, json: bool) -> Result<String, CommandError> {
    let status: Status = client.get_json("/v1/status").await?;
    if json {
        return json_text(&status);
    }
    Ok(format(&status))
}

/// Formats a status as tables.
#[must_use]
pub fn format(status: &Status) -> String {
    let head = format!(
        "node {} in {}, life {}: {}, platform {}\n",
        status.node,
        status.data_centre,
        status.incarnation,
        if status.ready { "ready" } else { "not ready" },
        if status.platform {
            "answers"
        } else {
            "does not answer"
        },
    );
    format!("{head}\n{}\n{}", nodes(status), vms(&status.vms))
}

fn nodes(status: &Status) -> Table {
    let mut table = Table::new(&["NODE", "DATA CENTRE", "LIFE", "STATE", "DOCUMENTS IN FORCE"]);
    table.row(vec![
        status.node.to_string(),
        status.data_centre.to_string(),
        status.incarnation.to_string(),
        "this node".to_owned(),
        documents(&status.documents),
    ]);
    for peer in &status.peers {
        table.row(vec![
            peer.node.to_string(),
            peer.data_centre.to_string(),
            peer.incarnation.to_string(),
            if peer.alive { "heard" } else { "silent" }.to_owned(),
            documents(&peer.documents),
        ]);
    }
    table
}

fn documents(revisions: &[(Service, Revision)]) -> String {
    let parts: Vec<_> = revisions
        .iter()
        .map(|(name, number)| format!("{name}@{number}"))
        .collect();
    if parts.is_empty() {
        "none".to_owned()
    } else {
        parts.join(" ")
    }
}

fn vms(vms: &[VmStatus]) -> Table {
    let mut table = Table::new(&[
        "VM",
        "EPOCH",
        "SLOTS",
        "CONNECTIONS",
        "CORES",
        "MEMORY MB",
        "ACCELERATORS",
        "STATE",
    ]);
    for vm in vms {
        let (used, capacity) = (vm.used, vm.capacity);
        table.row(vec![
            vm.vm.to_string(),
            vm.epoch.to_string(),
            used_of(used.slots, capacity.slots),
            used_of(used.connections, capacity.connections),
            cores(&used, &capacity),
            used_of(used.memory_mb, capacity.memory_mb),
            used_of(used.accelerators, capacity.accelerators),
            if vm.accepting {
                "accepting"
            } else {
                "no new work"
            }
            .to_owned(),
        ]);
    }
    table
}

fn used_of(used: u32, capacity: u32) -> String {
    format!("{used}/{capacity}")
}

fn cores(used: &Size, capacity: &Size) -> String {
    format!(
        "{:.1}/{:.1}",
        f64::from(used.milli_cores) / 1000.0,
        f64::from(capacity.milli_cores) / 1000.0
    )
}
