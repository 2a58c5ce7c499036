//! One instance on the bench's wire: the engine, and what writes the engine's wishes as the wire's actions.

use crate::wire::Reply;
use magpiewick::{Answer, Endpoint, EndpointUpdate, FinalStatus, GossipReport, Ms, SchedulerConfig};
use magpiewick_engine::{AttemptRef, Engine, Environment, IncomingRequest, Reason};
use magpiewick_instance_settings::NS_PER_MS;

pub struct Host {
    number: u32,
    engine: Engine,
    timer: Timer,
}

/// The wire's timers cannot be taken back, so a new one is set only where it comes before the one that stands.
#[derive(Default)]
struct Timer {
    armed: Option<u64>,
    label: u32,
}

struct Actions<'a> {
    number: u32,
    now: u64,
    timer: &'a mut Timer,
    reply: &'a mut Reply,
}

pub fn ms(ns: u64) -> Ms {
    ns as f64 / NS_PER_MS
}

fn ns(ms: Ms) -> u64 {
    (ms * NS_PER_MS).max(0.0) as u64
}

impl Environment for Actions<'_> {
    fn send(&mut self, node: u32, attempts: &[AttemptRef]) {
        for part in attempts {
            let timeout = ns(part.timeout).max(1);
            self.reply.u8(3).u32(self.number).u64(part.request_id).u32(node).u64(timeout);
        }
    }

    fn cancel(&mut self, request: u64, attempt: u32) {
        self.reply.u8(7).u32(self.number).u64(request).u16(attempt as u16);
    }

    fn answer(&mut self, request: u64, ending: FinalStatus, _: Reason) {
        match ending {
            FinalStatus::Rejected { retry_after } => {
                self.reply.u8(4).u32(self.number).u64(request).u64(ns(retry_after))
            }
            FinalStatus::Failed => self.reply.u8(10).u32(self.number).u64(request),
        };
    }

    fn check_health(&mut self, node: u32) {
        self.reply.u8(1).u32(self.number).u32(node);
    }

    fn poll_endpoints(&mut self) {
        self.reply.u8(6).u32(self.number).u8(1);
    }

    fn send_gossip(&mut self, to: &[usize], told: &[(u16, GossipReport)]) {
        for message in magpiewick_gossip::written(told) {
            for peer in to {
                self.reply.u8(9).u32(self.number).u16(*peer as u16).u16(message.len() as u16).put(&message);
            }
        }
    }

    fn wake(&mut self, at: Ms) {
        let wait = ns(at - ms(self.now)).max(1);
        let at = self.now.saturating_add(wait);
        if self.timer.armed.is_none_or(|armed| at < armed) {
            self.timer.label = self.timer.label.wrapping_add(1);
            self.timer.armed = Some(at);
            self.reply.u8(12).u32(self.number).u64(wait).u32(self.timer.label);
        }
    }
}

impl Host {
    pub fn new(number: u32, start: SchedulerConfig, now: u64) -> Host {
        Host { number, engine: Engine::new(start, ms(now)), timer: Timer::default() }
    }

    fn with<'a>(&'a mut self, now: u64, reply: &'a mut Reply) -> (&'a mut Engine, Actions<'a>) {
        (&mut self.engine, Actions { number: self.number, now, timer: &mut self.timer, reply })
    }

    pub fn listed(&mut self, now: u64, news: EndpointUpdate, entries: &[(u32, Endpoint)]) {
        self.engine.on_endpoint_update(ms(now), news, entries);
    }

    pub fn take(&mut self, now: u64, taken: IncomingRequest, reply: &mut Reply) {
        let (engine, mut actions) = self.with(now, reply);
        engine.submit(ms(now), taken, &mut actions);
    }

    pub fn outcome(&mut self, now: u64, id: u64, answer: Answer, reply: &mut Reply) {
        let (engine, mut actions) = self.with(now, reply);
        engine.on_outcome(ms(now), id, answer, &mut actions);
    }

    pub fn abandoned(&mut self, now: u64, id: u64) {
        self.engine.on_client_disconnect(ms(now), id);
    }

    /// A message from another host; one that cannot be read counts as one that got lost.
    pub fn told(&mut self, now: u64, from: u16, message: &[u8]) {
        if let Ok(told) = magpiewick_gossip::read(message) {
            self.engine.on_gossip(ms(now), usize::from(from), &told);
        }
    }

    pub fn reminded(&mut self, label: u32) {
        if label == self.timer.label {
            self.timer.armed = None;
        }
    }

    pub fn run(&mut self, now: u64, reply: &mut Reply) {
        let (engine, mut actions) = self.with(now, reply);
        engine.run(ms(now), &mut actions);
    }
}
