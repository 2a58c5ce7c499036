//! What a start setting is called and means, read once for the bench's wire and for the platform. Keys that are
//! not known are left alone.

use magpiewick::{
    DeduplicationScope, Idempotency, Ms, QosPolicy, RequestClass, RetryBudget, SchedulerConfig,
};
use std::collections::HashMap;
use std::str::FromStr;

use serde_json::Value;

/// What was wrong with the settings, and where.
pub type Fault = String;

pub const NS_PER_MS: f64 = 1e6;

/// What the door to the platform reads: the names by which clients ask, and what the connections must keep to.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    pub classes: Vec<ClassSettings>,
    pub plans: Vec<String>,
    pub zones: Vec<String>,
    pub shards: Option<usize>,
    pub max_units: f64,
    /// A connection that does not stand by then counts as not come up.
    pub dial: Option<Ms>,
    /// Nodes close connections that were idle for so long.
    pub idle: Option<Ms>,
    /// Set where lists are pushed: for how long a node may still be sent to after its drain was told.
    pub pushed: Option<Ms>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    pub name: String,
    /// How long a client waits over all its tries.
    pub client_timeout: Ms,
    /// Whether its requests write; none where the settings do not say.
    pub writes: Option<bool>,
}

/// The settings as pairs of a dotted path and a value, whichever form they came in.
pub struct InstanceSettings(HashMap<String, String>);

impl InstanceSettings {
    /// Reads pairs of the form path=value, each on its own line.
    pub fn pairs(text: &str) -> Result<InstanceSettings, Fault> {
        let mut pairs = HashMap::new();
        for line in text.lines().filter(|line| !line.is_empty()) {
            let (key, value) =
                line.split_once('=').ok_or_else(|| format!("start setting without '=': {line:?}"))?;
            pairs.insert(key.to_string(), value.to_string());
        }
        Ok(InstanceSettings(pairs))
    }

    /// Reads nested JSON: a list of plain values stands as these joined by commas, a list of objects as its
    /// length under `count` and its items under their numbers, as the pairs have it.
    pub fn json(settings: &Value) -> Result<InstanceSettings, Fault> {
        let mut pairs = HashMap::new();
        match settings {
            Value::Object(_) => nested(String::new(), settings, &mut pairs),
            _ => return Err("the start settings are not an object".to_string()),
        }
        Ok(InstanceSettings(pairs))
    }

