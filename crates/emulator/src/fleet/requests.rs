//! The handling of an attempt at a server, from its first byte to its response.

use super::connection::Connection;
use super::Member;
use crate::accounting::{AttemptEnd, Place, RequestAccounting, Rule};
use crate::corruption::{self, Corruption};
use crate::environment::Environment;
use crate::fabric::Fabric;
use crate::http::{answer_bytes, Request, Wire};
use crate::schedule::{factor, hashed, Arrival};
use crate::server::{Done, Job, TurnedAway};
use bytes::Bytes;
use std::cell::RefMut;
use tokio::sync::oneshot;

/// Records an attempt as cut where its connection is dropped before it has ended.
struct Open<'a, F: Fabric> {
    environment: &'a Environment<F>,
    attempt: (usize, usize),
}

impl<F: Fabric> Drop for Open<'_, F> {
    fn drop(&mut self) {
        let now = self.environment.clock.now();
        self.environment.accounting.borrow_mut().attempt_ended(now, self.attempt, AttemptEnd::Cut);
    }
}

/// A request that a server has received.
pub(super) struct IncomingAttempt<'a, F: Fabric> {
    pub(super) connection: &'a Connection<F>,
    pub(super) request: &'a Request,
    /// When its first byte came (ms).
    pub(super) came: f64,
    /// One way between the sidecar and the server (ms).
    pub(super) way: f64,
}

/// The identity of an attempt.
#[derive(Clone, Copy)]
struct AttemptKey {
    /// Its `Request-Id`.
    id: u64,
    /// The index of its try, and its number in that.
    attempt: (usize, usize),
    flow: usize,
}

