//! The settings of an instance: their names and meaning, read for the simulator's wire and for the platform alike.
//! Unknown keys are ignored.

use magpiewick::{
    DeduplicationScope, Idempotency, Ms, QosPolicy, RequestClass, RetryBudget, SchedulerConfig,
};
use std::collections::HashMap;
use std::str::FromStr;

use serde_json::Value;
use thiserror::Error;

/// Nanoseconds in a millisecond: settings are in the former, the scheduler counts in the latter.
pub const NS_PER_MS: f64 = 1e6;

/// What is wrong with the settings, and where.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SettingsError {
    /// A line is no pair of a key and a value.
    #[error("start setting without '=': {line:?}")]
    MissingSeparator {
        /// The line.
        line: String,
    },
    /// The settings are no JSON object.
    #[error("the start settings are not an object")]
    NotAnObject,
    /// A value cannot be read, or is out of range.
    #[error("start setting {key} has an impossible value {value}")]
    ImpossibleValue {
        /// The setting.
        key: String,
        /// Its value; text is quoted.
        value: String,
    },
    /// A setting that must be there is not.
    #[error("start setting {key} is missing")]
    Missing {
        /// The setting.
        key: String,
    },
}

impl SettingsError {
    fn impossible_text(key: &str, value: &str) -> SettingsError {
        SettingsError::ImpossibleValue { key: key.to_string(), value: format!("{value:?}") }
    }

    fn impossible_number(key: &str, value: impl ToString) -> SettingsError {
        SettingsError::ImpossibleValue { key: key.to_string(), value: value.to_string() }
    }

    fn missing(key: &str) -> SettingsError {
        SettingsError::Missing { key: key.to_string() }
    }
}

/// For callers whose errors are text.
impl From<SettingsError> for String {
    fn from(error: SettingsError) -> String {
        error.to_string()
    }
}

/// What a host on the platform reads: the names by which clients ask, and the limits of connections.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// The request classes, in the order of their numbers.
    pub classes: Vec<ClassSettings>,
    /// The names of QoS policies, in the order of their numbers.
    pub policies: Vec<String>,
    /// The names of zones, in the order of their numbers.
    pub zones: Vec<String>,
    /// How many shards there are; none where the settings do not say.
    pub shards: Option<usize>,
    /// The largest size of a request.
    pub max_units: f64,
    /// How long a connection to an endpoint may take to be established.
    pub connect_timeout: Option<Ms>,
    /// After how long endpoints close an idle connection.
    pub idle_timeout: Option<Ms>,
    /// Set where endpoint lists are pushed: for how long an endpoint may still be sent requests after its drain was
    /// announced.
    pub drain_grace: Option<Ms>,
}

/// A request class as clients name it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// Its name.
    pub name: String,
    /// How long a client waits over all its attempts.
    pub client_timeout: Ms,
    /// Whether its requests write; none where the settings do not say.
    pub writes: Option<bool>,
}

/// The settings as pairs of a dotted path and a value, whichever form they were in.
pub struct InstanceSettings(HashMap<String, String>);

impl InstanceSettings {
    /// Reads pairs of the form path=value, each on its own line.
    pub fn from_pairs(text: &str) -> Result<InstanceSettings, SettingsError> {
        let mut pairs = HashMap::new();
        for line in text.lines().filter(|line| !line.is_empty()) {
            let Some((key, value)) = line.split_once('=') else {
                return Err(SettingsError::MissingSeparator { line: line.to_string() });
            };
            pairs.insert(key.to_string(), value.to_string());
        }
        Ok(InstanceSettings(pairs))
    }

    /// Reads nested JSON: a list of plain values stands as these joined by commas, a list of objects as its
    /// length under `count` and its items under their numbers, as the pairs have it.
    pub fn from_json(settings: &Value) -> Result<InstanceSettings, SettingsError> {
        let mut pairs = HashMap::new();
        match settings {
            Value::Object(_) => flatten(String::new(), settings, &mut pairs),
            _ => return Err(SettingsError::NotAnObject),
        }
        Ok(InstanceSettings(pairs))
    }

    fn parsed<T: FromStr>(&self, key: &str) -> Result<Option<T>, SettingsError> {
        let Some(value) = self.0.get(key) else { return Ok(None) };
        value.parse().map(Some).map_err(|_| SettingsError::impossible_text(key, value))
    }

    /// A number that is finite and not below 0.
    fn number(&self, key: &str) -> Result<Option<f64>, SettingsError> {
        match self.parsed::<f64>(key)? {
            Some(number) if !number.is_finite() || number < 0.0 => {
                Err(SettingsError::impossible_number(key, number))
            }
            number => Ok(number),
        }
    }

    fn number_or(&self, key: &str, absent: f64) -> Result<f64, SettingsError> {
        Ok(self.number(key)?.unwrap_or(absent))
    }

    fn time(&self, key: &str) -> Result<Option<Ms>, SettingsError> {
        Ok(self.number(key)?.map(|ns| ns / NS_PER_MS))
    }

    fn required<T>(&self, key: &str, value: Option<T>) -> Result<T, SettingsError> {
        value.ok_or_else(|| SettingsError::missing(key))
    }

    fn flag(&self, key: &str) -> Result<bool, SettingsError> {
        Ok(self.parsed(key)?.unwrap_or(false))
    }

    fn choice<T: Copy>(&self, key: &str, names: &[(&str, T)]) -> Result<Option<T>, SettingsError> {
        let Some(value) = self.0.get(key) else { return Ok(None) };
        match names.iter().find(|(name, _)| name == value) {
            Some((_, chosen)) => Ok(Some(*chosen)),
            None => Err(SettingsError::impossible_text(key, value)),
        }
    }

