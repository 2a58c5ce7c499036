//! An emulator that runs in a thread of its own.

use crate::config::EmulatorConfig;
use crate::emulator::{Command, Emulator};
use crate::error::EmulatorError;
use crate::node_event::NodeEvent;
use crate::received_attempt::AttemptInterceptor;
use crate::Ms;
use magpiewick_transport::{Clock, Poll};
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Sender};
use std::thread::JoinHandle;

/// A running emulator; stopped when it is dropped.
pub struct EmulatorHandle {
    commands: Sender<Command>,
    poll: Poll,
    thread: Option<JoinHandle<()>>,
    /// Where the endpoint list service listens.
    pub list_address: SocketAddr,
}

impl EmulatorHandle {
    /// Starts an emulator; `clock` gives the times of its records.
    pub fn start(
        config: EmulatorConfig,
        clock: Clock,
        interceptor: Option<Box<dyn AttemptInterceptor>>,
    ) -> Result<EmulatorHandle, EmulatorError> {
        let (commands, inbox) = channel();
        let mut emulator = Emulator::new(config, clock, interceptor)?;
        let (poll, list_address) = (emulator.poll(), emulator.list_address());
        let thread = std::thread::Builder::new().name("emulator".to_string());
        let thread = thread.spawn(move || emulator.run(&inbox));
        let thread = thread.map_err(|source| EmulatorError::StartThread { source })?;
        Ok(EmulatorHandle { commands, poll, thread: Some(thread), list_address })
    }

    /// Has the emulator do something between two turns of its event loop.
    pub fn execute(&self, command: impl FnOnce(&mut Emulator) + Send + 'static) {
        // An emulator that has ended needs no commands.
        _ = self.commands.send(Box::new(command));
        self.poll.wake();
    }

    /// Asks the emulator something and waits for the answer; `None` once it has ended.
    pub fn query<T: Send + 'static>(
        &self,
        query: impl FnOnce(&mut Emulator) -> T + Send + 'static,
    ) -> Option<T> {
        let (answer, answered) = channel();
        // The answer has a receiver until it comes.
        self.execute(move |emulator| _ = answer.send(query(emulator)));
        answered.recv().ok()
    }

    /// The events since they were last taken.
    pub fn take_events(&self) -> Vec<(Ms, NodeEvent)> {
        self.query(Emulator::take_events).unwrap_or_default()
    }
}

impl Drop for EmulatorHandle {
    fn drop(&mut self) {
        self.execute(Emulator::shut_down);
        if let Some(thread) = self.thread.take() {
            // An emulator that panicked has said so on standard error.
            _ = thread.join();
        }
    }
}
