//! What one flow costs end to end in virtual time: client, sidecar from the listener down, server, answer.

use criterion::{criterion_group, criterion_main, Criterion, Throughput};
use roseproxy_emulator::day::Day;
use roseproxy_emulator::plan::Plan;
use roseproxy_lab::run::{play, How};

fn flows(c: &mut Criterion) {
    let text = "name = 'bench'\nlength_s = 10\n[load]\nrate = 200\nswing = 0\n";
    let Ok(day) = Day::parse("bench", text) else { return };
    let mut group = c.benchmark_group("flow");
    group.sample_size(10).throughput(Throughput::Elements(Plan::draw(&day, 1).arrivals.len() as u64));
    group.bench_function("a 10 s day of 6 sidecars, 10 servers, 200 requests a second", |b| {
        b.iter(|| play(&day, 1, &How::default()).map(|p| p.outcome.flows.served));
    });
    group.finish();
}

criterion_group!(benches, flows);
criterion_main!(benches);
