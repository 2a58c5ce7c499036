//! Reads the settings that an instance starts with. Keys that are not known are left alone.

use crate::wire::Fault;
use magpiewick::{Band, Budget, Group, Ms, Plan, Repeats, Start};
use std::collections::HashMap;
use std::str::FromStr;

pub const NS_PER_MS: f64 = 1e6;

struct Facts<'a>(HashMap<&'a str, &'a str>);

impl<'a> Facts<'a> {
    fn read(text: &'a str) -> Result<Facts<'a>, Fault> {
        let mut pairs = HashMap::new();
        for line in text.lines().filter(|line| !line.is_empty()) {
            let (key, value) =
                line.split_once('=').ok_or_else(|| format!("start setting without '=': {line:?}"))?;
            pairs.insert(key, value);
        }
        Ok(Facts(pairs))
    }

    fn parsed<T: FromStr>(&self, key: &str) -> Result<Option<T>, Fault> {
        let bad = |value: &&str| format!("start setting {key} has an impossible value {value:?}");
        self.0.get(key).map(|value| value.parse().map_err(|_| bad(value))).transpose()
    }

    /// A number that is finite and not below 0.
    fn number(&self, key: &str) -> Result<Option<f64>, Fault> {
        match self.parsed::<f64>(key)? {
            Some(v) if !v.is_finite() || v < 0.0 => {
                Err(format!("start setting {key} has an impossible value {v}"))
            }
            v => Ok(v),
        }
    }

    fn number_or(&self, key: &str, absent: f64) -> Result<f64, Fault> {
        Ok(self.number(key)?.unwrap_or(absent))
    }

    fn time(&self, key: &str) -> Result<Option<Ms>, Fault> {
        Ok(self.number(key)?.map(|ns| ns / NS_PER_MS))
    }

    fn needed<T>(&self, key: &str, value: Option<T>) -> Result<T, Fault> {
        value.ok_or_else(|| format!("start setting {key} is missing"))
    }

    fn flag(&self, key: &str) -> Result<bool, Fault> {
        Ok(self.parsed(key)?.unwrap_or(false))
    }

    fn one_of<T: Copy>(&self, key: &str, names: &[(&str, T)]) -> Result<Option<T>, Fault> {
        let Some(value) = self.0.get(key) else { return Ok(None) };
        match names.iter().find(|(name, _)| name == value) {
            Some((_, meant)) => Ok(Some(*meant)),
            None => Err(format!("start setting {key} has an impossible value {value:?}")),
        }
    }

    /// How many items a list has; each must at least be named, so a count cannot make the list grow.
    fn count(&self, list: &str) -> Result<usize, Fault> {
        let key = format!("{list}.count");
        let count: usize = self.parsed(&key)?.unwrap_or(0);
        if count > self.0.len() {
            return Err(format!("start setting {key} has an impossible value {count}"));
        }
        Ok(count)
    }

    fn band(&self, i: usize) -> Result<Band, Fault> {
        let key = |name: &str| format!("profiles.{i}.{name}");
        let repeats = [
            ("idempotent", Repeats::Retriable),
            ("deduplicated", Repeats::Fingerprinted),
            ("at_most_once", Repeats::Binding),
        ];
        let groups = [("all", Group::All), ("zone", Group::Zone), ("cell", Group::Shard)];
        Ok(Band {
            soft_limit: self.needed(&key("slo_ns"), self.time(&key("slo_ns"))?)?,
            time_limit: self.needed(&key("hard_limit_ns"), self.time(&key("hard_limit_ns"))?)?,
            payoff: self.number_or(&key("worth"), 1.0)?,
            repeats: self.needed(&key("semantics"), self.one_of(&key("semantics"), &repeats)?)?,
            group: self.one_of(&key("key_scope"), &groups)?.unwrap_or(Group::Shard),
            memory: self.time(&key("window_ns"))?.unwrap_or(0.0),
            in_order: self.flag(&key("in_turn"))?,
        })
    }

    fn plan(&self, i: usize) -> Result<Plan, Fault> {
        let number = |name: &str, absent| self.number_or(&format!("service_levels.{i}.{name}"), absent);
        Ok(Plan {
            price: number("price", 1.0)?,
            weight: number("proportion", 1.0)?,
            rate: number("rate", 0.0)?,
            reserve: number("reservation", 0.0)?,
            limit_rate: number("never_over", 0.0)?,
            limit_store: number("cap_depth", 0.0)?,
        })
    }
}

/// What the module is told at the start of an instance.
pub fn start(seed: u64, text: &str) -> Result<Start, Fault> {
    let f = Facts::read(text)?;
    let budget = match f.time("safety.counted_over_ns")? {
        Some(window) if window > 0.0 && f.0.contains_key("safety.extra_per_request") => Some(Budget {
            free: f.number_or("safety.free_resends", 0.0)?,
            share: f.number_or("safety.extra_per_request", 0.0)?,
            window,
        }),
        _ => None,
    };
    let asked = f.one_of("registry_mode", &[("push", false), ("ask", true)])?.unwrap_or(false);
    let ask_within = f.time("safety.must_ask_in_ns")?;
    Ok(Start {
        seed,
        hosts: f.number_or("balancers", 1.0)?.max(1.0),
        bands: (0..f.count("profiles")?).map(|i| f.band(i)).collect::<Result<_, _>>()?,
        plans: (0..f.count("service_levels")?).map(|i| f.plan(i)).collect::<Result<_, _>>()?,
        round: f.needed("round_ns", f.time("round_ns")?)?,
        max_hand_offs: f.parsed("limits.max_attempts")?.unwrap_or(1),
        may_cancel: f.flag("limits.cancelling")?,
        longest_back: match f.flag("limits.retry_after")? {
            true => f.time("limits.max_retry_after_ns")?.unwrap_or(0.0),
            false => 0.0,
        },
        ask_within: if asked { Some(f.needed("safety.must_ask_in_ns", ask_within)?) } else { None },
        cold_share: f.number_or("safety.cold_share", 1.0)?,
        cold_time: f.time("safety.cold_ns")?.unwrap_or(0.0),
        cold_units: f.number_or("specifics.cold_bears", 0.0)?,
        fall_time: f.time("safety.tip_after_ns")?.unwrap_or(0.0),
        fall_multiple: f.number_or("safety.fall_multiple", 1.0)?,
        order_rest: f.time("safety.order_pause_ns")?.unwrap_or(0.0),
        budget,
        most_units: f.number_or("specifics.units_top", 1.0)?,
        mean_units: f.number_or("specifics.unit_mean", 1.0)?,
        // The bench's servers take commands one by one.
        most_together: f.number_or("specifics.units_top", 1.0)?,
        share_payoff: f.number_or("specifics.share_worth", 1.0)?,
        counts_others: f.flag("specifics.counts_others")?,
        peer: match f.flag("limits.may_tell")? {
            true => Some(f.needed("my_number", f.parsed("my_number")?)?),
            false => None,
        },
    })
}
