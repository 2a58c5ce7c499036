//! Floating-point numbers as keys of ordered collections.

/// Returns an integer whose order is that of `f64::total_cmp`.
pub(crate) fn total_order_key(number: f64) -> i64 {
    let bits = number.to_bits() as i64;
    bits ^ (((bits >> 63) as u64) >> 1) as i64
}
