//! The whole path on loopback under injected faults: hosts as processes, emulated services, clients, and the audit.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::Mutex;

/// Scenarios measure against the clock, so they run one at a time.
static ALONE: Mutex<()> = Mutex::new(());

fn file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../drills").join(name)
}

fn drill(name: &str, more: &[&str]) -> (Option<i32>, serde_json::Value) {
    let _alone = ALONE.lock().unwrap_or_else(|e| e.into_inner());
    let mut command = Command::new(env!("CARGO_BIN_EXE_magpiewick"));
    let Output { status, stdout, stderr } =
        command.arg("drill").arg(file(name)).args(["--format", "json"]).args(more).output().unwrap();
    let said = String::from_utf8_lossy(&stderr);
    (status.code(), serde_json::from_slice(&stdout).unwrap_or_else(|e| panic!("{e}: {said}")))
}

/// A good day: every rule had work to do and was kept, and every try is accounted for.
fn kept(name: &str, seed: &[&str]) -> serde_json::Value {
    let (code, found) = drill(name, &[&["--seed"], seed].concat());
    assert_eq!((code, &found["findings"]), (Some(0), &serde_json::json!([])), "{found:#}");
    for (rule, checked) in found["checked"].as_object().unwrap() {
        assert!(checked.as_u64().unwrap() > 0, "{rule} had nothing to check");
    }
    let count = |name: &str| found[name].as_u64().unwrap();
    let ended = ["settled", "bounced", "scrapped", "host_died", "unanswered"].map(count);
    assert_eq!(ended.iter().sum::<u64>(), count("taken"));
    found
}

#[test]
fn the_bad_day_keeps_every_rule() {
    let taken: u64 =
        ["1", "2", "3"].iter().map(|s| kept("bad-day.hcl", &[s])["taken"].as_u64().unwrap()).sum();
    assert!(taken > 250_000, "{taken} commands in three days");
}

#[test]
fn nodes_that_come_back_are_not_stormed_whatever_clients_do() {
    let same = |found: serde_json::Value| {
        let returns = found["storms"]["returns"].as_array().unwrap().clone();
        assert_eq!(returns.len(), 3, "{found:#}");
        assert!(
            returns.iter().all(|r| r["fell"] == 0 && r["most_load"].as_f64().unwrap() > 0.3),
            "{found:#}"
        );
        found["storms"]["tries"].as_f64().unwrap()
    };
    let asked = ["1", "2"].map(|seed| same(kept("retry-storm.hcl", &[seed])));
    // Clients who hear no time to come back and ask again at once ask much more often, and nodes notice nothing.
    let deaf = same(kept("retry-storm.hcl", &["3", "--plant", "deaf"]));
    assert!(
        asked.iter().all(|tries| deaf > 2.0 * tries),
        "{asked:?} tries a command, {deaf} of deaf clients"
    );
    let (code, found) = drill("retry-storm.hcl", &["--plant", "storm"]);
    let findings = found["findings"].as_array().unwrap();
    assert!(code == Some(1) && !findings.is_empty(), "{found:#}");
    assert!(findings.iter().all(|f| f["rule"] == "storm"), "{found:#}");
}

#[test]
fn each_planted_breach_is_named_and_no_other() {
    kept("plants.hcl", &["5"]);
    for rule in ["lost", "twice", "drain", "cold", "order", "budget", "limits", "data"] {
        let (code, found) = drill("plants.hcl", &["--plant", rule]);
        assert_eq!(code, Some(1), "{rule}: {found:#}");
        let findings = found["findings"].as_array().unwrap();
        assert!(!findings.is_empty(), "{rule} was not found");
        assert!(findings.iter().all(|f| f["rule"] == rule), "{rule}: {found:#}");
    }
}

#[test]
fn an_old_owner_that_goes_on_and_an_ignored_refusal_are_found() {
    for plant in ["data", "moved"] {
        let (code, found) = drill("extent-moves.hcl", &["--plant", plant]);
        let findings = found["findings"].as_array().unwrap();
        assert!(code == Some(1) && findings.iter().all(|f| f["rule"] == "data"), "{plant}: {found:#}");
    }
}

#[test]
fn news_applied_half_is_found() {
    let (code, found) = drill("extent-moves.hcl", &["--plant", "half"]);
    let findings = found["findings"].as_array().unwrap();
    assert!(code == Some(1) && findings.iter().all(|f| f["rule"] == "data"), "{found:#}");
}

#[test]
fn merged_writes_and_cut_reads_keep_every_rule_and_need_fewer_commands() {
    for seed in ["1", "2", "3"] {
        let found = kept("merge-split.hcl", &[seed]);
        let host = |n: usize| &found["by_host"][n];
        let count = |n: usize, name: &str| host(n)[name].as_f64().unwrap();
        // The aim is a third; which part is held, and so may travel together, is the machine's speed too.
        assert!(count(0, "node_commands") < 0.5 * count(0, "sent"), "{found:#}");
        assert!(count(1, "node_commands") >= count(1, "sent"), "host 1 sends alone: {found:#}");
        assert!(count(0, "payoff") > count(1, "payoff"), "{found:#}");
    }
}

#[test]
fn what_a_batch_or_a_cut_read_does_wrong_is_found() {
    for (plant, rule) in [("batch", "twice"), ("swapped", "data"), ("again", "lost")] {
        let (code, found) = drill("merge-split.hcl", &["--plant", plant]);
        let findings = found["findings"].as_array().unwrap();
        let named = code == Some(1) && !findings.is_empty() && findings.iter().all(|f| f["rule"] == rule);
        assert!(named, "{plant}: {found:#}");
    }
}

#[test]
fn data_that_moves_under_load_is_neither_lost_nor_served_by_two() {
    for seed in ["1", "2", "3"] {
        let found = kept("extent-moves.hcl", &[seed]);
        let count = |name: &str| found[name].as_u64().unwrap();
        assert!(count("switched") >= 15 && count("stale") > 0, "{found:#}");
    }
}
