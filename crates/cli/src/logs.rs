//! Structured logs on standard error, as text or JSON.

use magpiewick_gateway::sheet::{LogFormat, LogSheet};
use std::io::IsTerminal;
use tracing_subscriber::EnvFilter;

/// Starts them; `MAGPIEWICK_LOG` takes the place of the file's level, in tracing's own form.
pub fn start(sheet: &LogSheet) {
    let commands = if sheet.commands { "info" } else { "off" };
    let filter = EnvFilter::try_from_env("MAGPIEWICK_LOG")
        .unwrap_or_else(|_| EnvFilter::new(format!("{},command={commands}", sheet.level)));
    let logs = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    let logs = logs.with_ansi(std::io::stderr().is_terminal());
    match sheet.format {
        LogFormat::Text => logs.init(),
        LogFormat::Json => logs.json().init(),
    }
}
