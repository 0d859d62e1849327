//! Benchmarks one placement and release under the standard policy, for fleets of several sizes.

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use dotterel_kernel::{Millis, SubmitOutcome};
use dotterel_load::decision::{build_scheduler, build_task};

const NOW: Millis = Millis::secs(1);

fn place_and_release(c: &mut Criterion) {
    let mut group = c.benchmark_group("place_and_release");
    for vms in [48, 480, 3400] {
        let mut scheduler = build_scheduler(vms);
        for index in 0..vms as usize * 4 {
            black_box(scheduler.submit(build_task(index, NOW), NOW));
        }
        let mut index = 0;
        group.bench_function(BenchmarkId::from_parameter(vms), |b| {
            b.iter(|| {
                index += 1;
                if let SubmitOutcome::Placed(placement) =
                    scheduler.submit(build_task(index, NOW), NOW)
                {
                    scheduler.release(placement.hold);
                }
            });
        });
    }
    group.finish();
}

criterion_group!(benches, place_and_release);
criterion_main!(benches);
