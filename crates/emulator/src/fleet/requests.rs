//! Handling of an attempt at a server, from its first byte to its response.

use super::connection::Connection;
use super::Member;
use crate::accounting::{AttemptEnd, Place, RequestAccounting, Rule};
use crate::corruption::{self, Corruption};
use crate::environment::Environment;
use crate::fabric::Fabric;
use crate::http::{answer_bytes, Request, Wire};
use crate::schedule::{hashed, lognormal_factor, Arrival};
use crate::server::{Completion, Job, Rejection};
use bytes::Bytes;
use std::cell::RefMut;
use tokio::sync::oneshot;

/// Keys of the draws of an attempt. Changing one changes the results of every seed.
const DRAW_ATTEMPT_NOISE: u64 = 3;
const DRAW_ATTEMPT_WORK: u64 = 4;
const DRAW_ERROR: u64 = 5;
const DRAW_PRICE: u64 = 6;
const DRAW_CORRUPTED: u64 = 7;
const DRAW_CORRUPTION_KIND: u64 = 8;

/// Records an attempt as [`AttemptEnd::Cut`] if it is dropped before the attempt has ended.
struct OpenAttempt<'a, F: Fabric> {
    environment: &'a Environment<F>,
    attempt: (usize, usize),
}

impl<F: Fabric> Drop for OpenAttempt<'_, F> {
    fn drop(&mut self) {
        let now = self.environment.clock.now();
        self.environment.accounting.borrow_mut().record_attempt_end(now, self.attempt, AttemptEnd::Cut);
    }
}

/// A request that a server has received.
pub(super) struct IncomingAttempt<'a, F: Fabric> {
    pub(super) connection: &'a Connection<F>,
    pub(super) request: &'a Request,
    /// When its first byte arrived (ms).
    pub(super) received_at: f64,
    /// One-way network delay between the sidecar and the server (ms).
    pub(super) one_way: f64,
}

/// Identifies an attempt.
#[derive(Clone, Copy)]
struct AttemptIdentity {
    /// The `Request-Id`.
    id: u64,
    /// The index of its try and its number within the try.
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

    /// Handles the request; returns false if the connection must be closed.
    pub(super) async fn answer(&self, wire: &mut Wire<F::Stream>) -> bool {
        let (environment, clock) = (self.environment(), &self.environment().clock);
        let id = self.request.header("request-id").and_then(|id| u64::from_str_radix(id, 16).ok());
        let Some(id) = id else {
            return wire.write(&answer_bytes(404, &[], b"no id\n")).await.is_ok();
        };
        let now = clock.now();
        let Some(attempt) = self.record_attempt(id, now) else {
            return wire.write(&answer_bytes(400, &[], b"nobody asked that\n")).await.is_ok();
        };
        let open = OpenAttempt { environment, attempt };
        let identity = AttemptIdentity { id, attempt, flow: self.accounting().tries[attempt.0].flow };
        if self.lacks_key(identity) {
            return wire.write(&answer_bytes(400, &[], b"nobody asked that\n")).await.is_ok();
        }
        let work = self.draw_work(identity);
        if self.overloads_cold_server(identity, work, now) {
            return false;
        }
        let (job, done) = match self.offer(identity, work, now) {
            Ok(offered) => offered,
            Err(reason) => return self.reject(wire, identity, reason, now).await,
        };
        let Some(done) = self.wait_for_completion(wire, identity, job, work, done).await else {
            return false;
        };
        clock.sleep(self.one_way).await;
        let bytes = self.encode_answer(identity, done);
        drop(open);
        wire.write(&bytes).await.is_ok()
    }

    /// Records the attempt; returns `None` if no client sent the request.
    fn record_attempt(&self, id: u64, now: f64) -> Option<(usize, usize)> {
        let server = (self.member().number, self.member().address_index);
        self.accounting().record_attempt(
            &self.environment().schedule,
            id,
            self.connection.sidecar,
            server,
            self.received_at,
            now,
        )
    }

