//! Cost of one flow end to end in virtual time: client, sidecar from the listener down, server, answer.

use criterion::{criterion_group, criterion_main, Criterion, Throughput};
use roseproxy_emulator::scenario::Scenario;
use roseproxy_emulator::schedule::Schedule;
use roseproxy_lab::run::{run_scenario, RunOptions};

fn flows(c: &mut Criterion) {
    let text = "name = 'bench'\nlength_s = 10\n[load]\nrate = 200\nswing = 0\n";
    let Ok(scenario) = Scenario::parse("bench", text) else { return };
    let mut group = c.benchmark_group("flow");
    group
        .sample_size(10)
        .throughput(Throughput::Elements(Schedule::draw(&scenario, 1).arrivals.len() as u64));
    group.bench_function("a 10 s day of 6 sidecars, 10 servers, 200 requests a second", |b| {
        b.iter(|| run_scenario(&scenario, 1, &RunOptions::default()).map(|run| run.outcome.flows.served));
    });
    group.finish();
}

criterion_group!(benches, flows);
criterion_main!(benches);
