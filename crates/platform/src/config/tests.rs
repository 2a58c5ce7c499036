use super::*;
use serde_json::json;

#[test]
fn changed_settings_are_named_up_to_the_limit() {
    let original =
        json!({"name": "n0", "limits": {"sockets": 9, "cores": 1.0}, "settings": {"a": {"b": [1, 2]}}});
    assert!(changed_settings(&original, &original).is_empty());
    let mut changed = original.clone();
    changed["limits"]["sockets"] = json!(10);
    changed["settings"]["a"]["b"] = json!([1, 3]);
    changed["settings"]["c"] = json!(true);
    assert_eq!(changed_settings(&original, &changed), ["limits.sockets", "settings.a.b", "settings.c"]);
    let many: serde_json::Map<String, Value> = (0..100).map(|i| (format!("s{i}"), json!(i))).collect();
    let names = changed_settings(&json!({}), &Value::Object(many));
    assert_eq!((names.len(), names.last().map(String::as_str)), (MAX_NAMED_SETTINGS + 1, Some("88 more")));
}