    fn parsed<T: FromStr>(&self, key: &str) -> Result<Option<T>, Fault> {
        let bad = |value: &String| format!("start setting {key} has an impossible value {value:?}");
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

    fn class(&self, i: usize) -> Result<RequestClass, Fault> {
        let key = |name: &str| format!("profiles.{i}.{name}");
        let idempotency = [
            ("idempotent", Idempotency::Idempotent),
            ("deduplicated", Idempotency::IdempotentWithKey),
            ("at_most_once", Idempotency::NonIdempotent),
        ];
        let groups = [
            ("all", DeduplicationScope::All),
            ("zone", DeduplicationScope::Zone),
            ("cell", DeduplicationScope::Shard),
        ];
        Ok(RequestClass {
            latency_objective: self.needed(&key("slo_ns"), self.time(&key("slo_ns"))?)?,
            client_timeout: self.needed(&key("hard_limit_ns"), self.time(&key("hard_limit_ns"))?)?,
            priority_weight: self.number_or(&key("worth"), 1.0)?,
            idempotency: self.needed(&key("semantics"), self.one_of(&key("semantics"), &idempotency)?)?,
            deduplication_scope: self
                .one_of(&key("key_scope"), &groups)?
                .unwrap_or(DeduplicationScope::Shard),
            deduplication_window: self.time(&key("window_ns"))?.unwrap_or(0.0),
            ordered: self.flag(&key("in_turn"))?,
        })
    }

    fn plan(&self, i: usize) -> Result<QosPolicy, Fault> {
        let number = |name: &str, absent| self.number_or(&format!("service_levels.{i}.{name}"), absent);
        Ok(QosPolicy {
            price: number("price", 1.0)?,
            weight: number("proportion", 1.0)?,
            rate: number("rate", 0.0)?,
            reserve: number("reservation", 0.0)?,
            limit_rate: number("never_over", 0.0)?,
            limit_burst: number("cap_depth", 0.0)?,
        })
    }

    /// Whether the endpoint list must be asked for; else it is pushed.
    fn asked(&self) -> Result<bool, Fault> {
        Ok(self.one_of("registry_mode", &[("push", false), ("ask", true)])?.unwrap_or(false))
    }

    /// What the module is told at the start of an instance.
    pub fn scheduler_config(&self, seed: u64) -> Result<SchedulerConfig, Fault> {
        let budget = match self.time("safety.counted_over_ns")? {
            Some(window) if window > 0.0 && self.0.contains_key("safety.extra_per_request") => {
                Some(RetryBudget {
                    free: self.number_or("safety.free_resends", 0.0)?,
                    share: self.number_or("safety.extra_per_request", 0.0)?,
                    window,
                })
            }
            _ => None,
        };
        let asked = self.asked()?;
        let max_poll_interval = self.time("safety.must_ask_in_ns")?;
        Ok(SchedulerConfig {
            seed,
            hosts: self.number_or("balancers", 1.0)?.max(1.0),
            classes: (0..self.count("profiles")?).map(|i| self.class(i)).collect::<Result<_, _>>()?,
            policies: (0..self.count("service_levels")?).map(|i| self.plan(i)).collect::<Result<_, _>>()?,
            round: self.needed("round_ns", self.time("round_ns")?)?,
            max_attempts: self.parsed("limits.max_attempts")?.unwrap_or(1),
            can_cancel: self.flag("limits.cancelling")?,
            max_retry_after: match self.flag("limits.retry_after")? {
                true => self.time("limits.max_retry_after_ns")?.unwrap_or(0.0),
                false => 0.0,
            },
            max_poll_interval: if asked {
                Some(self.needed("safety.must_ask_in_ns", max_poll_interval)?)
            } else {
                None
            },
            slow_start_share: self.number_or("safety.cold_share", 1.0)?,
            slow_start_duration: self.time("safety.cold_ns")?.unwrap_or(0.0),
            slow_start_units: self.number_or("specifics.cold_bears", 0.0)?,
            overload_window: self.time("safety.tip_after_ns")?.unwrap_or(0.0),
            overload_multiple: self.number_or("safety.fall_multiple", 1.0)?,
            ordering_quiet_period: self.time("safety.order_pause_ns")?.unwrap_or(0.0),
            budget,
            max_units: self.number_or("specifics.units_top", 1.0)?,
            mean_units: self.number_or("specifics.unit_mean", 1.0)?,
            // The bench's servers take requests one by one.
            max_batch_units: self.number_or("specifics.units_top", 1.0)?,
            share_weight: self.number_or("specifics.share_worth", 1.0)?,
            counts_remote_service: self.flag("specifics.counts_others")?,
            peer: match self.flag("limits.may_tell")? {
                true => Some(self.needed("my_number", self.parsed("my_number")?)?),
                false => None,
            },
        })
    }

    /// What a door to clients and nodes must know beside it.
    pub fn platform_settings(&self) -> Result<PlatformSettings, Fault> {
        let text = |key: String| self.0.get(&key).cloned();
        let list = |key: &str| self.0.get(key).map(String::as_str).unwrap_or_default();
        let writes: Vec<&str> = list("specifics.changes_data").split(',').collect();
        let name = |key: String| text(key.clone()).ok_or_else(|| format!("start setting {key} is missing"));
        let class = |i: usize| {
            let writes = match writes.get(i) {
                Some(&"true") => Some(true),
                Some(&"false") => Some(false),
                _ => None,
            };
            let client_timeout = self.class(i)?.client_timeout;
            Ok(ClassSettings { name: name(format!("profiles.{i}.name"))?, client_timeout, writes })
        };
        Ok(PlatformSettings {
            classes: (0..self.count("profiles")?).map(class).collect::<Result<_, Fault>>()?,
            plans: (0..self.count("service_levels")?)
                .map(|i| name(format!("service_levels.{i}.name")))
                .collect::<Result<_, Fault>>()?,
            zones: list("zones").split(',').map(str::to_string).collect(),
            shards: self.parsed("specifics.n_shards")?,
            max_units: self.number_or("specifics.units_top", f64::INFINITY)?,
            dial: self.time("limits.dial_timeout_ns")?,
            idle: self.time("limits.keepalive_ns")?,
            pushed: match self.asked()? {
                true => None,
                false => Some(self.time("safety.stop_sending_within_ns")?.unwrap_or(0.0)),
            },
        })
    }
}

fn nested(path: String, value: &Value, pairs: &mut HashMap<String, String>) {
    let below = |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
    match value {
        Value::Object(members) => members.iter().for_each(|(name, v)| nested(below(name), v, pairs)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.insert(below("count"), items.len().to_string());
            items.iter().enumerate().for_each(|(i, item)| nested(below(&i.to_string()), item, pairs));
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(plain).collect();
            pairs.insert(path, items.join(","));
        }
        Value::Null => {}
        value => _ = pairs.insert(path, plain(value)),
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        value => value.to_string(),
    }
}
