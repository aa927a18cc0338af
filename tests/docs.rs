//! Pages that are generated from code, or list what code defines, match it.

use kitepulley::chart::{FILES, load, mermaid};
use kitepulley::entry::refusal::TABLE;

#[test]
fn the_drawings_are_those_of_the_charts() {
    let page = include_str!("../docs/CHARTS.md");
    for (name, text) in FILES {
        let drawing = mermaid(&load(text).expect("a sound chart"));
        assert!(page.contains(&drawing), "draw {name} again with `kitepulley chart {name}`");
    }
}

#[test]
fn each_refusal_has_its_evidence_on_the_promises_page() {
    let page = include_str!("../docs/PROMISES.md");
    for row in TABLE {
        let ran = format!("{:?}", row.ran).to_lowercase();
        let begins = format!("| `{}` | {} | {ran} |", row.name, row.status);
        assert!(page.contains(&begins), "no row begins `{begins}`");
    }
}
