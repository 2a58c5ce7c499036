//! Polls of the endpoint list, its changes, and reloads of the configuration.

use super::EventLoop;
use crate::discovery_log::ReloadResult;
use crate::endpoint_discovery::ReceivedList;
use crate::reload::ReloadEvent;
use magpiewick::{PollStep, PollTarget};

impl EventLoop {
    /// Performs the steps that the endpoint client requests.
    pub(super) fn run_discovery(&mut self) {
        while let Some(step) = self.discovery.next_step(self.proxy.now()) {
            match step {
                PollStep::Call { call, target } => self.start_poll(call, target),
                PollStep::Abort { call } => self.discovery.cancel_poll(self.proxy.reactor_mut(), call),
            }
        }
        self.check_list_validity();
    }

    pub(super) fn start_poll(&mut self, poll: u64, target: PollTarget) {
        self.discovery.begin_poll(self.proxy.now(), poll, target);
        let opened = match self.discovery.open_connection(self.proxy.reactor_mut()) {
            Err(error) if self.proxy.evict_client_for_descriptor(&error) => {
                self.discovery.open_connection(self.proxy.reactor_mut())
            }
            opened => opened,
        };
        self.discovery.send_poll(self.proxy.reactor_mut(), poll, target, opened);
    }

    /// Reports a change of the list's validity to the engine. When the list expires, attempts without a written byte
    /// are withdrawn.
    pub(super) fn check_list_validity(&mut self) {
        let Some(change) = self.discovery.check_validity(self.proxy.now()) else { return };
        self.engine.set_endpoint_list_expired(change.expired);
        if change.expired {
            self.proxy.withdraw_all_unwritten();
        }
    }

    pub(super) fn on_endpoint_list(&mut self, received: &ReceivedList) {
        let endpoints = self.proxy.apply_endpoint_list(&received.list);
        self.engine.on_endpoint_update(self.proxy.now(), received.update, &endpoints);
        if received.from_current_address {
            self.proxy.mark_ready();
        }
        // The next poll follows a response at once.
        self.run_discovery();
    }

    pub(super) fn on_sighup(&mut self) {
        self.sighup.take();
        self.reload.request();
        self.reload_config();
    }

    pub(super) fn reload_config(&mut self) {
        let now = self.proxy.now();
        match self.reload.read(now) {
            ReloadEvent::Failed { error, first } => {
                let retry_in = self.reload.retry_at().map(|at| at - now);
                self.discovery.on_reload_failed(now, &error, first, retry_in);
            }
            ReloadEvent::Loaded { discovery, needs_restart } => {
                if !needs_restart.is_empty() {
                    tracing::warn!(settings = needs_restart.join(", "), "changed_settings_need_restart");
                }
                let result = self.discovery.on_config_reloaded(self.proxy.reactor_mut(), discovery);
                if result == ReloadResult::AddressChanged {
                    self.run_discovery();
                }
            }
        }
    }
}
