//! Reading of declarations from a TOML file or from all TOML files of a folder.

use std::path::{Path, PathBuf};

use super::{Declarations, check};
use crate::error::Error;

/// Reads all declarations in `path`, a file or a folder, and validates them together.
///
/// # Errors
/// Returns all problems found, one per line, each with its file, line and correction.
pub fn read_declarations(path: &Path) -> Result<Declarations, Error> {
    let mut all = Declarations::default();
    let mut texts = Vec::new();
    let mut problems = Vec::new();
    for file in files(path)? {
        let text = std::fs::read_to_string(&file).map_err(|e| Error::file(&file, &e))?;
        match toml::from_str::<Declarations>(&text) {
            Ok(part) => merge(&mut all, part),
            Err(error) => problems.push(syntax_error(&file, &text, &error)),
        }
        texts.push((file, text));
    }
    // Skipped after a syntax error: a name that seems undeclared may be in the unparsed file.
    if problems.is_empty() {
        let found = check(&all);
        problems.extend(
            found.iter().map(|problem| with_location(&texts, &problem.name, &problem.to_string())),
        );
    }
    if problems.is_empty() { Ok(all) } else { Err(Error::Declarations(problems)) }
}

/// Returns `path` itself if it is a file, else the TOML files directly in it, sorted.
fn files(path: &Path) -> Result<Vec<PathBuf>, Error> {
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let entries = std::fs::read_dir(path).map_err(|e| Error::file(path, &e))?;
    let mut files: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
    files.retain(|file| file.extension().is_some_and(|extension| extension == "toml"));
    files.sort();
    if files.is_empty() {
        return Err(Error::Declarations(vec![format!(
            "{}: no file ends in `.toml`; name the folder that holds the declarations.",
            path.display()
        )]));
    }
    Ok(files)
}

fn merge(all: &mut Declarations, part: Declarations) {
    all.models.extend(part.models);
    all.servers.extend(part.servers);
    all.services.extend(part.services);
    all.workspaces.extend(part.workspaces);
}

fn syntax_error(file: &Path, text: &str, error: &toml::de::Error) -> String {
    let at = error.span().map_or(0, |span| span.start);
    let line = text[..at].matches('\n').count() + 1;
    format!("{}:{line}: {}", file.display(), error.message())
}

/// Prefixes a problem with the first file and line that contain the quoted name, if any does.
fn with_location(texts: &[(PathBuf, String)], name: &str, problem: &str) -> String {
    let quoted = format!("\"{name}\"");
    for (file, text) in texts {
        if let Some(line) = text.lines().position(|line| line.contains(&quoted)) {
            return format!("{}:{}: {problem}", file.display(), line + 1);
        }
    }
    problem.to_owned()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_unknown_field_is_named_with_its_line() {
        let text = "[[model]]\nname = 'm'\nserving = 'v1'\nprice = 3\nversion = []\n";
        let error = toml::from_str::<Declarations>(text).unwrap_err();
        let shown = syntax_error(Path::new("models.toml"), text, &error);
        assert!(shown.starts_with("models.toml:4: unknown field `price`"), "{shown}");
    }
}