    fn record_violation(&self, rule: Rule, flow: usize, what: String) {
        self.environment().record_violation(rule, self.connection.sidecar, Some(flow), what);
    }

    fn arrival(&self, identity: AttemptIdentity) -> &Arrival {
        &self.environment().schedule.arrivals[identity.flow]
    }

    /// A uniform number from 0 to 1 that depends only on the attempt and the purpose.
    fn draw(&self, identity: AttemptIdentity, purpose: u64) -> f64 {
        hashed(self.environment().schedule.seed, &[purpose, identity.id, identity.attempt.1 as u64])
    }

    /// Whether a request of a keyed class lacks the `Idempotency-Key` of its client, which is a violation.
    fn lacks_key(&self, identity: AttemptIdentity) -> bool {
        let key = self.environment().schedule.key_of(identity.flow);
        let lacks = key.is_some() && self.request.header("idempotency-key") != key.as_deref();
        if lacks {
            let what = format!("id {:016x} without the key that its client sent", identity.id);
            self.record_violation(Rule::Unknown, identity.flow, what);
        }
        lacks
    }

    /// Draws the work of this attempt (ms of a standard core) and records it as sent.
    fn draw_work(&self, identity: AttemptIdentity) -> f64 {
        let (schedule, arrival) = (&self.environment().schedule, self.arrival(identity));
        let noise = schedule.scenario.classes[arrival.class].attempt_noise;
        let noise = noise.interpolate(hashed(schedule.seed, &[DRAW_ATTEMPT_NOISE, arrival.class as u64]));
        let work = arrival.work * lognormal_factor(noise, self.draw(identity, DRAW_ATTEMPT_WORK));
        let mut accounting = self.accounting();
        accounting.work_sent += work;
        let crosses_zones =
            self.member().model.borrow().parameters.zone != schedule.sidecars[self.connection.sidecar].zone;
        accounting.cross_zone_attempts += u64::from(crosses_zones);
        work
    }

    /// Whether this work overloads a cold server; if so, its process fails.
    fn overloads_cold_server(&self, identity: AttemptIdentity, work: f64, now: f64) -> bool {
        let limits = &self.environment().schedule.scenario.limits;
        let overloaded =
            self.member().update(now, |m| m.overloads_when_cold(work, limits.fall_multiple, limits.fall_ms));
        if overloaded {
            let warm_share = self.member().model.borrow().warm_share();
            let what = format!("server {} with {warm_share:.2} of its warm capacity", self.member().number);
            self.record_violation(Rule::PushedOver, identity.flow, what);
            self.member().stop(now);
        }
        overloaded
    }

    /// Offers the job to the server model; the error tells how a rejected attempt ends.
    fn offer(
        &self,
        identity: AttemptIdentity,
        work: f64,
        now: f64,
    ) -> Result<(u64, oneshot::Receiver<Completion>), AttemptEnd> {
        if self.connection.over_table_limit {
            return Err(AttemptEnd::Crowded);
        }
        let error = self.draw(identity, DRAW_ERROR) < self.member().model.borrow().parameters.error_rate;
        let key = self.arrival(identity).key;
        let offered = self.member().offer(now, |id| Job { id, work, key, error });
        let offered = offered.map_err(|reason| match reason {
            Rejection::Full => AttemptEnd::Full,
            Rejection::Draining | Rejection::Down => AttemptEnd::Draining,
        })?;
        let place = {
            let model = self.member().model.borrow();
            Place { zone: model.parameters.zone, cell: model.parameters.cell }
        };
        self.accounting().record_run(&self.environment().schedule, now, identity.attempt, place);
        Ok(offered)
    }

    /// Responds that the request was not started; returns false if the connection must be closed.
    async fn reject(
        &self,
        wire: &mut Wire<F::Stream>,
        identity: AttemptIdentity,
        reason: AttemptEnd,
        now: f64,
    ) -> bool {
        self.accounting().record_attempt_end(now, identity.attempt, reason);
        self.environment().clock.sleep(self.one_way).await;
        let mut headers = vec![("not-started", "1".to_owned())];
        if self.connection.over_table_limit {
            headers.push(("connection", "close".into()));
        }
        wire.write(&answer_bytes(503, &headers, b"")).await.is_ok() && !self.connection.over_table_limit
    }

