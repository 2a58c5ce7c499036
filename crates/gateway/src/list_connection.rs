//! The connection to the endpoint list service.

use crate::config::ListServiceConfig;
use crate::poll_key::{poll_key, Source};
use crate::reconnect_backoff::ReconnectBackoff;
use magpiewick::Ms;
use magpiewick_node_protocol::Message;
use magpiewick_transport::{Connection, Poll, UNTRACKED};
use std::io;
use std::net::SocketAddr;

/// What to do after the connection was lost.
#[must_use]
pub(crate) enum AfterLoss {
    /// The scheduler decides when to poll again.
    ReportPollFailed,
    /// Connect again then.
    ReconnectAt(Ms),
}

/// The connection, and whether the service owes an answer on it.
pub(crate) struct ListConnection {
    address: SocketAddr,
    /// The service is polled; else it pushes.
    is_polled: bool,
    /// The service serves the extent map too.
    serves_map: bool,
    connection: Option<Connection>,
    /// The service was asked and has not answered.
    unanswered: bool,
    backoff: ReconnectBackoff,
}

impl ListConnection {
    pub(crate) fn new(source: &ListServiceConfig, seed: u64) -> ListConnection {
        ListConnection {
            address: source.address,
            is_polled: source.polled,
            serves_map: source.serves_map,
            connection: None,
            unanswered: false,
            backoff: ReconnectBackoff::new(seed),
        }
    }

    /// The poll key of the open connection.
    pub(crate) fn key(&self) -> Option<usize> {
        self.connection.as_ref().map(Connection::key)
    }

    pub(crate) fn connection_mut(&mut self) -> Option<&mut Connection> {
        self.connection.as_mut()
    }

    /// Watches the list from an epoch on, over a new connection where there is none or where the last watch was not
    /// answered: a service that stalled would be asked for ever.
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
        // Another process may serve the list by now, whose epochs mean something else.
        self.watch_endpoints(0);
        Ok(())
    }

    /// Requests the list from an epoch on; false where there is no connection.
    pub(crate) fn watch_endpoints(&mut self, epoch: u64) -> bool {
        let Some(connection) = &mut self.connection else { return false };
        connection.queue(&Message::WatchEndpoints { epoch }, UNTRACKED);
        self.unanswered = true;
        true
    }

    /// Requests the extent map; false where there is no connection, or the service serves none.
    pub(crate) fn watch_map(&mut self) -> bool {
        let serves_map = self.serves_map;
        let Some(connection) = self.connection.as_mut().filter(|_| serves_map) else { return false };
        connection.queue(&Message::WatchMap, UNTRACKED);
        true
    }

    /// The service answered.
    pub(crate) fn on_answer(&mut self) {
        self.unanswered = false;
        self.backoff.on_success();
    }

    /// The connection was lost, or could not be opened.
    pub(crate) fn on_lost(&mut self, now: Ms) -> AfterLoss {
        self.connection = None;
        self.unanswered = false;
        if self.is_polled {
            return AfterLoss::ReportPollFailed;
        }
        AfterLoss::ReconnectAt(self.backoff.on_failure(now))
    }
}