    /// How many items a list has; each must at least be named, so a count cannot make the list grow.
    fn count(&self, list: &str) -> Result<usize, SettingsError> {
        let key = format!("{list}.count");
        let count: usize = self.parsed(&key)?.unwrap_or(0);
        if count > self.0.len() {
            return Err(SettingsError::impossible_number(&key, count));
        }
        Ok(count)
    }

    fn class(&self, i: usize) -> Result<RequestClass, SettingsError> {
        let key = |name: &str| format!("profiles.{i}.{name}");
        let idempotency = [
            ("idempotent", Idempotency::Idempotent),
            ("deduplicated", Idempotency::IdempotentWithKey),
            ("at_most_once", Idempotency::NonIdempotent),
        ];
        let scopes = [
            ("all", DeduplicationScope::All),
            ("zone", DeduplicationScope::Zone),
            ("cell", DeduplicationScope::Shard),
        ];
        Ok(RequestClass {
            latency_objective: self.required(&key("slo_ns"), self.time(&key("slo_ns"))?)?,
            client_timeout: self.required(&key("hard_limit_ns"), self.time(&key("hard_limit_ns"))?)?,
            priority_weight: self.number_or(&key("worth"), 1.0)?,
            idempotency: self.required(&key("semantics"), self.choice(&key("semantics"), &idempotency)?)?,
            deduplication_scope: self
                .choice(&key("key_scope"), &scopes)?
                .unwrap_or(DeduplicationScope::Shard),
            deduplication_window: self.time(&key("window_ns"))?.unwrap_or(0.0),
            ordered: self.flag(&key("in_turn"))?,
        })
    }

    fn policy(&self, i: usize) -> Result<QosPolicy, SettingsError> {
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

    /// Whether the endpoint list has to be polled; else it is pushed.
    fn is_list_polled(&self) -> Result<bool, SettingsError> {
        Ok(self.choice("registry_mode", &[("push", false), ("ask", true)])?.unwrap_or(false))
    }

    /// The scheduler's configuration.
    pub fn scheduler_config(&self, seed: u64) -> Result<SchedulerConfig, SettingsError> {
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
        let polled = self.is_list_polled()?;
        let max_poll_interval = self.time("safety.must_ask_in_ns")?;
        Ok(SchedulerConfig {
            seed,
            hosts: self.number_or("balancers", 1.0)?.max(1.0),
            classes: (0..self.count("profiles")?).map(|i| self.class(i)).collect::<Result<_, _>>()?,
            policies: (0..self.count("service_levels")?).map(|i| self.policy(i)).collect::<Result<_, _>>()?,
            action_interval: self.required("round_ns", self.time("round_ns")?)?,
            max_attempts: self.parsed("limits.max_attempts")?.unwrap_or(1),
            can_cancel: self.flag("limits.cancelling")?,
            max_retry_after: match self.flag("limits.retry_after")? {
                true => self.time("limits.max_retry_after_ns")?.unwrap_or(0.0),
                false => 0.0,
            },
            max_poll_interval: if polled {
                Some(self.required("safety.must_ask_in_ns", max_poll_interval)?)
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
            // The simulator's endpoints take requests one by one.
            max_batch_units: self.number_or("specifics.units_top", 1.0)?,
            share_weight: self.number_or("specifics.share_worth", 1.0)?,
            counts_remote_service: self.flag("specifics.counts_others")?,
            host_number: match self.flag("limits.may_tell")? {
                true => Some(self.required("my_number", self.parsed("my_number")?)?),
                false => None,
            },
        })
    }

    /// What a host on the platform has to know beside it.
    pub fn platform_settings(&self) -> Result<PlatformSettings, SettingsError> {
        let list = |key: &str| self.0.get(key).map(String::as_str).unwrap_or_default();
        let writes: Vec<&str> = list("specifics.changes_data").split(',').collect();
        let name = |key: &str| self.required(key, self.0.get(key).cloned());
        let class = |i: usize| {
            let writes = match writes.get(i) {
                Some(&"true") => Some(true),
                Some(&"false") => Some(false),
                _ => None,
            };
            let client_timeout = self.class(i)?.client_timeout;
            Ok(ClassSettings { name: name(&format!("profiles.{i}.name"))?, client_timeout, writes })
        };
        Ok(PlatformSettings {
            classes: (0..self.count("profiles")?).map(class).collect::<Result<_, SettingsError>>()?,
            policies: (0..self.count("service_levels")?)
                .map(|i| name(&format!("service_levels.{i}.name")))
                .collect::<Result<_, SettingsError>>()?,
            zones: list("zones").split(',').map(str::to_string).collect(),
            shards: self.parsed("specifics.n_shards")?,
            max_units: self.number_or("specifics.units_top", f64::INFINITY)?,
            connect_timeout: self.time("limits.dial_timeout_ns")?,
            idle_timeout: self.time("limits.keepalive_ns")?,
            drain_grace: match self.is_list_polled()? {
                true => None,
                false => Some(self.time("safety.stop_sending_within_ns")?.unwrap_or(0.0)),
            },
        })
    }
}

/// Turns nested JSON into pairs.
fn flatten(path: String, value: &Value, pairs: &mut HashMap<String, String>) {
    let below = |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
    match value {
        Value::Object(members) => members.iter().for_each(|(name, v)| flatten(below(name), v, pairs)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.insert(below("count"), items.len().to_string());
            items.iter().enumerate().for_each(|(i, item)| flatten(below(&i.to_string()), item, pairs));
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(to_text).collect();
            pairs.insert(path, items.join(","));
        }
        Value::Null => {}
        value => _ = pairs.insert(path, to_text(value)),
    }
}

/// A single value as the pairs have it.
fn to_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        value => value.to_string(),
    }
}
