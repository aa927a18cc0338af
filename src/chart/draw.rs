//! Diagrams of charts, for the documentation.

use std::fmt::Write;

use super::Chart;

/// Formats a chart as a Mermaid state diagram.
pub fn mermaid(chart: &Chart) -> String {
    let mut out = format!("stateDiagram-v2\n    [*] --> {}\n", chart.start);
    for step in &chart.steps {
        for (event, to) in &step.on {
            let _ = writeln!(out, "    {} --> {to}: {event}", step.from);
        }
    }
    for end in &chart.ends {
        let _ = writeln!(out, "    {end} --> [*]");
    }
    out
}
