//! Instance on the simulator's wire: its engine, and the environment that writes the engine's calls as actions of
//! the wire.

use crate::reply::{action_code, Reply};
use magpiewick::{
    Answer, Endpoint, EndpointUpdate, FinalAnswer, FinalStatus, GossipReport, Ms, SchedulerConfig,
};
use magpiewick_engine::{AttemptRef, Engine, Environment, IncomingRequest, Reason};
use magpiewick_instance_settings::NS_PER_MS;

/// Instance of the process.
pub(crate) struct Host {
    number: u32,
    engine: Engine,
    timer: Timer,
}

/// Timer of an instance. The wire's timers cannot be cancelled, so a new one is set only if it is due before the
/// armed one.
#[derive(Default)]
struct Timer {
    armed_for_ns: Option<u64>,
    label: u32,
}

struct ReplyEnvironment<'a> {
    number: u32,
    now_ns: u64,
    timer: &'a mut Timer,
    reply: &'a mut Reply,
}

/// Converts nanoseconds of the wire to the scheduler's milliseconds.
pub(crate) fn ms(ns: u64) -> Ms {
    ns as f64 / NS_PER_MS
}

fn ns(ms: Ms) -> u64 {
    (ms * NS_PER_MS).max(0.0) as u64
}

impl ReplyEnvironment<'_> {
    /// Starts an action of this instance.
    fn action(&mut self, code: u8) -> &mut Reply {
        self.reply.u8(code).u32(self.number)
    }
}

impl Environment for ReplyEnvironment<'_> {
    fn send(&mut self, node: u32, attempts: &[AttemptRef]) {
        for attempt in attempts {
            let timeout_ns = ns(attempt.timeout).max(1);
            self.action(action_code::SEND).u64(attempt.request_id).u32(node).u64(timeout_ns);
        }
    }

    fn cancel(&mut self, request_id: u64, attempt: u32) {
        self.action(action_code::CANCEL).u64(request_id).u16(attempt as u16);
    }

    fn answer(&mut self, request_id: u64, answer: FinalAnswer, _: Reason) {
        match answer.status {
            FinalStatus::Rejected { retry_after } => {
                self.action(action_code::REJECT).u64(request_id).u64(ns(retry_after))
            }
            FinalStatus::Failed => self.action(action_code::FAIL).u64(request_id),
        };
    }

    fn check_health(&mut self, node: u32) {
        self.action(action_code::CHECK_HEALTH).u32(node);
    }

    fn poll_endpoints(&mut self) {
        /// Flag that requests the changes as well.
        const WATCH: u8 = 1;
        self.action(action_code::POLL_ENDPOINTS).u8(WATCH);
    }

    fn send_gossip(&mut self, hosts: &[usize], reports: &[(u16, GossipReport)]) {
        for message in magpiewick_gossip::encode(reports) {
            for host in hosts {
                let action = self.action(action_code::SEND_GOSSIP);
                action.u16(*host as u16).u16(message.len() as u16).put(&message);
            }
        }
    }

    fn schedule_run(&mut self, at: Ms) {
        let delay_ns = ns(at - ms(self.now_ns)).max(1);
        let due_ns = self.now_ns.saturating_add(delay_ns);
        if self.timer.armed_for_ns.is_none_or(|armed_for_ns| due_ns < armed_for_ns) {
            self.timer.label = self.timer.label.wrapping_add(1);
            self.timer.armed_for_ns = Some(due_ns);
            let label = self.timer.label;
            self.action(action_code::SET_TIMER).u64(delay_ns).u32(label);
        }
    }
}

impl Host {
    /// Creates an instance that starts now.
    pub(crate) fn new(number: u32, config: SchedulerConfig, now_ns: u64) -> Host {
        Host { number, engine: Engine::new(config, ms(now_ns)), timer: Timer::default() }
    }

    fn with_environment<'a>(
        &'a mut self,
        now_ns: u64,
        reply: &'a mut Reply,
    ) -> (&'a mut Engine, ReplyEnvironment<'a>) {
        let environment = ReplyEnvironment { number: self.number, now_ns, timer: &mut self.timer, reply };
        (&mut self.engine, environment)
    }

    /// Applies an update of the endpoint list.
    pub(crate) fn on_endpoint_update(
        &mut self,
        now_ns: u64,
        update: EndpointUpdate,
        endpoints: &[(u32, Endpoint)],
    ) {
        self.engine.on_endpoint_update(ms(now_ns), update, endpoints);
    }

    /// Submits a new request.
    pub(crate) fn submit(&mut self, now_ns: u64, incoming: IncomingRequest, reply: &mut Reply) {
        let (engine, mut environment) = self.with_environment(now_ns, reply);
        engine.submit(ms(now_ns), incoming, &mut environment);
    }

    /// Applies the outcome of an attempt.
    pub(crate) fn on_outcome(&mut self, now_ns: u64, request_id: u64, answer: Answer, reply: &mut Reply) {
        let (engine, mut environment) = self.with_environment(now_ns, reply);
        engine.on_outcome(ms(now_ns), request_id, answer, &mut environment);
    }

    /// Records that a client has disconnected.
    pub(crate) fn on_client_disconnect(&mut self, now_ns: u64, request_id: u64) {
        self.engine.on_client_disconnect(ms(now_ns), request_id);
    }

    /// Applies a message from another host; a message that cannot be decoded counts as lost.
    pub(crate) fn on_gossip(&mut self, now_ns: u64, from: u16, message: &[u8]) {
        if let Ok(reports) = magpiewick_gossip::decode(message) {
            self.engine.on_gossip(ms(now_ns), usize::from(from), &reports);
        }
    }

    /// Records that a timer is due; the caller then calls [`Host::run`].
    pub(crate) fn on_timer(&mut self, label: u32) {
        if label == self.timer.label {
            self.timer.armed_for_ns = None;
        }
    }

    /// Carries out all due actions.
    pub(crate) fn run(&mut self, now_ns: u64, reply: &mut Reply) {
        let (engine, mut environment) = self.with_environment(now_ns, reply);
        engine.run(ms(now_ns), &mut environment);
    }
}
