//! Structured logging to standard error, as text or JSON.

use magpiewick_gateway::config::{LogConfig, LogFormat};
use std::io::IsTerminal;
use tracing_subscriber::EnvFilter;

/// Installs the global subscriber. `MAGPIEWICK_LOG` overrides the level set in the file, in the syntax of `EnvFilter`.
pub(crate) fn start(config: &LogConfig) {
    let requests = if config.requests { "info" } else { "off" };
    let filter = EnvFilter::try_from_env("MAGPIEWICK_LOG")
        .unwrap_or_else(|_| EnvFilter::new(format!("{},request={requests}", config.level)));
    let logs = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    let logs = logs.with_ansi(std::io::stderr().is_terminal());
    match config.format {
        LogFormat::Text => logs.init(),
        LogFormat::Json => logs.json().init(),
    }
}
