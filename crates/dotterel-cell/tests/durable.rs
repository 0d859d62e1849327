//! What is acknowledged to VMs is durable first.

mod support;

use dotterel_cell::How;
use support::{Bench, ended, task};

#[test]
fn an_end_is_not_acknowledged_while_its_row_is_on_its_way() {
    let mut bench = Bench::new(1);
    bench.submit(1, support::loose(2, 1000));
    bench.store();
    bench.plan();
    let runs = bench.take_starts();
    assert_eq!(runs.len(), 2);
    bench.advance(300);
    bench.report(0, &[], &[ended(1, task(1, 0), 1, How::Done)]);
    bench.advance(300);

    let batch = bench.cell.take_batch(bench.now);
    bench.cell.settle_idle();

    assert_eq!(bench.vm(0).durable, 0, "the row is not durable yet");
    bench.cell.written(&batch);
    assert_eq!(bench.vm(0).durable, 1);
}
