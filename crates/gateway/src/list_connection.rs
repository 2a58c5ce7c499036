//! Connection to the endpoint list service.

use crate::config::ListServiceConfig;
use crate::poll_key::{poll_key, Source};
use crate::reconnect_backoff::ReconnectBackoff;
use magpiewick::Ms;
use magpiewick_node_protocol::Message;
use magpiewick_transport::{Connection, Poll, UNTRACKED};
use std::io;
use std::net::SocketAddr;

/// Action after the connection was lost.
#[must_use]
pub(crate) enum ReconnectAction {
    /// Report a failed poll; the scheduler decides when to poll again.
    ReportPollFailed,
    /// Connect again at the given time.
    ReconnectAt(Ms),
}

/// The connection, and whether an answer of the service is outstanding on it.
pub(crate) struct ListConnection {
    address: SocketAddr,
    /// True if the service must be polled; otherwise it pushes updates.
    is_polled: bool,
    /// True if the service also serves the extent map.
    serves_map: bool,
    connection: Option<Connection>,
    /// True if a request for the list has not been answered.
    unanswered: bool,
    backoff: ReconnectBackoff,
}

impl ListConnection {
    pub(crate) fn new(config: &ListServiceConfig, seed: u64) -> ListConnection {
        ListConnection {
            address: config.address,
            is_polled: config.polled,
            serves_map: config.serves_map,
            connection: None,
            unanswered: false,
            backoff: ReconnectBackoff::new(seed),
        }
    }

    /// Returns the poll key of the open connection.
    pub(crate) fn key(&self) -> Option<usize> {
        self.connection.as_ref().map(Connection::key)
    }

    pub(crate) fn connection_mut(&mut self) -> Option<&mut Connection> {
        self.connection.as_mut()
    }

    /// Watches the list from an epoch on. Opens a new connection where there is none, or where the last watch
    /// was not answered: otherwise a stalled service would be polled forever on the same connection.
    pub(crate) fn watch(&mut self, poll: &Poll, hello: &Message<'_>, epoch: u64) -> io::Result<()> {
        if self.unanswered && self.connection.take().is_some() {
            tracing::warn!("endpoint_list_watch_unanswered");
        }
        if self.connection.is_some() {
            self.watch_endpoints(epoch);
            return Ok(());
        }
        let mut connection = Connection::connect(poll, self.address, poll_key(Source::ListService, 0))?;
        connection.queue(hello, UNTRACKED);
        self.connection = Some(connection);
        self.watch_map();
        // The list may be served by another process now, whose epochs are not comparable.
        self.watch_endpoints(0);
        Ok(())
    }

    /// Requests the list from an epoch on; returns false where there is no connection.
    pub(crate) fn watch_endpoints(&mut self, epoch: u64) -> bool {
        let Some(connection) = &mut self.connection else { return false };
        connection.queue(&Message::WatchEndpoints { epoch }, UNTRACKED);
        self.unanswered = true;
        true
    }

    /// Requests the extent map; returns false where there is no connection, or the service serves no map.
    pub(crate) fn watch_map(&mut self) -> bool {
        let serves_map = self.serves_map;
        let Some(connection) = self.connection.as_mut().filter(|_| serves_map) else { return false };
        connection.queue(&Message::WatchMap, UNTRACKED);
        true
    }

    /// Records an answer of the service.
    pub(crate) fn on_answer(&mut self) {
        self.unanswered = false;
        self.backoff.on_success();
    }

    /// Handles the loss of the connection, or a failure to open it.
    pub(crate) fn on_lost(&mut self, now: Ms) -> ReconnectAction {
        self.connection = None;
        self.unanswered = false;
        if self.is_polled {
            return ReconnectAction::ReportPollFailed;
        }
        ReconnectAction::ReconnectAt(self.backoff.on_failure(now))
    }
}
