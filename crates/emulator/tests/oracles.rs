//! Each rule check detects its violation: a fake sidecar with one defect must violate the expected rule, and a
//! fake sidecar without a defect must violate none.

use roseproxy_emulator::accounting::Rule;
use roseproxy_emulator::fabric::Fabric;
use roseproxy_emulator::http::{answer_bytes, Request, Wire};
use roseproxy_emulator::memory::{Memory, MemoryStream};
use roseproxy_emulator::result::{broken_rules, outcome, Outcome};
use roseproxy_emulator::scenario::Scenario;
use roseproxy_emulator::schedule::Schedule;
use roseproxy_emulator::simulation::{Addresses, Sidecars, Signal, Simulation};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, JoinHandle};

/// The defect of a fake sidecar. Unless stated otherwise it shows in every seventh request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Defect {
    None,
    /// Does not answer.
    NoAnswer,
    /// Answers after the timeout of the request.
    LateAnswer,
    /// Closes the connection instead of answering.
    ClosedConnection,
    /// Serves a body that no server produced.
    ForgedBody,
    /// Serves the body of another request.
    SwappedBody,
    /// Repeats an unsafe request that may have run.
    UnsafeRepeat,
    /// Repeats a request that may have run at servers of any cell.
    RepeatElsewhere,
    /// Repeats keyed work after its deduplication window.
    LateRepeat,
    /// Sends keyed work without its `Idempotency-Key`.
    MissingKey,
    /// Sends one request four times.
    TooManyAttempts,
    /// Always ignores changes of the list.
    IgnoredList,
    /// Sends to a server that no list has named.
    UnlistedServer,
    /// Sends a request that no client has sent.
    InventedRequest,
    /// Always serves malformed requests.
    ServedMalformed,
    /// Never answers malformed requests.
    IgnoredMalformed,
    /// Opens connections with every request and never closes them.
    HeldConnections,
    /// Sends all requests to one server.
    SingleServer,
    /// Reports a wrong counter.
    WrongCounters,
    /// Exits after 4 s.
    Exit,
    /// Never becomes ready.
    NeverReady,
}

struct FakeSidecar {
    memory: Memory,
    defect: Defect,
    held: Rc<Cell<usize>>,
    task: RefCell<Option<JoinHandle<()>>>,
}

/// The state of a running fake sidecar.
struct SidecarState {
    memory: Memory,
    defect: Defect,
    held: Rc<Cell<usize>>,
    /// Addresses of the servers in service, according to the list.
    targets: RefCell<Vec<SocketAddr>>,
    held_streams: RefCell<Vec<MemoryStream>>,
    accepted: Cell<u64>,
    served: Cell<u64>,
    refused: Cell<u64>,
    last_body: RefCell<Vec<u8>>,
}

impl Sidecars for FakeSidecar {
    fn start(&self, _: usize, config: &Value) -> Result<(), String> {
        let state = Rc::new(SidecarState {
            memory: self.memory.clone(),
            defect: self.defect,
            held: self.held.clone(),
            targets: RefCell::default(),
            held_streams: RefCell::default(),
            accepted: Cell::new(0),
            served: Cell::new(0),
            refused: Cell::new(0),
            last_body: RefCell::default(),
        });
        state.update_targets(&config["known"]);
        let address = |key: &str| config[key].as_str().and_then(|a| a.parse().ok()).expect("an address");
        let (listen, discovery): (SocketAddr, SocketAddr) = (address("listen"), address("discovery"));
        *self.task.borrow_mut() = Some(spawn_local(async move {
            let listener = state.memory.bind(listen).await.expect("free");
            let watching = spawn_local(state.clone().watch(discovery));
            let began = tokio::time::Instant::now();
            loop {
                let accept =
                    tokio::time::timeout(Duration::from_secs(1), state.memory.accept(&listener)).await;
                if state.defect == Defect::Exit && began.elapsed() > Duration::from_secs(4) {
                    watching.abort();
                    return;
                }
                if let Ok(Ok(stream)) = accept {
                    spawn_local(state.clone().serve(stream.counted_in(&state.held)));
                }
            }
        }));
        Ok(())
    }

    fn signal(&self, _: usize, signal: Signal) {
        if let (Signal::Kill | Signal::Term, Some(task)) = (signal, self.task.borrow().as_ref()) {
            task.abort();
        }
    }

