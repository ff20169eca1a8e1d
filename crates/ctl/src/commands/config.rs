//! `config`: check, publish and show the operators' configuration.

use crate::admin::{Admin, ConfigAnswer, Publication};
use crate::args::{ConfigAction, ConfigPublish, Ctl};
use crate::outcome::CommandError;
use crate::output::print_line;
use bluebell_base::prelude::*;
use bluebell_control::{Published, VersionSeen};
use serde_json::value::RawValue;

/// Does what is asked with the configuration.
pub fn run(ctl: &Ctl, action: &ConfigAction) -> Result<(), CommandError> {
    match action {
        ConfigAction::Check(check) => {
            read_checked(ctl, &check.file)?;
            if !ctl.json {
                print_line(&format!("{}: no faults", check.file))?;
            }
            Ok(())
        }
        ConfigAction::Publish(publication) => publish(ctl, publication),
        ConfigAction::Show(_) => show(ctl),
        ConfigAction::History(_) => history(ctl),
    }
}

/// Reads and checks a file. All errors are printed.
fn read_checked(ctl: &Ctl, file: &str) -> Result<String, CommandError> {
    let text = std::fs::read_to_string(file);
    let text = text.map_err(|error| CommandError::failed(format!("{file}: {error}")))?;
    let Err(faults) = bluebell_config::parse(&text) else {
        return Ok(text);
    };
    if ctl.json {
        let text = serde_json::to_string(&faults).map_err(CommandError::failed)?;
        print_line(&text)?;
    } else {
        for fault in &faults {
            print_line(&fault.to_string())?;
        }
    }
    let count = faults.len();
    Err(CommandError::failed(format!("{file}: faults: {count}")))
}

fn publish(ctl: &Ctl, publication: &ConfigPublish) -> Result<(), CommandError> {
    let text = read_checked(ctl, &publication.file)?;
    let body = Publication {
        base: ConfigVersion(publication.base),
        config: RawValue::from_string(text).map_err(CommandError::failed)?,
    };
    let body = serde_json::to_string(&body).map_err(CommandError::failed)?;
    let answer = Admin::open(ctl)?.post("/admin/config", &body)?;
    if ctl.json {
        print_line(&answer)?;
    }
    match serde_json::from_str(&answer).map_err(CommandError::failed)? {
        Published::Accepted { .. } if ctl.json => Ok(()),
        Published::Accepted { version } => {
            print_line(&format!("version {} is in force", version.0))
        }
        Published::Conflict { current } => {
            let why = conflict_text(publication.base, current.0);
            Err(CommandError::failed(why))
        }
    }
}

/// Returns the reason why a publication based on `base` changed nothing.
fn conflict_text(base: u64, current: u64) -> String {
    match current > base {
        true => format!("conflict: version {current} came first and is in force"),
        false => format!("conflict: version {current} is in force, there is no version {base}"),
    }
}

fn show(ctl: &Ctl) -> Result<(), CommandError> {
    let text = Admin::open(ctl)?.get("/admin/config")?;
    if ctl.json {
        return print_line(&text);
    }
    let answer: ConfigAnswer = serde_json::from_str(&text).map_err(CommandError::failed)?;
    // The version goes to standard error, so that the output is a file to edit and publish.
    eprintln!("version {}", answer.version.0);
    print_line(answer.config.get())
}

fn history(ctl: &Ctl) -> Result<(), CommandError> {
    let text = Admin::open(ctl)?.get("/admin/config/history")?;
    if ctl.json {
        return print_line(&text);
    }
    let seen: Vec<VersionSeen> = serde_json::from_str(&text).map_err(CommandError::failed)?;
    for version in seen {
        let bytes = version.body_bytes.0;
        print_line(&format!(
            "version {:>6}  {bytes:>9} bytes",
            version.version.0
        ))?;
    }
    Ok(())
}
