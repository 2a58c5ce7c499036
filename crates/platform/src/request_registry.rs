//! The requests of clients, each until its response is given and none of its attempts is in flight.

use crate::endpoint_table::EndpointTable;
use crate::reactor::ConnectionKey;
use crate::request_log::RequestLabels;
use magpiewick::{Ms, Outcome};
use std::collections::HashMap;

/// The attempt of a request that is in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct InFlightAttempt {
    /// The number of the attempt, counted from 0.
    pub attempt: u32,
    /// The connection that carries it; none where none could be opened.
    pub connection: Option<ConnectionKey>,
    /// When it was started.
    pub started_at: Ms,
}

/// The endpoint of the latest attempt, and its outcome once it has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LatestAttempt {
    /// The endpoint's number.
    pub endpoint: u32,
    /// None while it is in flight.
    pub outcome: Option<Outcome>,
}

/// A request.
pub(crate) struct OpenRequest {
    client: Option<ConnectionKey>,
    id: String,
    head: Vec<u8>,
    body: Vec<u8>,
    in_flight: Option<InFlightAttempt>,
    received_at: Ms,
    attempts: u32,
    latest: Option<LatestAttempt>,
}

impl OpenRequest {
    /// A request that a client has just sent. `head` and `body` are what an endpoint is sent.
    pub(crate) fn new(client: ConnectionKey, id: &str, head: Vec<u8>, body: Vec<u8>, now: Ms) -> OpenRequest {
        OpenRequest {
            client: Some(client),
            id: id.to_string(),
            head,
            body,
            in_flight: None,
            received_at: now,
            attempts: 0,
            latest: None,
        }
    }

    /// The connection of the client that waits for the response.
    pub(crate) fn client(&self) -> Option<ConnectionKey> {
        self.client
    }

    /// The id that the client has given it.
    pub(crate) fn id(&self) -> &str {
        &self.id
    }

    /// The head that endpoints are sent, up to the deadline.
    pub(crate) fn head(&self) -> &[u8] {
        &self.head
    }

    /// The body that endpoints are sent.
    pub(crate) fn body(&self) -> &[u8] {
        &self.body
    }

    /// The attempt in flight.
    pub(crate) fn in_flight(&self) -> Option<InFlightAttempt> {
        self.in_flight
    }

    /// The latest attempt.
    pub(crate) fn latest(&self) -> Option<LatestAttempt> {
        self.latest
    }

    /// The request as the log names it.
    pub(crate) fn labels<'a>(&'a self, endpoints: &'a EndpointTable, now: Ms) -> RequestLabels<'a> {
        RequestLabels {
            id: &self.id,
            attempts: self.attempts,
            age: now - self.received_at,
            endpoint: self.latest.and_then(|latest| endpoints.id(latest.endpoint)),
        }
    }
}

/// All requests by the numbers under which the engine knows them.
#[derive(Default)]
pub(crate) struct RequestRegistry {
    requests: HashMap<u64, OpenRequest>,
    numbers: HashMap<String, u64>,
    last_number: u64,
}

impl RequestRegistry {
    /// A number that no other request of this process has.
    pub(crate) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Adds a request.
    pub(crate) fn insert(&mut self, number: u64, request: OpenRequest) {
        self.numbers.insert(request.id.clone(), number);
        self.requests.insert(number, request);
    }

    /// A request.
    pub(crate) fn get(&self, number: u64) -> Option<&OpenRequest> {
        self.requests.get(&number)
    }

    /// How many requests there are.
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether there is none.
    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Whether a request with this id of a client's is open.
    pub(crate) fn contains_id(&self, id: &str) -> bool {
        self.numbers.contains_key(id)
    }

    /// The memory that a request takes.
    pub(crate) fn memory_bytes(&self, number: u64) -> usize {
        self.requests.get(&number).map_or(0, |request| request.head.len() + request.body.len())
    }

    /// All requests, in order.
    pub(crate) fn numbers(&self) -> Vec<u64> {
        let mut numbers: Vec<u64> = self.requests.keys().copied().collect();
        numbers.sort_unstable();
        numbers
    }

    /// All attempts in flight.
    pub(crate) fn attempts_in_flight(&self) -> Vec<(u64, u32)> {
        let in_flight = |(number, request): (&u64, &OpenRequest)| Some((*number, request.in_flight?.attempt));
        self.requests.iter().filter_map(in_flight).collect()
    }

    /// The client that is to be given the response now; nobody waits for it any more.
    #[must_use = "the client is owed its response"]
    pub(crate) fn take_client(&mut self, number: u64) -> Option<ConnectionKey> {
        self.requests.get_mut(&number)?.client.take()
    }

    /// The client has disconnected.
    pub(crate) fn forget_client(&mut self, number: u64) {
        if let Some(request) = self.requests.get_mut(&number) {
            request.client = None;
        }
    }

    /// An attempt has started; false where the request is not known.
    pub(crate) fn on_attempt_started(
        &mut self,
        number: u64,
        endpoint: u32,
        attempt: InFlightAttempt,
    ) -> bool {
        let Some(request) = self.requests.get_mut(&number) else { return false };
        request.attempts += 1;
        request.latest = Some(LatestAttempt { endpoint, outcome: None });
        request.in_flight = Some(attempt);
        true
    }

    /// The attempt in flight has ended; what was known of it.
    pub(crate) fn on_attempt_finished(&mut self, number: u64, outcome: Outcome) -> Option<InFlightAttempt> {
        let request = self.requests.get_mut(&number)?;
        let attempt = request.in_flight.take()?;
        if let Some(latest) = &mut request.latest {
            latest.outcome = Some(outcome);
        }
        Some(attempt)
    }

    /// Forgets a request that has its response and no attempt in flight.
    pub(crate) fn release_if_done(&mut self, number: u64) {
        let done = |request: &OpenRequest| request.client.is_none() && request.in_flight.is_none();
        if !self.requests.get(&number).is_some_and(done) {
            return;
        }
        if let Some(request) = self.requests.remove(&number) {
            self.numbers.remove(&request.id);
        }
    }
}

#[cfg(test)]
mod tests;
