//! Each figure in `docs/CAPACITY.md` follows from the formula beside it and the measured slopes.

use std::collections::BTreeMap;

const PAGE: &str = include_str!("../docs/CAPACITY.md");
const SLOPES: &str = include_str!("../docs/slopes.json");

/// Tolerated relative difference between a printed figure and its formula, due to rounding.
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

/// Returns the counts of the page's table by name: the value today and the value at the target.
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

/// Parser of sums of products, as `a * b / c + ( d + e )`, evaluated from the left.
struct Formula<'a> {
    tokens: std::iter::Peekable<std::str::SplitWhitespace<'a>>,
    names: &'a dyn Fn(&str) -> f64,
}

impl Formula<'_> {
    fn sum(&mut self) -> f64 {
        let mut value = self.product();
        while self.tokens.peek() == Some(&"+") {
            self.tokens.next();
            value += self.product();
        }
        value
    }

    fn product(&mut self) -> f64 {
        let mut value = self.factor();
        while let Some(sign @ ("*" | "/")) = self.tokens.peek().copied() {
            self.tokens.next();
            let factor = self.factor();
            value = if sign == "*" { value * factor } else { value / factor };
        }
        value
    }

    fn factor(&mut self) -> f64 {
        match self.tokens.next().expect("a factor") {
            "(" => {
                let value = self.sum();
                assert_eq!(self.tokens.next(), Some(")"));
                value
            }
            token => token.parse().unwrap_or_else(|_| (self.names)(token)),
        }
    }
}

fn evaluate(formula: &str, names: &dyn Fn(&str) -> f64) -> f64 {
    Formula { tokens: formula.split_whitespace().peekable(), names }.sum()
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
            let computed = evaluate(formula, &value);
            let shown: f64 = shown.parse().expect("a figure");
            let error = (shown - computed).abs() / computed.abs().max(1e-12);
            assert!(error <= ROUNDING, "{formula}: shown {shown}, computed {computed}");
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
