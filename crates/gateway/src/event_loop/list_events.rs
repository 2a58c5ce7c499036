//! Handling of messages from the endpoint list service, and of the endpoint list that is cached across
//! restarts.

use super::Gateway;
use crate::endpoint_list::ListChange;
use crate::protocol_error::{for_each_frame, ProtocolError};
use magpiewick::EndpointUpdate;
use magpiewick_node_protocol::{self as wire, Decoded, EndpointListUpdate, Message};
use std::io::ErrorKind;

impl Gateway {
    pub(super) fn on_list_readable(&mut self, key: usize) {
        let Some((input, stream_end)) = self.connections.read(key) else { return };
        let (consumed, error) = for_each_frame(&input, |message| self.on_list_message(message));
        self.connections.return_input(key, input, consumed);
        if let Some(error) = error {
            self.connections.on_list_connection_lost(&error);
        } else if let Some(stream_end) = stream_end {
            self.connections.on_list_connection_lost(&stream_end);
        }
    }

    fn on_list_message(&mut self, message: Message<'_>) -> Result<(), ProtocolError> {
        match message {
            Message::EndpointList(update) => self.on_endpoint_list(&update),
            Message::ExtentMap(update) => self.on_extent_map(&update),
            Message::WatchRejected => {
                self.connections.on_list_answer();
                self.engine.on_endpoint_update(self.connections.now(), EndpointUpdate::PollFailed, &[]);
            }
            Message::Hello(_) => {}
            _ => return Err(ProtocolError::UnexpectedFromListService),
        }
        Ok(())
    }

    fn on_endpoint_list(&mut self, update: &EndpointListUpdate) {
        self.connections.on_list_answer();
        let now = self.connections.now();
        let (epoch, snapshot, entries) = (update.epoch, update.snapshot, update.entries.len());
        match self.connections.endpoint_list_mut().apply(now, update) {
            ListChange::Updated(kind, endpoints) => {
                tracing::info!(epoch, snapshot, entries, "endpoint_list_updated");
                self.engine.on_endpoint_update(now, kind, &endpoints);
                self.connections.on_endpoint_list_changed();
                self.cache_endpoint_list();
            }
            ListChange::Gap => {
                tracing::warn!(epoch, "endpoint_list_gap_found");
                self.connections.request_endpoint_snapshot();
            }
            ListChange::Stale => {}
        }
    }

    /// Restores the endpoint list that the previous run of this host cached.
    pub(super) fn restore_endpoint_list(&mut self) {
        let Some(path) = &self.config.list_service.cache_path else { return };
        let bytes = match std::fs::read(path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == ErrorKind::NotFound => return,
            Err(error) => {
                return tracing::warn!(path = %path.display(), %error, "cached_endpoint_list_read_failed")
            }
        };
        match wire::decode(&bytes) {
            Ok(Decoded::Frame(Message::EndpointList(cached), length)) if length == bytes.len() => {
                let now = self.connections.now();
                let endpoints = self.connections.endpoint_list_mut().restore(now, &cached);
                tracing::info!(entries = endpoints.len(), "endpoint_list_restored");
                self.connections.on_endpoint_list_changed();
                self.engine.on_endpoint_update(now, EndpointUpdate::Restored, &endpoints);
            }
            _ => tracing::warn!(path = %path.display(), "cached_endpoint_list_invalid"),
        }
    }

    /// Caches the endpoint list for the next start of this host.
    fn cache_endpoint_list(&self) {
        let Some(path) = &self.config.list_service.cache_path else { return };
        let mut bytes = Vec::new();
        let snapshot = self.connections.endpoint_list().snapshot(self.connections.now());
        wire::encode(&Message::EndpointList(snapshot), &mut bytes);
        let new_path = path.with_extension("new");
        let cached = std::fs::write(&new_path, &bytes).and_then(|()| std::fs::rename(&new_path, path));
        if let Err(error) = cached {
            tracing::warn!(path = %path.display(), %error, "cached_endpoint_list_write_failed");
        }
    }
}
