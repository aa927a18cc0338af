//! Result tables of experiments, printed as aligned text or as JSON.

use std::fmt;

use serde_json::{Map, Value, json};

/// One row of a table: fields in the order in which they were added.
#[derive(Clone, Debug, Default)]
pub struct Row(Map<String, Value>);

impl Row {
    /// Creates a row with a first field that names it.
    pub fn named(field: &str, name: impl ToString) -> Row {
        Row::default().with(field, name.to_string())
    }

    /// Adds a field, or replaces the value of a field that is present.
    #[must_use]
    pub fn with(mut self, field: &str, value: impl Into<Value>) -> Row {
        self.0.insert(field.to_owned(), value.into());
        self
    }

    /// Adds a number, rounded to `places` decimal places.
    #[must_use]
    pub fn number(self, field: &str, value: f64, places: i32) -> Row {
        let factor = 10f64.powi(places);
        self.with(field, (value * factor).round() / factor)
    }

    /// Returns the number in a field, or none if the field is missing or no number.
    pub fn get(&self, field: &str) -> Option<f64> {
        self.0.get(field).and_then(Value::as_f64)
    }
}

/// The result of an experiment.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// One row for each policy or size that was measured.
    pub rows: Vec<Row>,
    /// Explanations of the columns and of the assumptions, printed below the rows.
    pub notes: Vec<String>,
}

impl Table {
    /// Returns the table as a JSON object with the keys `rows` and `notes`.
    pub fn to_json(&self) -> Value {
        let rows: Vec<&Map<String, Value>> = self.rows.iter().map(|row| &row.0).collect();
        json!({"rows": rows, "notes": self.notes})
    }
}

fn cell(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => "-".to_owned(),
        Some(Value::String(text)) => text.clone(),
        Some(value) => value.to_string(),
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut fields: Vec<&String> = Vec::new();
        for row in &self.rows {
            for field in row.0.keys().filter(|field| !fields.contains(field)).collect::<Vec<_>>() {
                fields.push(field);
            }
        }
        let width = |field: &String| {
            let cells = self.rows.iter().map(|row| cell(row.0.get(field)).len());
            cells.max().unwrap_or(0).max(field.len())
        };
        let widths: Vec<usize> = fields.iter().map(|field| width(field)).collect();
        let line = |cells: Vec<String>| {
            let padded = cells.iter().zip(&widths).enumerate().map(|(i, (text, width))| {
                if i == 0 { format!("{text:<width$}") } else { format!("{text:>width$}") }
            });
            padded.collect::<Vec<_>>().join("  ")
        };
        writeln!(f, "{}", line(fields.iter().map(ToString::to_string).collect()))?;
        for row in &self.rows {
            writeln!(f, "{}", line(fields.iter().map(|field| cell(row.0.get(*field))).collect()))?;
        }
        for note in &self.notes {
            writeln!(f, "{note}")?;
        }
        Ok(())
    }
}

/// Returns the value at a quantile (0 to 1) of `values` by nearest rank, or 0 if there are none.
/// Sorts the values in place.
pub fn quantile(values: &mut [f64], share: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_by(f64::total_cmp);
    let at = ((values.len() - 1) as f64 * share).round() as usize;
    values[at]
}
