//! Exit codes and error messages of the command line, and former names of subcommands and flags.

use std::process::Command;

/// Runs the program and returns its exit code and standard error.
fn run(arguments: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_magpiewick")).args(arguments).output().unwrap();
    (output.status.code(), String::from_utf8(output.stderr).unwrap())
}

#[test]
fn former_names_of_subcommands_and_flags_are_accepted() {
    for arguments in [
        &["drill", "absent.hcl", "--plant", "lost", "--pairs", "records.json"][..],
        &["scenario", "absent.hcl", "--defect", "lost", "--records", "records.json"],
        &["serve", "absent.hcl", "--bare", "--alone", "--undamped"],
        &["serve", "absent.hcl", "--no-emulator", "--no-coalescing"],
    ] {
        let (code, stderr) = run(arguments);
        assert!(
            code == Some(2) && stderr.starts_with("absent.hcl: cannot be read: "),
            "{arguments:?}: {stderr}"
        );
    }
    for action in [["move", "migrate"], ["abandon", "cancel"], ["follow", "watch"]] {
        for name in action {
            let (code, stderr) = run(&["extents", "--service", "127.0.0.1:1", name, "--help"]);
            assert_eq!(code, Some(0), "{name}: {stderr}");
        }
    }
}

#[test]
fn unknown_defect_is_a_usage_error_that_lists_known_defects() {
    let (code, stderr) = run(&["scenario", "absent.hcl", "--defect", "none"]);
    assert!(code == Some(2) && stderr.contains("lost") && stderr.contains("deaf"), "{stderr}");
}
