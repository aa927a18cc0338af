//! One revision of the configuration, with the indices that each request needs.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::{
    Cascade, Declarations, ModelEntry, Piece, Rollout, Root, ServerEntry, ServiceEntry,
    VersionEntry, WorkspaceEntry,
};
use crate::unit::{Model, Revision, Target, Version, Workspace};

/// Answer to the question if a workspace may use a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Allowed {
    /// The workspace may use it.
    Yes,
    /// The version is declared, but not for this workspace.
    No,
    /// The version was withdrawn.
    Withdrawn,
    /// No such version is declared.
    Unknown,
}

/// A revision of the configuration with all of its declarations.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Root object of the revision, which lists its pieces by digest.
    pub root: Root,
    /// Pieces by digest, to send them to other VMs.
    pub pieces: BTreeMap<String, Arc<Piece>>,
    /// Declarations from the pieces.
    pub declared: Declarations,
    /// Index of a workspace in `declared`, by the digest of its key.
    by_key: HashMap<String, usize>,
    /// Indices of servers in `declared`, by the versions that they run.
    servers: HashMap<Target, Vec<usize>>,
}

impl Snapshot {
    /// Builds the snapshot of a root from its pieces, by digest; other pieces are ignored.
    ///
    /// # Errors
    /// Fails if a piece is missing or is not valid JSON of its kind.
    pub fn resolve(root: Root, pieces: BTreeMap<String, Arc<Piece>>) -> Result<Snapshot, String> {
        let mut declared = Declarations::default();
        let mut used = BTreeMap::new();
        for (name, digest) in &root.pieces {
            let piece = pieces.get(digest).ok_or_else(|| format!("piece {digest} is missing"))?;
            let fault = |e: serde_json::Error| format!("piece `{name}` is not valid: {e}");
            match name.as_str() {
                "models" => declared.models = serde_json::from_str(&piece.body).map_err(fault)?,
                "servers" => declared.servers = serde_json::from_str(&piece.body).map_err(fault)?,
                "services" => {
                    declared.services = serde_json::from_str(&piece.body).map_err(fault)?;
                }
                _ => {
                    let workspace = serde_json::from_str(&piece.body).map_err(fault)?;
                    declared.workspaces.push(workspace);
                }
            }
            used.insert(digest.clone(), piece.clone());
        }
        Ok(Snapshot::index(root, used, declared))
    }

    fn index(root: Root, pieces: BTreeMap<String, Arc<Piece>>, declared: Declarations) -> Snapshot {
        let keys = declared.workspaces.iter().enumerate();
        let by_key = keys.map(|(i, w)| (w.key_digest.to_ascii_lowercase(), i)).collect();
        let mut servers: HashMap<Target, Vec<usize>> = HashMap::new();
        for (i, server) in declared.servers.iter().enumerate() {
            for target in &server.versions {
                servers.entry(target.clone()).or_default().push(i);
            }
        }
        Snapshot { root, pieces, declared, by_key, servers }
    }

    /// Returns the number of the revision.
    pub fn revision(&self) -> Revision {
        self.root.revision
    }

    /// Returns the workspace whose key has this SHA-256, in lower-case hex.
    pub fn by_key(&self, digest: &str) -> Option<&WorkspaceEntry> {
        self.by_key.get(digest).map(|i| &self.declared.workspaces[*i])
    }

    /// Returns the workspace with this name.
    pub fn workspace(&self, name: &Workspace) -> Option<&WorkspaceEntry> {
        self.declared.workspaces.iter().find(|entry| entry.name == *name)
    }

    /// Returns the model with this name.
    pub fn model(&self, name: &Model) -> Option<&ModelEntry> {
        self.declared.models.iter().find(|entry| entry.name == *name)
    }

