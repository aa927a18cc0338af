//! Checks declarations as a whole and names every fault.

use std::collections::BTreeSet;
use std::fmt;

use super::{Declarations, ServerKind, WorkspaceEntry};
use crate::unit::{Model, Target};

/// Hex digits of a SHA-256 digest.
const KEY_DIGEST_HEX_DIGITS: usize = 64;

/// One fault: the name it is about, what is wrong and how to mend it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The name to look for in the files.
    pub name: String,
    text: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

/// All faults of the declarations; none if they may be planned.
pub fn check(declared: &Declarations) -> Vec<Problem> {
    let mut problems = Vec::new();
    let known = declared_targets(declared);
    check_duplicates(declared, &mut problems);
    check_models(declared, &known, &mut problems);
    check_servers(declared, &known, &mut problems);
    for workspace in &declared.workspaces {
        check_workspace(declared, workspace, &known, &mut problems);
    }
    problems
}

fn problem(name: impl ToString, text: String) -> Problem {
    Problem { name: name.to_string(), text }
}

fn declared_targets(declared: &Declarations) -> BTreeSet<Target> {
    let of_model = |model: &super::ModelEntry| {
        let name = model.name.clone();
        let target = |version: &super::VersionEntry| Target {
            model: name.clone(),
            version: version.name.clone(),
        };
        model.versions.iter().map(target).collect::<Vec<_>>()
    };
    declared.models.iter().flat_map(of_model).collect()
}

fn check_duplicates(declared: &Declarations, problems: &mut Vec<Problem>) {
    let mut seen = BTreeSet::new();
    let models = declared.models.iter().map(|m| ("model", m.name.to_string()));
    let servers = declared.servers.iter().map(|s| ("server", s.name.to_string()));
    let services = declared.services.iter().map(|s| ("service", s.name.to_string()));
    let workspaces = declared.workspaces.iter().map(|w| ("workspace", w.name.to_string()));
    for (kind, name) in models.chain(servers).chain(services).chain(workspaces) {
        if !seen.insert((kind, name.clone())) {
            problems.push(problem(
                &name,
                format!("The {kind} `{name}` is declared twice; remove one."),
            ));
        }
    }
}

fn check_models(declared: &Declarations, known: &BTreeSet<Target>, problems: &mut Vec<Problem>) {
    for model in &declared.models {
        let serving = Target { model: model.name.clone(), version: model.serving.clone() };
        if !known.contains(&serving) {
            let text = format!("`{serving}` serves but is not declared; declare that version.");
            problems.push(problem(&model.name, text));
        }
        for version in &model.versions {
            if !(0.0..=1.0).contains(&version.quality) {
                let text = format!(
                    "The quality of `{}@{}` is {}; give a share from 0 to 1.",
                    model.name, version.name, version.quality
                );
                problems.push(problem(&version.name, text));
            }
        }
    }
}

fn check_servers(declared: &Declarations, known: &BTreeSet<Target>, problems: &mut Vec<Problem>) {
    for server in &declared.servers {
        for target in server.versions.iter().filter(|target| !known.contains(target)) {
            let text = format!(
                "Server `{}` runs `{target}`, which no model declares; correct the name.",
                server.name
            );
            problems.push(problem(target, text));
        }
        let service = server.service.as_ref();
        let declared_service =
            service.is_some_and(|name| declared.services.iter().any(|s| s.name == *name));
        if server.kind == ServerKind::Service && !declared_service {
            let text = format!("Server `{}` names no declared service; name one.", server.name);
            problems.push(problem(&server.name, text));
        }
    }
}

fn check_workspace(
    declared: &Declarations,
    workspace: &WorkspaceEntry,
    known: &BTreeSet<Target>,
    problems: &mut Vec<Problem>,
) {
    let name = &workspace.name;
    let hex = |c: char| c.is_ascii_hexdigit();
    if workspace.key_digest.len() != KEY_DIGEST_HEX_DIGITS || !workspace.key_digest.chars().all(hex)
    {
        let text = format!("The key_digest of `{name}` is not a SHA-256 in hex; hash the key.");
        problems.push(problem(name, text));
    }
    for target in workspace.versions.iter().filter(|target| !known.contains(target)) {
        let text = format!("Workspace `{name}` allows `{target}`, which no model declares.");
        problems.push(problem(target, text));
    }
    for service in &workspace.services {
        if !declared.services.iter().any(|s| s.name == *service) {
            let text = format!("Workspace `{name}` allows `{service}`, which is not declared.");
            problems.push(problem(service, text));
        }
    }
    if workspace.versions.is_empty() && workspace.services.is_empty() {
        let text = format!("Workspace `{name}` may use nothing; allow a version or a service.");
        problems.push(problem(name, text));
    }
    for cascade in &workspace.cascades {
        let usable = |model: &Model| workspace.versions.iter().any(|t| t.model == *model);
        for rung in cascade.rungs.iter().filter(|rung| !usable(rung)) {
            let text = format!(
                "Rung `{rung}` of cascade `{}` has no version that `{name}` allows.",
                cascade.name
            );
            problems.push(problem(rung, text));
        }
        let best = cascade.rungs.iter().map(|rung| best_quality(declared, workspace, rung));
        let best = best.fold(0.0, f64::max);
        if best < cascade.target {
            let text = format!(
                "Cascade `{}` of `{name}` reaches {best}, under its target {}; add a stronger rung.",
                cascade.name, cascade.target
            );
            problems.push(problem(&cascade.name, text));
        }
    }
}

fn best_quality(declared: &Declarations, workspace: &WorkspaceEntry, model: &Model) -> f64 {
    let entry = declared.models.iter().find(|entry| entry.name == *model);
    let versions = entry.map(|entry| entry.versions.as_slice()).unwrap_or_default();
    let allowed = versions.iter().filter(|version| {
        let target = Target { model: model.clone(), version: version.name.clone() };
        workspace.versions.contains(&target)
    });
    allowed.map(|version| version.quality).fold(0.0, f64::max)
}

#[cfg(test)]
mod tests {
    use super::*;

    const FAULTY: &str = r#"
[[model]]
name = "tiny"
serving = "v2"
[[model.version]]
name = "v1"
cost = 100
quality = 0.8
context = 8000
[[server]]
name = "e1"
address = "127.0.0.1:1"
data_centre = "dc1"
kind = "engine"
versions = ["tiny@v9"]
[[workspace]]
name = "w"
key_digest = "abc"
versions = ["tiny@v1"]
limit = 5.0
[[workspace.cascade]]
name = "auto"
target = 0.95
rungs = ["tiny", "big"]
"#;

    #[test]
    fn all_faults_are_named_at_once() {
        let declared: Declarations = toml::from_str(FAULTY).unwrap();
        let problems: Vec<String> = check(&declared).iter().map(ToString::to_string).collect();
        let text = problems.join("\n");
        for part in ["tiny@v2", "tiny@v9", "key_digest", "Rung `big`", "under its target"] {
            assert!(text.contains(part), "no fault about {part} in:\n{text}");
        }
        assert_eq!(problems.len(), 5);
    }
}
