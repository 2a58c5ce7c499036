//! Connection to the endpoint list service, with the endpoint list and extent map.

use super::Connections;
use crate::endpoint_list::EndpointList;
use crate::list_connection::ReconnectAction;
use crate::poll_key::{poll_key, Source};
use crate::timer::Timer;
use magpiewick::Ms;
use magpiewick_node_protocol::Message;

impl Connections {
    pub(crate) fn endpoint_list(&self) -> &EndpointList {
        &self.endpoint_list
    }

    pub(crate) fn endpoint_list_mut(&mut self) -> &mut EndpointList {
        &mut self.endpoint_list
    }

    pub(crate) fn extent_map(&self) -> &magpiewick_extents::ExtentMapView {
        &self.extent_map
    }

    pub(crate) fn extent_map_mut(&mut self) -> &mut magpiewick_extents::ExtentMapView {
        &mut self.extent_map
    }

    /// Schedules a new lookup of the extents in migration.
    pub(crate) fn reroute_at(&mut self, at: Ms) {
        self.timers.set(at, Timer::Reroute);
    }

    /// Returns the poll key of the connection to the list service.
    pub(crate) fn list_key(&self) -> Option<usize> {
        self.list_connection.key()
    }

    /// Watches the endpoint list from this host's epoch on.
    pub(crate) fn watch_endpoints(&mut self) {
        let hello = Message::Hello(self.hello);
        let watched = self.list_connection.watch(&self.poll, &hello, self.endpoint_list.epoch());
        match watched {
            Ok(()) => self.note_to_write(poll_key(Source::ListService, 0)),
            Err(error) => self.on_list_connection_lost(&error),
        }
    }

    /// Requests the whole endpoint list on the open connection.
    pub(crate) fn request_endpoint_snapshot(&mut self) {
        if self.list_connection.watch_endpoints(0) {
            self.note_to_write(poll_key(Source::ListService, 0));
        }
    }

    /// Requests the extent map, if the service serves it.
    pub(crate) fn request_extent_map(&mut self) {
        if self.list_connection.watch_map() {
            self.note_to_write(poll_key(Source::ListService, 0));
        }
    }

    /// Records an answer of the list service.
    pub(crate) fn on_list_answer(&mut self) {
        self.list_connection.on_answer();
    }

    /// Handles the loss of the connection to the list service, or a failure to open it.
    pub(crate) fn on_list_connection_lost(&mut self, reason: &dyn std::error::Error) {
        tracing::warn!(%reason, "endpoint_list_connection_lost");
        match self.list_connection.on_lost(self.now) {
            ReconnectAction::ReportPollFailed => self.events.poll_failed = true,
            ReconnectAction::ReconnectAt(at) => self.timers.set(at, Timer::ReconnectList),
        }
    }
}
