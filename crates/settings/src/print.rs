//! Texts about settings: the help, the effective settings and the reference page of all flags.

use crate::resolve::Effective;
use crate::table::{Fallback, SettingInfo};
use std::fmt::Write;

/// Returns the help text of a program with the settings of a table.
pub fn help_text(program: &str, about: &str, table: &[SettingInfo]) -> String {
    let mut text = format!("Usage: {program} [--check] [--<setting> <value>]...\n\n{about}\n\n");
    text.push_str("A flag wins over its environment variable, which wins over the default.\n\n");
    text.push_str(
        "  --check\n      Print the effective settings, with where each came from, and exit.\n",
    );
    text.push_str("  --help\n      Print this help and exit.\n");
    for info in table {
        write_help(&mut text, info);
    }
    text.push_str(
        "\nExit codes: 0 stopped as asked, 1 failed, 2 wrong settings (all are listed).\n",
    );
    text
}

fn write_help(text: &mut String, info: &SettingInfo) {
    let SettingInfo {
        flag, env, unit, ..
    } = info;
    let description = info.description.trim();
    let fallback = fallback_text(info.fallback);
    // Writing to a string can't fail.
    let _ = writeln!(text, "  --{flag} <{unit}>\n      {description}");
    let _ = writeln!(text, "      [{env}; {fallback}]");
}

fn fallback_text(fallback: Fallback) -> String {
    match fallback {
        Fallback::Required => "required".into(),
        Fallback::Unset => "optional".into(),
        Fallback::Default(text) => format!("default {text}"),
    }
}

/// Returns the effective settings, one line each, with their sources.
pub fn effective_text(effective: &[Effective]) -> String {
    let mut text = String::new();
    for setting in effective {
        let Effective {
            info,
            shown,
            source,
        } = setting;
        let _ = writeln!(text, "{:<20} {:<32} {source}", info.flag, &**shown);
    }
    text
}

/// Returns the reference page of all settings of a table, in Markdown.
pub fn flags_page(program: &str, table: &[SettingInfo]) -> String {
    let mut page = format!("# Settings of `{program}`\n\n");
    page.push_str("A flag wins over its environment variable, which wins over the default. ");
    page.push_str("All faults are listed at once, with exit code 2. ");
    page.push_str("`--check` prints the effective settings with where each came from; ");
    page.push_str("secrets are shown as `(set)`.\n\n");
    page.push_str(
        "This page is generated from the table that the program uses; a test compares it.\n\n",
    );
    page.push_str("| flag | environment variable | unit | default | description |\n");
    page.push_str("|---|---|---|---|---|\n");
    for info in table {
        write_row(&mut page, info);
    }
    page
}

fn write_row(page: &mut String, info: &SettingInfo) {
    let SettingInfo {
        flag, env, unit, ..
    } = info;
    let description = info.description.trim();
    let fallback = match info.fallback {
        Fallback::Required => "required".into(),
        Fallback::Unset => "none".into(),
        Fallback::Default(text) => format!("`{text}`"),
    };
    let _ = writeln!(
        page,
        "| `--{flag}` | `{env}` | {unit} | {fallback} | {description} |"
    );
}
