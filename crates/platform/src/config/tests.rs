use super::*;
use serde_json::json;

#[test]
fn changed_settings_are_named_within_a_bound() {
    let one = json!({"name": "n0", "limits": {"sockets": 9, "cores": 1.0}, "settings": {"a": {"b": [1, 2]}}});
    assert!(changed_settings(&one, &one).is_empty());
    let mut other = one.clone();
    other["limits"]["sockets"] = json!(10);
    other["settings"]["a"]["b"] = json!([1, 3]);
    other["settings"]["c"] = json!(true);
    assert_eq!(changed_settings(&one, &other), ["limits.sockets", "settings.a.b", "settings.c"]);
    let many: serde_json::Map<String, Value> = (0..100).map(|i| (format!("s{i}"), json!(i))).collect();
    let labels = changed_settings(&json!({}), &Value::Object(many));
    assert_eq!((labels.len(), labels.last().map(String::as_str)), (MAX_NAMED_SETTINGS + 1, Some("88 more")));
}