impl<F: Fabric> IncomingAttempt<'_, F> {
    fn environment(&self) -> &Environment<F> {
        self.connection.environment()
    }

    fn accounting(&self) -> RefMut<'_, RequestAccounting> {
        self.environment().accounting.borrow_mut()
    }

    fn member(&self) -> &Member {
        &self.connection.member
    }

    /// Handles the request; false where the connection ends.
    pub(super) async fn answer(&self, wire: &mut Wire<F::Stream>) -> bool {
        let (environment, clock) = (self.environment(), &self.environment().clock);
        let id = self.request.header("request-id").and_then(|id| u64::from_str_radix(id, 16).ok());
        let Some(id) = id else {
            return wire.write(&answer_bytes(404, &[], b"no id\n")).await.is_ok();
        };
        let now = clock.now();
        let Some(attempt) = self.attempt(id, now) else {
            return wire.write(&answer_bytes(400, &[], b"nobody asked that\n")).await.is_ok();
        };
        let open = Open { environment, attempt };
        let known = AttemptKey { id, attempt, flow: self.accounting().tries[attempt.0].flow };
        if self.lacks_key(known) {
            return wire.write(&answer_bytes(400, &[], b"nobody asked that\n")).await.is_ok();
        }
        let work = self.work(known);
        if self.pushes_over(known, work, now) {
            return false;
        }
        let (job, done) = match self.begin(known, work, now) {
            Ok(begun) => begun,
            Err(why) => return self.turn_away(wire, known, why, now).await,
        };
        let Some(done) = self.wait(wire, known, job, work, done).await else { return false };
        clock.sleep(self.way).await;
        let bytes = self.answer_to(known, done);
        drop(open);
        wire.write(&bytes).await.is_ok()
    }

    /// Records the attempt; `None` where no client asked for it.
    fn attempt(&self, id: u64, now: f64) -> Option<(usize, usize)> {
        let server = (self.member().number, self.member().place);
        self.accounting().attempt(
            &self.environment().schedule,
            id,
            self.connection.sidecar,
            server,
            self.came,
            now,
        )
    }

    fn record_violation(&self, rule: Rule, flow: usize, what: String) {
        self.environment().record_violation(rule, self.connection.sidecar, Some(flow), what);
    }

    fn arrival(&self, known: AttemptKey) -> &Arrival {
        &self.environment().schedule.arrivals[known.flow]
    }

    /// A number from 0 to 1 that belongs to this attempt and one purpose.
    fn draw(&self, known: AttemptKey, purpose: u64) -> f64 {
        hashed(self.environment().schedule.seed, &[purpose, known.id, known.attempt.1 as u64])
    }

    /// Whether a request of a keyed class came without its client's `Idempotency-Key`, which is a violation.
    fn lacks_key(&self, known: AttemptKey) -> bool {
        let key = self.environment().schedule.key_of(known.flow);
        let lacks = key.is_some() && self.request.header("idempotency-key") != key.as_deref();
        if lacks {
            let what = format!("id {:016x} without the key that its client sent", known.id);
            self.record_violation(Rule::Unknown, known.flow, what);
        }
        lacks
    }

    /// Draws the work of this attempt (ms of a standard core) and records it as sent.
    fn work(&self, known: AttemptKey) -> f64 {
        let (schedule, arrival) = (&self.environment().schedule, self.arrival(known));
        let noise = schedule.day.classes[arrival.class].attempt_noise;
        let noise = noise.at(hashed(schedule.seed, &[3, arrival.class as u64]));
        let work = arrival.work * factor(noise, self.draw(known, 4));
        let mut accounting = self.accounting();
        accounting.work.0 += work;
        let crosses =
            self.member().model.borrow().plan.zone != schedule.sidecars[self.connection.sidecar].zone;
        accounting.crossed += u64::from(crosses);
        work
    }

    /// Whether this work overloads a cold server, whose process then fails.
    fn pushes_over(&self, known: AttemptKey, work: f64, now: f64) -> bool {
        let limits = &self.environment().schedule.day.limits;
        let pushed = self.member().with(now, |m| m.push(work, limits.fall_multiple, limits.fall_ms));
        if pushed {
            let warmth = self.member().model.borrow().warmth();
            let what = format!("server {} at warmth {warmth:.2}", self.member().number);
            self.record_violation(Rule::PushedOver, known.flow, what);
            self.member().die(now);
        }
        pushed
    }

    /// Offers the job to the model; the error says how a rejected attempt ends.
    fn begin(
        &self,
        known: AttemptKey,
        work: f64,
        now: f64,
    ) -> Result<(u64, oneshot::Receiver<Done>), AttemptEnd> {
        if self.connection.crowded {
            return Err(AttemptEnd::Crowded);
        }
        let error = self.draw(known, 5) < self.member().model.borrow().plan.error_rate;
        let key = self.arrival(known).key;
        let begun = self.member().begin(now, |id| Job { id, work, key, error });
        let begun = begun.map_err(|why| match why {
            TurnedAway::Full => AttemptEnd::Full,
            TurnedAway::Draining | TurnedAway::Down => AttemptEnd::Draining,
        })?;
        let place = {
            let model = self.member().model.borrow();
            Place { zone: model.plan.zone, cell: model.plan.cell }
        };
        self.accounting().ran(&self.environment().schedule, now, known.attempt, place);
        Ok(begun)
    }

    /// Responds that the request was not started; false where the connection ends.
    async fn turn_away(
        &self,
        wire: &mut Wire<F::Stream>,
        known: AttemptKey,
        why: AttemptEnd,
        now: f64,
    ) -> bool {
        self.accounting().attempt_ended(now, known.attempt, why);
        self.environment().clock.sleep(self.way).await;
        let mut headers = vec![("not-started", "1".to_owned())];
        if self.connection.crowded {
            headers.push(("connection", "close".into()));
        }
        wire.write(&answer_bytes(503, &headers, b"")).await.is_ok() && !self.connection.crowded
    }

    /// Waits for the completion of the job; `None` where the sidecar hung up or the server stopped before.
    async fn wait(
        &self,
        wire: &mut Wire<F::Stream>,
        known: AttemptKey,
        job: u64,
        work: f64,
        mut done: oneshot::Receiver<Done>,
    ) -> Option<Done> {
        loop {
            tokio::select! {
                biased;
                done = &mut done => return done.ok(),
                more = wire.more() => if !matches!(more, Ok(true)) {
                    // Given up: it hung up, or ended its sending.
                    self.hung_up(known, job, work);
                    return None;
                },
            }
        }
    }

    fn hung_up(&self, known: AttemptKey, job: u64, work: f64) {
        let now = self.environment().clock.now();
        let dropped = self.member().with(now, |m| m.hang_up(job));
        let mut accounting = self.accounting();
        accounting.attempt_ended(now, known.attempt, AttemptEnd::HungUp);
        accounting.work.1 += if dropped { 0.0 } else { work };
    }

    /// The bytes of the response to a completed job: valid, an error, or corrupted.
    fn answer_to(&self, known: AttemptKey, done: Done) -> Vec<u8> {
        let now = self.environment().clock.now();
        if done.error {
            self.accounting().attempt_ended(now, known.attempt, AttemptEnd::Error);
            return answer_bytes(500, &[], b"error\n");
        }
        let body = self.body(known);
        let corruption = self.corruption(known);
        self.record_answer(known, now, corruption, &body);
        corruption.map_or_else(|| self.good(&body), |s| s.bytes(&body))
    }

    fn body(&self, known: AttemptKey) -> Bytes {
        Bytes::from(format!(
            "{{\"id\":\"{:016x}\",\"server\":\"{}\",\"attempt\":{},\"price\":{:.2},\"valid\":true}}\n",
            known.id,
            self.member().model.borrow().plan.id,
            known.attempt.1,
            self.draw(known, 6) * 1000.0
        ))
    }

    /// The corruption of this response, if it is to be corrupted.
    fn corruption(&self, known: AttemptKey) -> Option<Corruption> {
        let kinds = corruption::ALL;
        let kind = (self.draw(known, 8) * kinds.len() as f64) as usize % kinds.len();
        (self.draw(known, 7) < self.connection.fleet.corrupted_share()).then(|| kinds[kind])
    }

    fn record_answer(&self, known: AttemptKey, now: f64, corruption: Option<Corruption>, body: &Bytes) {
        let mut accounting = self.accounting();
        if let Some(corruption) = corruption {
            *accounting.spoilt.entry(format!("{corruption:?}")).or_default() += 1;
        }
        let good = corruption.is_none_or(Corruption::is_valid);
        let end = if good { AttemptEnd::Served } else { AttemptEnd::Spoilt };
        accounting.attempt_ended(now, known.attempt, end);
        if good {
            accounting.made(known.attempt.0, body.clone());
        }
    }

    fn good(&self, body: &Bytes) -> Vec<u8> {
        let schedule = &self.environment().schedule;
        let reports = schedule.day.server.report_in_answers;
        let report = reports
            .then(|| ("server-load", self.member().report(self.environment().clock.now(), schedule.seed)));
        answer_bytes(200, report.as_slice(), body)
    }
}