    fn ended(&self, _: usize) -> bool {
        self.task.borrow().as_ref().is_none_or(JoinHandle::is_finished)
    }

    fn resource_use(&self, _: usize) -> (Option<usize>, Option<f64>) {
        (Some(self.held.get()), None)
    }
}

impl SidecarState {
    fn update_targets(&self, value: &Value) {
        let mut targets = self.targets.borrow_mut();
        for member in value["members"].as_array().into_iter().flatten() {
            let address: SocketAddr =
                member["host_port"].as_str().and_then(|a| a.parse().ok()).expect("an address");
            targets.retain(|t| *t != address);
            if member["phase"] == "in_service" {
                targets.push(address);
            }
        }
    }

    /// Polls the list every 100 ms, more often than any rule requires.
    async fn watch(self: Rc<Self>, discovery: SocketAddr) {
        let Ok(stream) = self.memory.connect(discovery).await else { return };
        let mut wire = Wire::new(stream);
        loop {
            tokio::time::sleep(Duration::from_millis(100)).await;
            if wire.write(b"GET /registry/instances HTTP/1.1\r\nHost: x\r\n\r\n").await.is_err() {
                return;
            }
            let Ok(answer) = wire.read_answer().await else { return };
            if self.defect != Defect::IgnoredList {
                let value: Value = serde_json::from_slice(&answer.body).expect("a list");
                self.targets.borrow_mut().clear();
                self.update_targets(&value);
            }
        }
    }

    async fn serve(self: Rc<Self>, stream: MemoryStream) {
        let mut wire = Wire::new(stream);
        loop {
            let read = tokio::time::timeout(Duration::from_secs(2), wire.read_request()).await;
            let request = match read {
                Ok(Ok(request)) => request,
                // Keeps the connection open without an answer, whether the request was incomplete or malformed.
                Ok(Err(_)) | Err(_) if self.defect == Defect::IgnoredMalformed => {
                    return std::future::pending().await
                }
                Ok(Err(_)) if self.defect == Defect::ServedMalformed => {
                    drop(wire.write(&answer_bytes(200, &[], b"welcome")).await);
                    return;
                }
                Ok(Err(_)) => {
                    return drop(wire.write(&answer_bytes(400, &[("connection", "close".into())], b"")).await)
                }
                Err(_) => return,
            };
            let answer = match request.path.as_str() {
                "/health/ready" if self.defect == Defect::NeverReady => answer_bytes(503, &[], b""),
                "/health/ready" => answer_bytes(200, &[], b""),
                "/health/counters" => {
                    let off = u64::from(self.defect == Defect::WrongCounters);
                    let text = format!(
                        "flows_taken {}\nflows_served {}\nflows_refused {}\n",
                        self.accepted.get() + off,
                        self.served.get(),
                        self.refused.get()
                    );
                    answer_bytes(200, &[], text.as_bytes())
                }
                _ => match self.forward(&request).await {
                    Some(answer) => answer,
                    None => return,
                },
            };
            if wire.write(&answer).await.is_err() {
                return;
            }
        }
    }

