//! Both forms of one object give the same view.

use magpiewick_instance_settings::InstanceSettings;
use serde_json::{json, Value};

fn settings() -> Value {
    json!({
        "balancers": 3,
        "family": "stores",
        "zones": ["hall-a", "hall-b"],
        "stats": {"columns": [], "source": "silent"},
        "limits": {"cancelling": true, "max_attempts": 3, "retry_after": true, "may_tell": false,
            "max_retry_after_ns": 500_000_000u64, "dial_timeout_ns": 250_000_000u64,
            "keepalive_ns": 30_000_000_000u64},
        "my_number": 2,
        "profiles": [
            {"name": "read", "slo_ns": 200_000_000u64, "hard_limit_ns": 1_200_000_000u64, "worth": 3.0,
                "semantics": "idempotent", "key_scope": "all", "window_ns": 5_000_000_000u64},
            {"name": "write", "slo_ns": 200_000_000u64, "hard_limit_ns": 1_000_000_000u64, "in_turn": true,
                "semantics": "deduplicated", "key_scope": "cell", "window_ns": 1_500_000_000u64}
        ],
        "registry_mode": "ask",
        "round_ns": 2_000_000,
        "safety": {"must_ask_in_ns": 10_000_000_000u64, "cold_share": 0.15, "extra_per_request": 0.25,
            "counted_over_ns": 5_000_000_000u64, "free_resends": 3.0, "order_pause_ns": null},
        "service_levels": [{"name": "basico", "price": 0.96, "rate": 5.3}],
        "specifics": {"changes_data": [false, true], "n_shards": 8, "units_top": 6, "share_worth": 0.35,
            "counts_others": true},
    })
}

const PAIRS: &str = "balancers=3\nfamily=stores\nzones=hall-a,hall-b\nstats.columns=\nstats.source=silent\n\
    limits.cancelling=true\nlimits.max_attempts=3\nlimits.retry_after=true\nlimits.may_tell=false\n\
    limits.max_retry_after_ns=500000000\nlimits.dial_timeout_ns=250000000\nlimits.keepalive_ns=30000000000\n\
    my_number=2\nprofiles.count=2\nprofiles.0.name=read\nprofiles.0.slo_ns=200000000\n\
    profiles.0.hard_limit_ns=1200000000\nprofiles.0.worth=3.0\nprofiles.0.semantics=idempotent\n\
    profiles.0.key_scope=all\nprofiles.0.window_ns=5000000000\nprofiles.1.name=write\n\
    profiles.1.slo_ns=200000000\nprofiles.1.hard_limit_ns=1000000000\nprofiles.1.in_turn=true\n\
    profiles.1.semantics=deduplicated\nprofiles.1.key_scope=cell\nprofiles.1.window_ns=1500000000\n\
    registry_mode=ask\nround_ns=2000000\nsafety.must_ask_in_ns=10000000000\nsafety.cold_share=0.15\n\
    safety.extra_per_request=0.25\nsafety.counted_over_ns=5000000000\nsafety.free_resends=3.0\n\
    service_levels.count=1\nservice_levels.0.name=basico\nservice_levels.0.price=0.96\n\
    service_levels.0.rate=5.3\nspecifics.changes_data=false,true\nspecifics.n_shards=8\n\
    specifics.units_top=6\nspecifics.share_worth=0.35\nspecifics.counts_others=true";

#[test]
fn nested_and_dotted_settings_mean_the_same() {
    let (nested, dotted) =
        (InstanceSettings::from_json(&settings()).unwrap(), InstanceSettings::from_pairs(PAIRS).unwrap());
    assert_eq!(
        format!("{:?}", nested.scheduler_config(7).unwrap()),
        format!("{:?}", dotted.scheduler_config(7).unwrap())
    );
    let platform = nested.platform_settings().unwrap();
    assert_eq!(platform, dotted.platform_settings().unwrap());
    assert_eq!((platform.classes[1].name.as_str(), platform.classes[1].writes), ("write", Some(true)));
    assert_eq!((platform.zones.len(), platform.shards, platform.idle_timeout), (2, Some(8), Some(30_000.0)));
}

#[test]
fn the_same_errors_are_named_in_both_forms() {
    let mut bad = settings();
    bad["profiles"][0]["slo_ns"] = json!("soon");
    let nested = InstanceSettings::from_json(&bad).unwrap().scheduler_config(7).unwrap_err();
    let dotted = PAIRS.replace("profiles.0.slo_ns=200000000", "profiles.0.slo_ns=soon");
    assert_eq!(nested, InstanceSettings::from_pairs(&dotted).unwrap().scheduler_config(7).unwrap_err());
    assert!(nested.to_string().contains("profiles.0.slo_ns"), "{nested}");
    bad["profiles"][0]["slo_ns"] = Value::Null;
    assert!(InstanceSettings::from_json(&bad)
        .unwrap()
        .scheduler_config(7)
        .unwrap_err()
        .to_string()
        .contains("is missing"));
    assert!(InstanceSettings::from_json(&json!([1])).is_err());
    assert!(InstanceSettings::from_json(&json!({})).unwrap().scheduler_config(7).is_err());
}