    /// Returns the declaration of a version of a model.
    pub fn version(&self, target: &Target) -> Option<&VersionEntry> {
        let model = self.model(&target.model)?;
        model.versions.iter().find(|version| version.name == target.version)
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&ServiceEntry> {
        self.declared.services.iter().find(|entry| entry.name.as_str() == name)
    }

    /// Returns the backend servers that run a version of a model, in data centres that are not
    /// drained.
    pub fn servers_of(&self, target: &Target) -> impl Iterator<Item = &ServerEntry> {
        let indices = self.servers.get(target).map(Vec::as_slice).unwrap_or_default();
        let servers = indices.iter().map(|i| &self.declared.servers[*i]);
        servers.filter(|server| !self.root.drained.contains(&server.data_centre))
    }

    /// Returns the replicas of a service, in data centres that are not drained.
    pub fn replicas_of<'a>(
        &'a self,
        service: &'a crate::unit::Service,
    ) -> impl Iterator<Item = &'a ServerEntry> {
        let servers = self.declared.servers.iter();
        servers.filter(move |server| {
            server.service.as_ref() == Some(service)
                && !self.root.drained.contains(&server.data_centre)
        })
    }

    /// Returns the access of `workspace` to `target` under this revision; a withdrawal comes first.
    pub fn allowed(&self, workspace: &WorkspaceEntry, target: &Target) -> Allowed {
        if self.root.withdrawn.contains(target) {
            return Allowed::Withdrawn;
        }
        if self.version(target).is_none() {
            return Allowed::Unknown;
        }
        if workspace.versions.contains(target) { Allowed::Yes } else { Allowed::No }
    }

    /// Returns the version of `model` in service: that of the last finished roll-out, else the
    /// declared one.
    pub fn serving(&self, model: &Model) -> Option<Version> {
        let rolled_out = self.root.serving.get(model).cloned();
        rolled_out.or_else(|| self.model(model).map(|entry| entry.serving.clone()))
    }

    /// Returns the roll-out of `model` that has not ended.
    pub fn rollout(&self, model: &Model) -> Option<&Rollout> {
        self.root.rollout_of(model)
    }

    /// Selects the version of `model` for new work of `workspace`.
    ///
    /// The version of a roll-out is selected if `point`, a random number of the request from 0 to
    /// 1, is below its share; for a `new_session` the roll-out must be open to sessions too.
    /// Otherwise it is the version in service or, if the workspace may not use that, the last of
    /// its list that it may use and that is not being rolled out.
    pub fn select_version(
        &self,
        workspace: &WorkspaceEntry,
        model: &Model,
        point: f64,
        new_session: bool,
    ) -> Option<Target> {
        let target = |version: Version| Target { model: model.clone(), version };
        if let Some(rollout) = self.rollout(model) {
            let growing = rollout.state == "growing" || rollout.state == "held";
            let usable = self.allowed(workspace, &rollout.to) == Allowed::Yes;
            let open = rollout.accepts_new_sessions || !new_session;
            if growing && usable && open && point < rollout.share.fraction() {
                return Some(rollout.to.clone());
            }
        }
        let serving = self.serving(model).map(target);
        if let Some(serving) = serving
            && self.allowed(workspace, &serving) == Allowed::Yes
        {
            return Some(serving);
        }
        let rolling = self.rollout(model).map(|rollout| &rollout.to);
        let of_model = workspace.versions.iter().filter(|t| t.model == *model);
        let mut usable = of_model.filter(|t| Some(*t) != rolling);
        usable.rfind(|t| self.allowed(workspace, t) == Allowed::Yes).cloned()
    }

    /// Returns the cascade of `workspace` with this name.
    pub fn cascade<'a>(&self, workspace: &'a WorkspaceEntry, name: &str) -> Option<&'a Cascade> {
        workspace.cascades.iter().find(|cascade| cascade.name.as_str() == name)
    }
}

/// Returns a small configuration for tests, from `examples/tiny.toml`.
#[cfg(test)]
pub(crate) fn sample() -> Snapshot {
    let declared: Declarations = toml::from_str(include_str!("../../examples/tiny.toml")).unwrap();
    let pieces = super::pieces(&declared);
    let digests = pieces.iter().map(|p| (p.name.clone(), p.digest.clone())).collect();
    let root = Root { revision: Revision(1), pieces: digests, ..Root::default() };
    let bodies = pieces.into_iter().map(|p| (p.digest.clone(), Arc::new(p))).collect();
    Snapshot::resolve(root, bodies).unwrap()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::unit::TrafficShare;

    #[test]
    fn a_withdrawn_version_is_never_chosen() {
        let mut snapshot = sample();
        let workspace = snapshot.declared.workspaces[0].clone();
        let model: Model = "roastmind".parse().unwrap();
        let target: Target = "roastmind@v3".parse().unwrap();
        assert_eq!(snapshot.select_version(&workspace, &model, 0.5, false), Some(target.clone()));
        snapshot.root.withdrawn.insert(target.clone());
        let other = snapshot.select_version(&workspace, &model, 0.5, false);
        assert_ne!(other, Some(target));
        assert!(other.is_some());
    }

    #[test]
    fn the_share_of_a_rollout_decides_by_the_requests_point() {
        let mut snapshot = sample();
        let workspace = snapshot.declared.workspaces[0].clone();
        let to: Target = "roastmind@v4".parse().unwrap();
        snapshot.root.rollouts.push(Rollout {
            to: to.clone(),
            from: "v3".parse().unwrap(),
            state: "growing".into(),
            share: TrafficShare::from_fraction(0.1),
            accepts_new_sessions: false,
            begun: Default::default(),
            since: Default::default(),
            reason: String::new(),
        });
        assert_eq!(snapshot.select_version(&workspace, &to.model, 0.05, false), Some(to.clone()));
        assert_ne!(snapshot.select_version(&workspace, &to.model, 0.5, false), Some(to.clone()));
        assert_ne!(snapshot.select_version(&workspace, &to.model, 0.05, true), Some(to));
    }
}
