//! Writes a report as text.

use super::{BandReport, LatencyReport, Report};
use std::fmt;

/// The minimum number of measured requests, both through the system and directly, for which a band
/// is compared.
const MIN_COMPARED_REQUESTS: u64 = 20;

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write_counts(f)?;
        writeln!(f)?;
        write_bands(f, "through the system", &self.bands)?;
        if self.keyed_first_token.count > 0 {
            writeln!(f)?;
            writeln!(f, "first token under an idempotency key, ms")?;
            write_latency(f, "all", &self.keyed_first_token)?;
        }
        if !self.direct_bands.is_empty() {
            writeln!(f)?;
            write_bands(f, "engine called directly", &self.direct_bands)?;
            writeln!(f)?;
            write_added(f, &self.bands, &self.direct_bands)?;
        }
        self.write_errors(f)
    }
}

impl Report {
    fn write_counts(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.took_ms.0 as f64 / 1_000.0;
        let rate = self.ended as f64 / seconds.max(0.001);
        writeln!(
            f,
            "{} of {} requests ended in {seconds:.1} s ({rate:.1}/s), seed {}",
            self.ended, self.offered, self.seed
        )?;
        writeln!(
            f,
            "whole {}  not_run {}  may_have_run {}  ran {}  lost {}",
            self.whole, self.not_run, self.may_have_run, self.ran, self.lost
        )?;
        writeln!(
            f,
            "tokens {}  keyed {}  services {}  retries {}  resumes {}  refused connections {}  late starts {}",
            self.tokens,
            self.keyed,
            self.services,
            self.retries,
            self.resumes,
            self.connects_refused,
            self.late_starts
        )?;
        let faults = &self.faults;
        writeln!(
            f,
            "faults {}: crossed {}  doubled {}  short {}  malformed {}  without verdict {}  untrue not_run {}  ran twice {}",
            faults.total(),
            faults.crossed,
            faults.doubled,
            faults.short,
            faults.malformed,
            faults.no_verdict,
            faults.untrue_not_run,
            faults.ran_twice
        )?;
        writeln!(
            f,
            "checked: completeness yes, identity {}, verdicts against {} upstreams ({} not reached)",
            yes_no(self.checked.identity),
            self.checked.upstreams_asked,
            self.checked.upstreams_unreachable
        )
    }

    fn write_errors(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.errors.is_empty() {
            return Ok(());
        }
        writeln!(f)?;
        writeln!(f, "errors")?;
        for error in &self.errors {
            writeln!(f, "{:>9}  {}", error.count, error.text)?;
        }
        Ok(())
    }
}

fn yes_no(checked: bool) -> &'static str {
    if checked { "yes" } else { "no" }
}

fn write_bands(f: &mut fmt::Formatter<'_>, title: &str, bands: &[BandReport]) -> fmt::Result {
    writeln!(f, "{title}: first token, ms")?;
    write_head(f)?;
    for band in bands {
        write_latency(f, band.band.as_str(), &band.first_token)?;
    }
    writeln!(f, "{title}: between tokens, ms")?;
    for band in bands {
        write_latency(f, band.band.as_str(), &band.between_tokens)?;
    }
    writeln!(f, "{title}: end of whole answers, ms")?;
    for band in bands {
        write_latency(f, band.band.as_str(), &band.end)?;
    }
    Ok(())
}

fn write_head(f: &mut fmt::Formatter<'_>) -> fmt::Result {
    writeln!(
        f,
        "  {:<9} {:>8} {:>10} {:>10} {:>10} {:>10} {:>10}",
        "prompt", "count", "p50", "p90", "p95", "p99", "max"
    )
}

fn write_latency(f: &mut fmt::Formatter<'_>, name: &str, latency: &LatencyReport) -> fmt::Result {
    let LatencyReport {
        count,
        p50_ms,
        p90_ms,
        p95_ms,
        p99_ms,
        max_ms,
    } = latency;
    writeln!(
        f,
        "  {name:<9} {count:>8} {p50_ms:>10.1} {p90_ms:>10.1} {p95_ms:>10.1} {p99_ms:>10.1} {max_ms:>10.1}"
    )
}

/// Writes the latency that the system adds to the engine's own, for bands measured both ways.
fn write_added(
    f: &mut fmt::Formatter<'_>,
    system: &[BandReport],
    direct: &[BandReport],
) -> fmt::Result {
    writeln!(f, "first token added by the system, ms")?;
    for direct in direct {
        let Some(band) = system.iter().find(|band| band.band == direct.band) else {
            continue;
        };
        let counts = [band.first_token.count, direct.first_token.count];
        if counts.iter().any(|count| *count < MIN_COMPARED_REQUESTS) {
            continue;
        }
        let p50_ms = band.first_token.p50_ms - direct.first_token.p50_ms;
        let p99_ms = band.first_token.p99_ms - direct.first_token.p99_ms;
        writeln!(
            f,
            "  {:<9} p50 {p50_ms:>+9.1}  p99 {p99_ms:>+9.1}",
            band.band
        )?;
    }
    Ok(())
}