    async fn forward(self: &Rc<Self>, request: &Request) -> Option<Vec<u8>> {
        let malformed = request.header("transfer-encoding").is_some()
            || !["/quote", "/place-order"].contains(&request.path.split('?').next().unwrap_or_default())
            || request.header("request-timeout").is_none_or(|t| t.parse::<f64>().is_err())
            || request.header("request-id").is_none_or(|id| u64::from_str_radix(id, 16).is_err());
        if malformed {
            return Some(match self.defect {
                Defect::ServedMalformed => answer_bytes(200, &[], b"welcome"),
                Defect::IgnoredMalformed => return std::future::pending().await,
                _ => answer_bytes(400, &[], b""),
            });
        }
        self.accepted.set(self.accepted.get() + 1);
        let number = self.accepted.get();
        let is_seventh = number % 7 == 0;
        match self.defect {
            Defect::NoAnswer if is_seventh => return std::future::pending().await,
            Defect::ClosedConnection if is_seventh => return None,
            Defect::ForgedBody if is_seventh => return Some(answer_bytes(200, &[], b"{\"price\":1}")),
            Defect::LateAnswer if is_seventh => {
                let wait: f64 = request.header("request-timeout").and_then(|t| t.parse().ok()).unwrap_or(1.0);
                tokio::time::sleep(Duration::from_secs_f64(wait + 0.2)).await;
            }
            Defect::HeldConnections => {
                let target = self.target(0);
                for _ in 0..8 {
                    let stream = self.memory.connect(target).await.ok()?;
                    self.held_streams.borrow_mut().push(stream.counted_in(&self.held));
                }
            }
            Defect::InventedRequest if is_seventh => {
                let mut invented = request.clone();
                invented
                    .headers
                    .iter_mut()
                    .filter(|h| h.0 == "request-id")
                    .for_each(|h| h.1 = "abcdef".into());
                drop(self.send(self.target(0), &invented).await);
            }
            Defect::UnsafeRepeat if is_seventh && request.method == "POST" => {
                drop(self.send(self.target(1), request).await);
            }
            Defect::RepeatElsewhere if is_seventh => {
                for n in 0..2 {
                    drop(self.send(self.target(n), request).await);
                }
            }
            Defect::LateRepeat if is_seventh => {
                drop(self.send(self.target(number as usize), request).await);
                tokio::time::sleep(Duration::from_millis(400)).await;
            }
            Defect::MissingKey if is_seventh => {
                let mut keyless = request.clone();
                keyless.headers.retain(|h| h.0 != "idempotency-key");
                drop(self.send(self.target(0), &keyless).await);
            }
            Defect::TooManyAttempts if is_seventh => {
                for n in 0..3 {
                    drop(self.send(self.target(n), request).await);
                }
            }
            _ => {}
        }
        let target = match self.defect {
            Defect::SingleServer => *self.targets.borrow().iter().min()?,
            Defect::UnlistedServer if is_seventh => {
                let mut unlisted = self.target(0);
                let SocketAddr::V4(v4) = &mut unlisted else { return None };
                let [a, b, c, _] = v4.ip().octets();
                v4.set_ip([a, b, c, 10 + 4].into());
                unlisted
            }
            _ => self.target(number as usize),
        };
        let Some(answer) = self.send(target, request).await else {
            self.refused.set(self.refused.get() + 1);
            return Some(answer_bytes(503, &[], b""));
        };
        if answer.status != 200 {
            return Some(answer_bytes(500, &[], b""));
        }
        self.served.set(self.served.get() + 1);
        let before = self.last_body.replace(answer.body.to_vec());
        let mixed = self.defect == Defect::SwappedBody && is_seventh && !before.is_empty();
        Some(answer_bytes(200, &[], if mixed { &before } else { &answer.body }))
    }

    fn target(&self, number: usize) -> SocketAddr {
        let targets = self.targets.borrow();
        targets[number % targets.len()]
    }

    async fn send(&self, target: SocketAddr, request: &Request) -> Option<roseproxy_emulator::http::Answer> {
        let stream = self.memory.connect(target).await.ok()?.counted_in(&self.held);
        let mut wire = Wire::new(stream);
        let mut text = format!("{} {} HTTP/1.1\r\n", request.method, request.path).into_bytes();
        for (name, value) in &request.headers {
            text.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        text.extend_from_slice(b"\r\n");
        text.extend_from_slice(&request.body);
        wire.write(&text).await.ok()?;
        wire.read_answer().await.ok()
    }
}

const SCENARIO: &str = "name = 'oracles'\nlength_s = 6\n[fleet]\nservers = 4\nsidecars = 1\n[load]\nof_capacity = 0.12\nswing = 0\n\
                   [clients]\nretries = 0\n[limits]\nsockets = 300\n[discovery]\nnotice_s = 0.2\n[[kind]]\nname = 'm'\n\
                   cold_from = 0.12\ncold_s = 20\nwarm_requests = 0\n";

fn run(defect: Defect, extra: &str) -> Outcome {
    let scenario = Scenario::parse("oracles", &format!("{SCENARIO}{extra}")).expect("a valid scenario");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let memory = Memory::default();
        let held = Rc::new(Cell::new(0));
        let sidecars =
            Rc::new(FakeSidecar { memory: memory.clone(), defect, held, task: RefCell::default() });
        let simulation =
            Simulation::new(memory, Schedule::draw(&scenario, 5), Addresses { port: 7070 }, 1.8e12, sidecars);
        simulation.run().await.expect("the simulation starts");
        outcome(&simulation, "fake sidecar").0
    })
}

