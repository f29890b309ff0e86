//! A simulation whose time stands still.

use roseproxy_emulator::clock::Clock;
use std::time::Duration;

#[test]
fn a_task_that_wakes_up_again_and_again_at_one_instant_is_named() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.expect("a runtime").block_on(async {
        let clock = Clock::new(0.0);
        clock.sleep(5.0).await;
        let (at, line) = (clock.now(), line!() + 3);
        let spins = async {
            loop {
                clock.sleep_until(0.0).await;
            }
        };
        let stuck = tokio::select! {
            () = spins => unreachable!("the loop has no end"),
            stuck = clock.wait_until_stuck() => stuck,
        };
        assert_eq!((stuck.at, stuck.waits_at.file(), stuck.waits_at.line()), (at, file!(), line));
        assert!(stuck.to_string().contains(file!()), "{stuck}");
    });
}

#[test]
fn many_tasks_that_wait_for_one_instant_are_no_standstill() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let clock = std::rc::Rc::new(Clock::new(0.0));
        for _ in 0..1_000 {
            let clock = clock.clone();
            tokio::task::spawn_local(async move {
                for second in 0..20 {
                    clock.sleep_until(f64::from(second) * 1e3).await;
                }
            });
        }
        let stuck = tokio::time::timeout(Duration::from_secs(300), clock.wait_until_stuck()).await;
        assert!(stuck.is_err(), "{stuck:?}");
    });
}
