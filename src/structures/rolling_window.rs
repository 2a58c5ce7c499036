//! Sums over a sliding window of time.

use crate::types::Ms;

/// Least number of values in a bucket for its mean to count.
const MIN_VALUES_OF_MEAN: f64 = 3.0;

#[derive(Clone, Copy, Default)]
struct Bucket {
    sum: f64,
    count: f64,
}

/// Sums of values over the latest buckets of time, stored in a ring. The ring has one bucket more than
/// the window, as the newest bucket is incomplete.
#[derive(Default)]
pub(crate) struct RollingWindow {
    bucket_length: Ms,
    newest: i64,
    buckets: Vec<Bucket>,
}

impl RollingWindow {
    /// Creates a window of `buckets` buckets.
    pub(crate) fn new(bucket_length: Ms, buckets: usize) -> RollingWindow {
        RollingWindow { bucket_length, newest: i64::MIN / 2, buckets: vec![Bucket::default(); buckets + 1] }
    }

    /// Clears the buckets that have left the window, and returns the index of the newest one.
    fn advance(&mut self, now: Ms) -> usize {
        let current = (now / self.bucket_length).floor() as i64;
        let length = self.buckets.len() as i64;
        for passed in (self.newest + 1).max(current - length + 1)..=current {
            self.buckets[passed.rem_euclid(length) as usize] = Bucket::default();
        }
        self.newest = self.newest.max(current);
        self.newest.rem_euclid(length) as usize
    }

    /// Adds a value.
    pub(crate) fn add(&mut self, now: Ms, value: f64) {
        let newest = self.advance(now);
        self.buckets[newest].sum += value;
        self.buckets[newest].count += 1.0;
    }

    /// Returns the sum over all buckets, which is never less than that of the window.
    pub(crate) fn upper_sum(&mut self, now: Ms) -> f64 {
        self.advance(now);
        self.buckets.iter().map(|bucket| bucket.sum).sum()
    }

    /// Returns the sum without the oldest bucket, which is never more than that of the window.
    pub(crate) fn lower_sum(&mut self, now: Ms) -> f64 {
        let oldest = (self.advance(now) + 1) % self.buckets.len();
        let within = self.buckets.iter().enumerate().filter(|(index, _)| *index != oldest);
        within.map(|(_, bucket)| bucket.sum).sum()
    }

    /// Returns the lowest mean of any bucket that has enough values.
    pub(crate) fn lowest_mean(&mut self, now: Ms) -> Option<f64> {
        self.advance(now);
        let sufficient = self.buckets.iter().filter(|bucket| bucket.count >= MIN_VALUES_OF_MEAN);
        sufficient.map(|bucket| bucket.sum / bucket.count).min_by(f64::total_cmp)
    }
}
