//! Time of one decision with 10, 100 and 1,000 servers: a request arrives, its server is drawn, and its
//! answer is reported.

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use roseproxy_decision::interface::*;
use roseproxy_decision::policy::Balancer;

fn decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("decision");
    for servers in [10_u64, 100, 1_000] {
        let mut settings = Settings { sidecars: 6, warm_keys: true, probes: true, ..Settings::default() };
        settings.prices.probe = 0.01;
        settings.classes.push(Class {
            latency_goal: 600_000,
            client_timeout: 1_500_000,
            worth: 2.0,
            ..Class::default()
        });
        let mut balancer = Balancer::new(settings, 7, 1_000_000);
        let list: Vec<Server> = (0..servers)
            .map(|n| Server { id: ServerId(n), power: 1.0, zone: (n % 3) as u32, ..Server::default() })
            .collect();
        let (mut now, mut out) = (1_000_000, Vec::new());
        balancer.handle(now, Event::Servers { update: Update::Complete, servers: &list }, &mut out);
        let mut id = 0;
        group.bench_function(BenchmarkId::from_parameter(servers), |b| {
            b.iter(|| {
                (id, now) = (id + 1, now + 5_000);
                out.clear();
                let request = Request { id, key: Some(id % 300), time_left: 1_500_000, ..Request::default() };
                balancer.handle(now, Event::Request(request), &mut out);
                let sent = out.iter().find_map(|a| match a {
                    Action::Send { server, .. } => Some(*server),
                    _ => None,
                });
                if let Some(server) = sent {
                    let load = Some(Load { in_flight: Some(1.0), ..Load::default() });
                    let ended = Event::AttemptEnded {
                        request: id,
                        attempt: 0,
                        server,
                        outcome: Outcome::Served,
                        elapsed: 60_000,
                        finished: true,
                        load,
                    };
                    balancer.handle(now + 4_000, ended, &mut out);
                }
            });
        });
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
