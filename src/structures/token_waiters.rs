//! Requests that wait for tokens of their volume's bucket.

use super::{total_order_key, TimerQueue};
use crate::types::Ms;
use std::collections::BTreeMap;

/// Request that waits for tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct TokenWaiter {
    /// Volume whose tokens the request waits for.
    pub volume: usize,
    /// Number in the order of arrival.
    pub arrival: u64,
    /// Index of the request.
    pub id: usize,
    /// Number of tokens that the request needs.
    pub units: f64,
}

/// Waiting requests of one volume by the units that they need, then by arrival.
type ByUnits = BTreeMap<i64, BTreeMap<u64, TokenWaiter>>;

/// Waiting requests by volume, and one timer per volume for the time at which its bucket may cover the
/// smallest request. Tokens that become free wake only the requests that they cover.
#[derive(Default)]
pub(crate) struct TokenWaiters {
    by_volume: BTreeMap<usize, ByUnits>,
    checks: TimerQueue<usize>,
    /// Time of the timer of each volume that has waiting requests.
    check_at: BTreeMap<usize, Ms>,
}

impl TokenWaiters {
    /// Adds a request that its volume's bucket does not cover before `covered_at`.
    pub(crate) fn add(&mut self, waiter: TokenWaiter, covered_at: Ms) {
        let of_volume = self.by_volume.entry(waiter.volume).or_default();
        let same_units = of_volume.entry(total_order_key(waiter.units)).or_default();
        same_units.insert(waiter.arrival, waiter);
        let check_at = self.check_at.get(&waiter.volume).map_or(covered_at, |at| at.min(covered_at));
        self.check_at(waiter.volume, check_at);
    }

    /// Removes a request, if it is waiting.
    pub(crate) fn remove(&mut self, volume: usize, arrival: u64, units: f64) {
        let Some(of_volume) = self.by_volume.get_mut(&volume) else { return };
        let key = total_order_key(units);
        let Some(same_units) = of_volume.get_mut(&key) else { return };
        same_units.remove(&arrival);
        if same_units.is_empty() {
            of_volume.remove(&key);
        }
        if of_volume.is_empty() {
            self.by_volume.remove(&volume);
            self.check_at.remove(&volume);
            self.checks.set(volume, None);
        }
    }

    /// Schedules a check of a volume, if any request waits for its tokens.
    pub(crate) fn check_at(&mut self, volume: usize, at: Ms) {
        if self.by_volume.contains_key(&volume) {
            self.check_at.insert(volume, at);
            self.checks.set(volume, Some(at));
        }
    }

    /// Returns the volumes that are due for a check by `now`.
    pub(crate) fn due_checks(&self, now: Ms) -> Vec<usize> {
        self.checks.due(now).collect()
    }

    /// Returns the waiting request of a volume that needs the fewest tokens.
    pub(crate) fn smallest(&self, volume: usize) -> Option<TokenWaiter> {
        let same_units = self.by_volume.get(&volume)?.first_key_value()?.1;
        same_units.first_key_value().map(|(_, waiter)| *waiter)
    }

    /// Removes and returns the requests of a volume that `available` tokens cover: in the order of
    /// arrival, each covered by the tokens left by earlier ones.
    #[must_use]
    pub(crate) fn take_covered(&mut self, volume: usize, mut available: f64) -> Vec<TokenWaiter> {
        let mut covered = Vec::new();
        while let Some(waiter) = self.first_covered(volume, available) {
            self.remove(volume, waiter.arrival, waiter.units);
            available -= waiter.units;
            covered.push(waiter);
        }
        covered
    }

    /// Returns the first request in the order of arrival that the tokens cover.
    fn first_covered(&self, volume: usize, available: f64) -> Option<TokenWaiter> {
        let of_volume = self.by_volume.get(&volume)?;
        let covered = of_volume.range(..=total_order_key(available));
        let first_of_each = covered.filter_map(|(_, same_units)| same_units.first_key_value());
        first_of_each.min_by_key(|(arrival, _)| **arrival).map(|(_, waiter)| *waiter)
    }
}
