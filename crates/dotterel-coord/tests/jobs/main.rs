//! Durable jobs under failures, judged by what the workers saw.

mod cluster;
mod owner;
mod scenarios;
mod schedules;
