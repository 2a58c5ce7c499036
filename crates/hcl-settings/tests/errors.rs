//! Reading of valid files, and the errors with positions that invalid files produce.

use magpiewick_hcl_settings::{read_text, SettingsBlock};
use quickcheck::quickcheck;

fn read_class(root: &SettingsBlock<'_>) -> (f64, f64, u64) {
    let class = root.labelled_blocks("band").into_iter().next();
    let number = root.required_block("host").map_or(0, |h| h.attribute("number").integer(0..=9));
    class.map_or((0.0, 0.0, number), |b| {
        (b.attribute("soft_limit").duration_ms(), b.attribute("payoff").number_or(1.0), number)
    })
}

fn errors(text: &str) -> Vec<String> {
    match read_text("f.hcl", text, read_class) {
        Ok(_) => Vec::new(),
        Err(errors) => errors.to_string().lines().map(str::to_string).collect(),
    }
}

#[test]
fn valid_file_is_read() {
    let text = "host {\n  number = 3\n}\nband \"read\" {\n  soft_limit = \"1.5s\"\n}\n";
    assert_eq!(read_text("f.hcl", text, read_class), Ok((1500.0, 1.0, 3)));
}

#[test]
fn all_errors_are_reported_together_with_positions() {
    let text =
        "host {\n  numbr = 3\n}\nband \"read\" {\n  soft_limit = 200\n  payoff = -1\n}\nbnd \"x\" {}\n";
    assert_eq!(
        errors(text),
        [
            "f.hcl:1:1: in host: number is missing; expected a whole number from 0 to 9",
            "f.hcl:2:3: in host: unknown setting numbr; did you mean number?",
            "f.hcl:5:16: in band \"read\": soft_limit is 200; expected a duration such as \"200ms\" or \"1.5s\"",
            "f.hcl:6:12: in band \"read\": payoff is -1; expected a non-negative number",
            "f.hcl:8:1: unknown block bnd; did you mean band?",
        ]
    );
}

#[test]
fn repeated_and_missing_blocks_are_reported() {
    assert_eq!(errors("band \"a\" {\n  soft_limit = \"1s\"\n}\n"), ["f.hcl:1:1: the block host is missing"]);
    let duplicates =
        "host {\n  number = 1\n}\nhost {\n}\nband \"a\" {\n  soft_limit = \"1s\"\n}\nband \"a\" {}\n";
    assert_eq!(
        errors(duplicates),
        ["f.hcl:4:1: duplicate block host; at most one is allowed", "f.hcl:9:1: duplicate band \"a\""]
    );
}

#[test]
fn syntax_error_is_reported_with_position() {
    let found = errors("host {\n  number = = 3\n}\n");
    assert!(found[0].starts_with("f.hcl:2:12: not HCL: "), "{found:?}");
}

quickcheck! {
    fn arbitrary_text_does_not_panic(text: String) -> bool {
        _ = errors(&text);
        _ = errors(&format!("host {{\n  number = {text}\n}}\nband \"{text}\" {{}}\n"));
        true
    }
}
