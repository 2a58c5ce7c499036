//! Errors in the environment and the settings file at startup.

#[test]
fn startup_errors_are_reported_in_one_line() {
    let run = |file: Option<&str>| {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_magpiewick"));
        command.arg("platform").env_remove("PROXY_CONFIG");
        file.into_iter().for_each(|file| _ = command.env("PROXY_CONFIG", file));
        let output = command.output().unwrap();
        (output.status.code(), String::from_utf8(output.stderr).unwrap())
    };
    let file = std::env::temp_dir().join(format!("magpiewick-{}-bad.json", std::process::id()));
    let path = file.to_str().unwrap();
    for (text, expected) in [
        (None, "PROXY_CONFIG"),
        (Some(""), "line 1"),
        (Some("{"), "line 1"),
        (Some("{\"name\":\"n\"}"), "listen"),
        (
            Some(
                r#"{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"zz",
                "limits":{"sockets":256,"memory_mb":32},"settings":{}}"#,
            ),
            "seed",
        ),
        (
            Some(
                r#"{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1",
                "limits":{"sockets":256,"memory_mb":2},"settings":{}}"#,
            ),
            "memory_mb",
        ),
        (
            Some(
                r#"{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1",
                "limits":{"sockets":256,"memory_mb":32},"settings":{}}"#,
            ),
            "round_ns",
        ),
    ] {
        text.into_iter().for_each(|text| std::fs::write(path, text).unwrap());
        let (code, stderr) = run(text.map(|_| path));
        assert!(
            code == Some(2) && stderr.lines().count() == 1 && stderr.contains(expected),
            "{text:?}: {stderr}"
        );
    }
    std::fs::remove_file(file).unwrap();
    let (code, stderr) = run(Some("/nowhere/at/all"));
    assert!(code == Some(2) && stderr.contains("/nowhere/at/all"), "{stderr}");
}
