//! Set-up of the log: `logforth` behind the `log` facade, as lines of text or JSON, with levels per
//! module.
//!
//! Terms: a *directive* is `level` (for all modules) or `module=level`. The module is the short name
//! of a package of this workspace (`requests`) or any module path.
//!
//! Invariants: key-values passed to a `log` macro (`request = id`) appear in its line in both
//! formats.

use bluebell_base::text::ParseError;
use logforth::bridge::log::LogBridge;
use logforth::filter::RustLogFilter;
use logforth::layout::{JsonLayout, TextLayout};
use logforth::{Append, Layout};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// The short names of packages that a directive may use in place of a module path.
const PACKAGES: [&str; 25] = [
    "adapter",
    "base",
    "bench",
    "bridge",
    "capacity",
    "claims",
    "config",
    "control",
    "entry",
    "fleet",
    "front",
    "load",
    "members",
    "node",
    "peers",
    "platform",
    "policy",
    "pool_guard",
    "quarantine",
    "requests",
    "settings",
    "stand_ins",
    "telemetry",
    "timers",
    "upstreams",
];

/// The format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Lines of text for people.
    Text,
    /// One JSON object per line.
    Json,
}

impl fmt::Display for LogFormat {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LogFormat::Text => "text",
            LogFormat::Json => "json",
        })
    }
}

impl FromStr for LogFormat {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            _ => Err(ParseError::new("log format (text or json)", text)),
        }
    }
}

/// The level of one module or of all modules.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Directive {
    /// The module as written in the setting. `None` stands for all modules.
    module: Option<Arc<str>>,
    /// The least severe level that is logged.
    level: log::LevelFilter,
}

impl fmt::Display for Directive {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let level = self.level.as_str().to_ascii_lowercase();
        match &self.module {
            Some(module) => write!(f, "{module}={level}"),
            None => f.write_str(&level),
        }
    }
}

impl FromStr for Directive {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let error = || ParseError::new("log directive (level or module=level)", text);
        let (module, level) = match text.split_once('=') {
            Some((module, level)) => (Some(module.trim()), level.trim()),
            None => (None, text.trim()),
        };
        if module.is_some_and(str::is_empty) {
            return Err(error());
        }
        Ok(Self {
            module: module.map(Arc::from),
            level: level.parse().map_err(|_| error())?,
        })
    }
}

/// Log levels per module, such as `info,requests=debug`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLevels(Vec<Directive>);

impl LogLevels {
    /// Returns the least severe level that any directive logs.
    fn max_level(&self) -> log::LevelFilter {
        let levels = self.0.iter().map(|directive| directive.level);
        levels.max().unwrap_or(log::LevelFilter::Off)
    }

    /// Returns the filter of these levels, with short package names replaced by module paths.
    fn filter(&self) -> RustLogFilter {
        let directives: Vec<String> = self.0.iter().map(with_module_path).collect();
        RustLogFilter::from(directives.join(",").as_str())
    }
}

/// Returns a directive's text with the full path of its module.
fn with_module_path(directive: &Directive) -> String {
    match &directive.module {
        Some(module) if PACKAGES.contains(&&**module) => format!("bluebell_{directive}"),
        _ => directive.to_string(),
    }
}

impl fmt::Display for LogLevels {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, directive) in self.0.iter().enumerate() {
            let separator = if i == 0 { "" } else { "," };
            write!(f, "{separator}{directive}")?;
        }
        Ok(())
    }
}

impl FromStr for LogLevels {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let directives: Result<Vec<_>, _> = text.split(',').map(str::parse).collect();
        directives.map(Self)
    }
}

/// The error of a log that can't be opened.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// The process already has a logger.
    #[error("the process already has a logger")]
    AlreadyOpen(#[from] log::SetLoggerError),
}

/// Opens the process's log on standard error.
///
/// # Errors
/// Returns [`LogError::AlreadyOpen`] if the process already has a logger.
pub fn open_logs(format: LogFormat, levels: &LogLevels) -> Result<(), LogError> {
    let append = logforth::append::Stderr::default().with_layout(layout(format));
    log::set_boxed_logger(Box::new(logger(levels, append)))?;
    log::set_max_level(levels.max_level());
    Ok(())
}

/// Returns a logger that writes the records within `levels` to `append`.
pub fn logger(levels: &LogLevels, append: impl Into<Box<dyn Append>>) -> LogBridge {
    let built = logforth::core::builder()
        .dispatch(|dispatch| dispatch.filter(levels.filter()).append(append))
        .build();
    LogBridge::new(built)
}

/// Returns the layout of log lines for a format.
pub fn layout(format: LogFormat) -> Box<dyn Layout> {
    match format {
        LogFormat::Text => Box::new(TextLayout::default().no_color()),
        LogFormat::Json => Box::new(JsonLayout::default()),
    }
}