    /// Waits for the completion of the job; returns `None` if the sidecar closes the connection or the server
    /// stops first.
    async fn wait_for_completion(
        &self,
        wire: &mut Wire<F::Stream>,
        identity: AttemptIdentity,
        job: u64,
        work: f64,
        mut done: oneshot::Receiver<Completion>,
    ) -> Option<Completion> {
        loop {
            tokio::select! {
                biased;
                done = &mut done => return done.ok(),
                more = wire.fill_buffer() => if !matches!(more, Ok(true)) {
                    // The sidecar closed the connection or its sending half, which cancels the attempt.
                    self.record_hang_up(identity, job, work);
                    return None;
                },
            }
        }
    }

    fn record_hang_up(&self, identity: AttemptIdentity, job: u64, work: f64) {
        let now = self.environment().clock.now();
        let cancelled = self.member().update(now, |m| m.cancel_job(job));
        let mut accounting = self.accounting();
        accounting.record_attempt_end(now, identity.attempt, AttemptEnd::HungUp);
        accounting.work_wasted += if cancelled { 0.0 } else { work };
    }

    /// Encodes the response to a completed job: valid, an error, or corrupted.
    fn encode_answer(&self, identity: AttemptIdentity, done: Completion) -> Vec<u8> {
        let now = self.environment().clock.now();
        if done.error {
            self.accounting().record_attempt_end(now, identity.attempt, AttemptEnd::Error);
            return answer_bytes(500, &[], b"error\n");
        }
        let body = self.answer_body(identity);
        let corruption = self.draw_corruption(identity);
        self.record_answer(identity, now, corruption, &body);
        corruption.map_or_else(|| self.valid_answer(&body), |s| s.bytes(&body))
    }

    fn answer_body(&self, identity: AttemptIdentity) -> Bytes {
        Bytes::from(format!(
            "{{\"id\":\"{:016x}\",\"server\":\"{}\",\"attempt\":{},\"price\":{:.2},\"valid\":true}}\n",
            identity.id,
            self.member().model.borrow().parameters.id,
            identity.attempt.1,
            self.draw(identity, DRAW_PRICE) * 1000.0
        ))
    }

    /// Draws whether and how the response is corrupted.
    fn draw_corruption(&self, identity: AttemptIdentity) -> Option<Corruption> {
        let kinds = corruption::ALL_CORRUPTIONS;
        let kind = (self.draw(identity, DRAW_CORRUPTION_KIND) * kinds.len() as f64) as usize % kinds.len();
        (self.draw(identity, DRAW_CORRUPTED) < self.connection.fleet.corrupted_share()).then(|| kinds[kind])
    }

    fn record_answer(
        &self,
        identity: AttemptIdentity,
        now: f64,
        corruption: Option<Corruption>,
        body: &Bytes,
    ) {
        let mut accounting = self.accounting();
        if let Some(corruption) = corruption {
            *accounting.corrupted_answers.entry(format!("{corruption:?}")).or_default() += 1;
        }
        let valid = corruption.is_none_or(Corruption::is_valid);
        let end = if valid { AttemptEnd::Served } else { AttemptEnd::Spoilt };
        accounting.record_attempt_end(now, identity.attempt, end);
        if valid {
            accounting.record_body(identity.attempt.0, body.clone());
        }
    }

    fn valid_answer(&self, body: &Bytes) -> Vec<u8> {
        let schedule = &self.environment().schedule;
        let reports = schedule.scenario.server.report_in_answers;
        let report = reports
            .then(|| ("server-load", self.member().report(self.environment().clock.now(), schedule.seed)));
        answer_bytes(200, report.as_slice(), body)
    }
}
