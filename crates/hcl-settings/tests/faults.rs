//! Good files are read; of bad ones every fault is named, with its place.

use magpiewick_hcl_settings::{read_text, Part};
use quickcheck::quickcheck;

fn class(part: &Part) -> (f64, f64, u64) {
    let class = part.labelled("band").into_iter().next();
    let all = part.must("host").map_or(0, |h| h.field("number").whole(0..=9));
    class.map_or((0.0, 0.0, all), |b| (b.field("soft_limit").time(), b.field("payoff").number_or(1.0), all))
}

fn faults(text: &str) -> Vec<String> {
    match read_text("f.hcl", text, class) {
        Ok(_) => Vec::new(),
        Err(faults) => faults.to_string().lines().map(str::to_string).collect(),
    }
}

#[test]
fn a_good_file_is_read() {
    let text = "host {\n  number = 3\n}\nband \"read\" {\n  soft_limit = \"1.5s\"\n}\n";
    assert_eq!(read_text("f.hcl", text, class), Ok((1500.0, 1.0, 3)));
}

#[test]
fn all_faults_are_named_at_once_with_their_places() {
    let text =
        "host {\n  numbr = 3\n}\nband \"read\" {\n  soft_limit = 200\n  payoff = -1\n}\nbnd \"x\" {}\n";
    assert_eq!(
        faults(text),
        [
            "f.hcl:1:1: in host: number is missing; expected a whole number from 0 to 9",
            "f.hcl:2:3: in host: unknown setting numbr; did you mean number?",
            "f.hcl:5:16: in band \"read\": soft_limit is 200; expected a time as \"200ms\" or \"1.5s\"",
            "f.hcl:6:12: in band \"read\": payoff is -1; expected a number from 0",
            "f.hcl:8:1: unknown block bnd; did you mean band?",
        ]
    );
}

#[test]
fn blocks_that_repeat_or_miss_are_named() {
    assert_eq!(faults("band \"a\" {\n  soft_limit = \"1s\"\n}\n"), ["f.hcl:1:1: the block host is missing"]);
    let twice = "host {\n  number = 1\n}\nhost {\n}\nband \"a\" {\n  soft_limit = \"1s\"\n}\nband \"a\" {}\n";
    assert_eq!(
        faults(twice),
        ["f.hcl:4:1: a second host block; one is the most", "f.hcl:9:1: a second band \"a\""]
    );
}

#[test]
fn what_is_not_hcl_is_named_with_its_place() {
    let found = faults("host {\n  number = = 3\n}\n");
    assert!(found[0].starts_with("f.hcl:2:12: not HCL: "), "{found:?}");
}

quickcheck! {
    fn no_text_makes_it_panic(text: String) -> bool {
        _ = faults(&text);
        _ = faults(&format!("host {{\n  number = {text}\n}}\nband \"{text}\" {{}}\n"));
        true
    }
}
