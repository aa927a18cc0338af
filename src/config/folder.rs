//! Reads declarations from a file or a folder of TOML files.

use std::path::{Path, PathBuf};

use super::{Declarations, check};
use crate::error::Error;

/// Reads all declarations below `path` and checks them as a whole.
///
/// # Errors
/// All faults found, one a line, each with file, line and what to mend.
pub fn read_declarations(path: &Path) -> Result<Declarations, Error> {
    let mut all = Declarations::default();
    let mut texts = Vec::new();
    let mut faults = Vec::new();
    for file in files(path)? {
        let text = std::fs::read_to_string(&file).map_err(|e| Error::file(&file, &e))?;
        match toml::from_str::<Declarations>(&text) {
            Ok(part) => merge(&mut all, part),
            Err(fault) => faults.push(syntax_error(&file, &text, &fault)),
        }
        texts.push((file, text));
    }
    // Dangling names cannot be told apart from names in an unread file.
    if faults.is_empty() {
        let found = check(&all);
        faults.extend(
            found.iter().map(|fault| with_location(&texts, &fault.name, &fault.to_string())),
        );
    }
    if faults.is_empty() { Ok(all) } else { Err(Error::Declarations(faults)) }
}

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

fn syntax_error(file: &Path, text: &str, fault: &toml::de::Error) -> String {
    let at = fault.span().map_or(0, |span| span.start);
    let line = text[..at].matches('\n').count() + 1;
    format!("{}:{line}: {}", file.display(), fault.message())
}

fn with_location(texts: &[(PathBuf, String)], name: &str, fault: &str) -> String {
    let quoted = format!("\"{name}\"");
    for (file, text) in texts {
        if let Some(line) = text.lines().position(|line| line.contains(&quoted)) {
            return format!("{}:{}: {fault}", file.display(), line + 1);
        }
    }
    fault.to_owned()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_unknown_field_is_named_with_its_line() {
        let text = "[[model]]\nname = 'm'\nserving = 'v1'\nprice = 3\nversion = []\n";
        let fault = toml::from_str::<Declarations>(text).unwrap_err();
        let shown = syntax_error(Path::new("models.toml"), text, &fault);
        assert!(shown.starts_with("models.toml:4: unknown field `price`"), "{shown}");
    }
}
