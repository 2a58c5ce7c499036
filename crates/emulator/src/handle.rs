//! Runs an emulator in a separate thread.

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

/// A running emulator, stopped on drop.
pub struct EmulatorHandle {
    commands: Sender<Command>,
    poll: Poll,
    thread: Option<JoinHandle<()>>,
    /// Address on which the endpoint list service listens.
    pub list_address: SocketAddr,
}

impl EmulatorHandle {
    /// Starts an emulator; `clock` provides the times of its records.
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

    /// Executes a command in the emulator, between two iterations of its event loop.
    pub fn execute(&self, command: impl FnOnce(&mut Emulator) + Send + 'static) {
        // Sending fails if the emulator has ended; it needs no more commands.
        _ = self.commands.send(Box::new(command));
        self.poll.wake();
    }

    /// Executes a query in the emulator and waits for the result; `None` if the emulator has ended.
    pub fn query<T: Send + 'static>(
        &self,
        query: impl FnOnce(&mut Emulator) -> T + Send + 'static,
    ) -> Option<T> {
        let (sender, receiver) = channel();
        // The receiver exists until the result is received, so sending does not fail.
        self.execute(move |emulator| _ = sender.send(query(emulator)));
        receiver.recv().ok()
    }

    /// Returns the events recorded since the last call.
    pub fn take_events(&self) -> Vec<(Ms, NodeEvent)> {
        self.query(Emulator::take_events).unwrap_or_default()
    }
}

impl Drop for EmulatorHandle {
    fn drop(&mut self) {
        self.execute(Emulator::shut_down);
        if let Some(thread) = self.thread.take() {
            // A panic has already been reported on standard error.
            _ = thread.join();
        }
    }
}
