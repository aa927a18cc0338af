//! `docs/CAPACITY.md` agrees with the committed slopes: every formula gives the figure beside it.

use std::collections::BTreeMap;

const PAGE: &str = include_str!("../docs/CAPACITY.md");
const SLOPES: &str = include_str!("../docs/slopes.json");

/// How far a shown figure may be from its formula, for rounding.
const ROUNDING: f64 = 0.012;

fn cells(line: &str) -> Vec<&str> {
    line.trim().trim_matches('|').split('|').map(str::trim).collect()
}

fn slopes() -> BTreeMap<String, f64> {
    let value: serde_json::Value = serde_json::from_str(SLOPES).expect("the slopes read");
    let rows = value["rows"].as_array().expect("rows");
    let slope = |row: &serde_json::Value| {
        (row["name"].as_str().expect("a name").to_owned(), row["slope"].as_f64().expect("a slope"))
    };
    rows.iter().map(slope).collect()
}

/// Names with their values today and at the target, from the page's own table.
fn counts() -> BTreeMap<String, (f64, f64)> {
    let mut counts = BTreeMap::new();
    for line in PAGE.lines() {
        let cells = cells(line);
        if cells.len() == 4 && cells[0].starts_with('`') {
            let number = |text: &str| text.parse::<f64>().expect("a number");
            let name = cells[0].trim_matches('`').to_owned();
            counts.insert(name, (number(cells[1]), number(cells[2])));
        }
    }
    counts
}

/// Sums of products: `a * b / c + ( d + e )`, read from the left.
struct Formula<'a> {
    words: std::iter::Peekable<std::str::SplitWhitespace<'a>>,
    names: &'a dyn Fn(&str) -> f64,
}

impl Formula<'_> {
    fn sum(&mut self) -> f64 {
        let mut value = self.product();
        while self.words.peek() == Some(&"+") {
            self.words.next();
            value += self.product();
        }
        value
    }

    fn product(&mut self) -> f64 {
        let mut value = self.factor();
        while let Some(sign @ ("*" | "/")) = self.words.peek().copied() {
            self.words.next();
            let factor = self.factor();
            value = if sign == "*" { value * factor } else { value / factor };
        }
        value
    }

    fn factor(&mut self) -> f64 {
        match self.words.next().expect("a factor") {
            "(" => {
                let value = self.sum();
                assert_eq!(self.words.next(), Some(")"));
                value
            }
            word => word.parse().unwrap_or_else(|_| (self.names)(word)),
        }
    }
}

fn evaluate(formula: &str, names: &dyn Fn(&str) -> f64) -> f64 {
    Formula { words: formula.split_whitespace().peekable(), names }.sum()
}

#[test]
fn each_figure_follows_from_its_formula() {
    let (slopes, counts) = (slopes(), counts());
    let mut checked = 0;
    for line in PAGE.lines() {
        let cells = cells(line);
        if cells.len() != 8 || !cells[2].starts_with('`') {
            continue;
        }
        let formula = cells[2].trim_matches('`');
        for (shown, at_target) in [(cells[3], false), (cells[4], true)] {
            let value = |name: &str| match (slopes.get(name), counts.get(name)) {
                (Some(slope), _) => *slope,
                (_, Some((today, target))) => {
                    if at_target {
                        *target
                    } else {
                        *today
                    }
                }
                _ => panic!("`{name}` is neither a slope nor a count"),
            };
            let right = evaluate(formula, &value);
            let shown: f64 = shown.parse().expect("a figure");
            let far = (shown - right).abs() / right.abs().max(1e-12);
            assert!(far <= ROUNDING, "{formula}: shown {shown}, worked out {right}");
            checked += 1;
        }
    }
    assert!(checked >= 50, "only {checked} figures were found");
}

#[test]
fn the_slopes_shown_are_those_committed() {
    let slopes = slopes();
    let mut seen = 0;
    for line in PAGE.lines() {
        let cells = cells(line);
        if cells.len() == 3 && cells[0].starts_with('`') {
            let name = cells[0].trim_matches('`');
            let shown: f64 = cells[1].parse().expect("a slope");
            assert_eq!(Some(&shown), slopes.get(name), "{name}");
            seen += 1;
        }
    }
    assert_eq!(seen, slopes.len());
}
