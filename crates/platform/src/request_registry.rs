//! Requests of clients, each until it has been answered and none of its attempts is in flight.

use crate::endpoint_table::EndpointTable;
use crate::reactor::ConnectionKey;
use crate::request_log::RequestLabels;
use crate::request_stages::{AnsweredRequest, RequestTimes};
use magpiewick::{Ms, Outcome};
use std::collections::HashMap;

/// Attempt of a request that is in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct InFlightAttempt {
    /// Number of the attempt, counted from 0.
    pub attempt: u32,
    /// Connection that carries the attempt; none where none could be opened.
    pub connection: Option<ConnectionKey>,
    /// Start time of the attempt.
    pub started_at: Ms,
}

/// Endpoint of the latest attempt, and its outcome once the attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LatestAttempt {
    /// Number of the endpoint.
    pub endpoint: u32,
    /// Outcome; none while the attempt is in flight.
    pub outcome: Option<Outcome>,
}

/// Open request.
pub(crate) struct OpenRequest {
    client: Option<ConnectionKey>,
    id: String,
    head: Vec<u8>,
    body: Vec<u8>,
    in_flight: Option<InFlightAttempt>,
    times: RequestTimes,
    attempts: u32,
    latest: Option<LatestAttempt>,
}

impl OpenRequest {
    /// Creates a request that was just received. `head` and `body` are sent to endpoints.
    pub(crate) fn new(
        client: ConnectionKey,
        id: &str,
        head: Vec<u8>,
        body: Vec<u8>,
        times: RequestTimes,
    ) -> OpenRequest {
        OpenRequest {
            client: Some(client),
            id: id.to_string(),
            head,
            body,
            in_flight: None,
            times,
            attempts: 0,
            latest: None,
        }
    }

    /// Returns the connection of the client that awaits the response.
    pub(crate) fn client(&self) -> Option<ConnectionKey> {
        self.client
    }

    /// Returns the id that the client assigned.
    pub(crate) fn id(&self) -> &str {
        &self.id
    }

    /// Returns the head for endpoints, without the deadline.
    pub(crate) fn head(&self) -> &[u8] {
        &self.head
    }

    /// Returns the body for endpoints.
    pub(crate) fn body(&self) -> &[u8] {
        &self.body
    }

    /// Returns the memory that the request takes.
    pub(crate) fn memory_bytes(&self) -> usize {
        self.head.capacity() + self.body.capacity()
    }

    /// Removes and returns the client. The request is not sent again without one, and its content is released.
    fn detach_client(&mut self) -> Option<ConnectionKey> {
        (self.head, self.body) = (Vec::new(), Vec::new());
        self.client.take()
    }

    /// Returns the record of the request when it is answered.
    pub(crate) fn answered(&self, now: Ms) -> AnsweredRequest {
        AnsweredRequest { id: self.id.clone(), times: self.times, answered_at: now }
    }

    /// Returns the attempt in flight.
    pub(crate) fn in_flight(&self) -> Option<InFlightAttempt> {
        self.in_flight
    }

    /// Returns the latest attempt.
    pub(crate) fn latest(&self) -> Option<LatestAttempt> {
        self.latest
    }

    /// Returns the labels of the request for the log.
    pub(crate) fn labels<'a>(&'a self, endpoints: &'a EndpointTable, now: Ms) -> RequestLabels<'a> {
        RequestLabels {
            id: &self.id,
            attempts: self.attempts,
            age: (now - self.times.parsed_at).max(0.0),
            endpoint: self.latest.and_then(|latest| endpoints.id(latest.endpoint)),
        }
    }
}

/// All requests by the numbers that the engine uses.
#[derive(Default)]
pub(crate) struct RequestRegistry {
    requests: HashMap<u64, OpenRequest>,
    numbers: HashMap<String, u64>,
    last_number: u64,
}

impl RequestRegistry {
    /// Returns a number that no other request of this process has.
    pub(crate) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Adds a request.
    pub(crate) fn insert(&mut self, number: u64, request: OpenRequest) {
        self.numbers.insert(request.id.clone(), number);
        self.requests.insert(number, request);
    }

    /// Returns a request.
    pub(crate) fn get(&self, number: u64) -> Option<&OpenRequest> {
        self.requests.get(&number)
    }

    /// Returns the number of requests.
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether the registry is empty.
    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns whether a request with this client-assigned id is open.
    pub(crate) fn contains_id(&self, id: &str) -> bool {
        self.numbers.contains_key(id)
    }

    /// Returns the numbers of all requests in order.
    pub(crate) fn numbers(&self) -> Vec<u64> {
        let mut numbers: Vec<u64> = self.requests.keys().copied().collect();
        numbers.sort_unstable();
        numbers
    }

    /// Returns all attempts in flight.
    pub(crate) fn attempts_in_flight(&self) -> Vec<(u64, u32)> {
        let in_flight = |(number, request): (&u64, &OpenRequest)| Some((*number, request.in_flight?.attempt));
        self.requests.iter().filter_map(in_flight).collect()
    }

    /// Returns the client that awaits the response, and removes it from the request.
    #[must_use = "the client awaits its response"]
    pub(crate) fn take_client(&mut self, number: u64) -> Option<ConnectionKey> {
        self.requests.get_mut(&number)?.detach_client()
    }

    /// Removes the disconnected client from its request.
    pub(crate) fn clear_client(&mut self, number: u64) {
        if let Some(request) = self.requests.get_mut(&number) {
            request.detach_client();
        }
    }

    /// Records the start of an attempt; returns false where the request is not in the registry.
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

    /// Records the end of the attempt in flight, and returns its record.
    pub(crate) fn on_attempt_finished(&mut self, number: u64, outcome: Outcome) -> Option<InFlightAttempt> {
        let request = self.requests.get_mut(&number)?;
        let attempt = request.in_flight.take()?;
        if let Some(latest) = &mut request.latest {
            latest.outcome = Some(outcome);
        }
        Some(attempt)
    }

    /// Removes a request that has been answered and has no attempt in flight.
    pub(crate) fn release_if_done(&mut self, number: u64) {
        let is_done = |request: &OpenRequest| request.client.is_none() && request.in_flight.is_none();
        if !self.requests.get(&number).is_some_and(is_done) {
            return;
        }
        if let Some(request) = self.requests.remove(&number) {
            self.numbers.remove(&request.id);
        }
    }
}

#[cfg(test)]
mod tests;