const KEYED: &str = "[[class]]\nname = 'place-order'\neffect = 'keyed'\nwindow_ms = 300\nwork_ms = 60\n";
/// Keyed work that all servers deduplicate among themselves.
const KEYED_BY_ALL: &str = "[[class]]\nname = 'place-order'\neffect = 'keyed'\ngroup = 'all'\n";
const WITH_DRAINS: &str = "[[trouble]]\nkind = 'shrink'\nat_s = 0.5\nlen_s = 0.5\npart = 0.5\n";
const WITH_COLD_SERVERS: &str = "[[trouble]]\nkind = 'servers-restart'\nat_s = 1\n[[trouble]]\nkind = 'burst'\nat_s = 2\nlen_s = 4\nsize = 9\n";
const WITH_MALFORMED_REQUESTS: &str =
    "[[trouble]]\nkind = 'rude'\nat_s = 0.5\nlen_s = 4\nsize = 8\npart = 1\n";
const WITH_ADDED_SERVERS: &str = "[[trouble]]\nkind = 'churn'\nat_s = 0.5\nlen_s = 5\nsize = 30\n";

fn assert_violates(defect: Defect, extra: &str, rule: Rule) {
    let outcome = run(defect, extra);
    assert!(broken_rules(&outcome).contains(&rule), "{defect:?}: {:?}", outcome.violation_counts);
}

#[test]
fn a_sidecar_without_defect_violates_no_rule() {
    for extra in ["", WITH_DRAINS, WITH_MALFORMED_REQUESTS, KEYED] {
        let outcome = run(Defect::None, extra);
        assert_eq!(outcome.violations.len(), 0, "{extra}: {:?}", outcome.violations.first());
        assert!(outcome.flows.taken > 50 && outcome.service > 0.5, "{extra}: {:?}", outcome.flows);
    }
}

#[test]
fn missing_late_and_wrong_answers_are_detected() {
    assert_violates(Defect::NoAnswer, "", Rule::Unanswered);
    assert_violates(Defect::LateAnswer, "", Rule::Unanswered);
    assert_violates(Defect::ClosedConnection, "", Rule::Lost);
    assert_violates(Defect::ForgedBody, "", Rule::WrongBody);
    assert_violates(Defect::SwappedBody, "", Rule::WrongBody);
}

#[test]
fn forbidden_attempts_are_detected() {
    assert_violates(Defect::UnsafeRepeat, "", Rule::SecondRun);
    assert_violates(Defect::TooManyAttempts, "", Rule::Attempts);
    assert_violates(Defect::InventedRequest, "", Rule::Unknown);
    assert_violates(Defect::UnlistedServer, WITH_ADDED_SERVERS, Rule::Unlisted);
    assert_violates(Defect::IgnoredList, WITH_DRAINS, Rule::PastDrain);
    assert_violates(Defect::SingleServer, WITH_COLD_SERVERS, Rule::PushedOver);
}

#[test]
fn repeats_of_keyed_work_are_detected() {
    assert_violates(Defect::RepeatElsewhere, KEYED, Rule::SecondRun);
    assert_violates(Defect::LateRepeat, KEYED, Rule::SecondRun);
    assert_violates(Defect::MissingKey, KEYED, Rule::Unknown);
    // Where all servers deduplicate, a repeat at any of them is harmless.
    let outcome = run(Defect::RepeatElsewhere, KEYED_BY_ALL);
    assert!(!broken_rules(&outcome).contains(&Rule::SecondRun), "{:?}", outcome.violations.first());
}

#[test]
fn served_and_unanswered_malformed_requests_are_detected() {
    assert_violates(Defect::ServedMalformed, WITH_MALFORMED_REQUESTS, Rule::ServedBad);
    assert_violates(Defect::IgnoredMalformed, WITH_MALFORMED_REQUESTS, Rule::BadUnanswered);
}

#[test]
fn descriptors_counters_and_processes_are_checked() {
    assert_violates(Defect::HeldConnections, "", Rule::Descriptors);
    assert_violates(Defect::WrongCounters, "", Rule::Books);
    assert_violates(Defect::Exit, "", Rule::Crash);
    assert_violates(Defect::NeverReady, "", Rule::NotReady);
}
