//! `account`: prints how many requests ran, are waiting and were dropped.

use dotterel_kernel::{Account, Clock, Millis, Summary};

use crate::client::Client;
use crate::command::json_text;
use crate::error::CommandError;
use crate::table::Table;
use crate::time_format::{duration, hour, time_of_day};

/// Reads the account of the last `hours` and formats it.
///
/// # Errors
///
/// Returns an error if the node cannot be reached or refuses the request.
pub async fn run(
    client: &Client,
    service: Option<&str>,
    hours: u64,
    json: bool,
) -> Result<String, CommandError> {
    let since = Clock::system()
        .now()
        .since(Millis::secs(hours.saturating_mul(3600)));
    let mut path = format!("/v1/account?since_ms={}", since.0);
    if let Some(service) = service {
        path.push_str(&format!("&service={service}"));
    }
    let account: Account = client.get_json(&path).await?;
    if json {
        return json_text(&account);
    }
    Ok(format(&account))
}

/// Formats an account as tables.
#[must_use]
pub fn format(account: &Account) -> String {
    let nodes: Vec<_> = account.nodes.iter().map(ToString::to_string).collect();
    let mut text = format!(
        "account at {} UTC, from nodes: {}\n\n",
        time_of_day(account.as_of),
        nodes.join(", ")
    );
    text.push_str(&totals(&account.lines).to_string());
    text.push_str(&dropped(&account.lines));
    text.push_str(&growth(&account.lines));
    text.push_str(&gaps(account));
    text
}

fn totals(lines: &[Summary]) -> Table {
    let mut table = Table::new(&[
        "SERVICE",
        "CLASS",
        "ARRIVED",
        "RAN",
        "NOT RUN",
        "UNKNOWN",
        "RUNNING",
        "WAITING",
        "OLDEST",
        "DELAYED",
        "DUPLICATES",
    ]);
    for line in lines {
        let not_run: u64 = line.not_run.iter().map(|(_, count)| count).sum();
        table.row(vec![
            line.service.to_string(),
            line.class.to_string(),
            line.arrived.to_string(),
            line.ran.to_string(),
            not_run.to_string(),
            line.unknown.to_string(),
            line.running.to_string(),
            line.waiting.to_string(),
            duration(line.oldest),
            line.delayed.to_string(),
            line.duplicates.to_string(),
        ]);
    }
    table
}

fn dropped(lines: &[Summary]) -> String {
    let mut table = Table::new(&["SERVICE", "CLASS", "NOT RUN BECAUSE", "COUNT"]);
    let mut has_rows = false;
    for line in lines {
        for (reason, count) in &line.not_run {
            has_rows = true;
            table.row(vec![
                line.service.to_string(),
                line.class.to_string(),
                reason.to_string(),
                count.to_string(),
            ]);
        }
    }
    if has_rows {
        format!("\n{table}")
    } else {
        "\nnothing was dropped\n".to_owned()
    }
}

fn growth(lines: &[Summary]) -> String {
    let mut table = Table::new(&[
        "SERVICE",
        "CLASS",
        "HOUR (UTC)",
        "ARRIVED",
        "STARTED",
        "DROPPED",
        "GROWTH",
    ]);
    for line in lines {
        for hourly in &line.hours {
            let left_queue = i128::from(hourly.started) + i128::from(hourly.dropped);
            table.row(vec![
                line.service.to_string(),
                line.class.to_string(),
                hour(hourly.start),
                hourly.arrived.to_string(),
                hourly.started.to_string(),
                hourly.dropped.to_string(),
                format!("{:+}", i128::from(hourly.arrived) - left_queue),
            ]);
        }
    }
    format!("\n{table}")
}

fn gaps(account: &Account) -> String {
    if account.gaps.is_empty() {
        return "\nno gaps: every node's journal is covered\n".to_owned();
    }
    let mut table = Table::new(&["NOT COVERED: NODE", "LIFE", "SINCE (UTC)", "CAUSE"]);
    for gap in &account.gaps {
        table.row(vec![
            gap.node.to_string(),
            gap.incarnation.to_string(),
            time_of_day(gap.since),
            gap.cause.to_string(),
        ]);
    }
    format!("\n{table}")
}
