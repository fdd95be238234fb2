//! Current configuration: its documents, their digest and the validation of changes.

use crate::catalog;
use crate::catalog::command::Change;
use crate::catalog::command::Problem;
use crate::catalog::documents::Body;
use crate::catalog::documents::Document;
use crate::catalog::documents::FLEET_POLICY;
use crate::catalog::documents::Kind;
use crate::catalog::documents::Name;
use crate::catalog::documents::Policy;
use crate::catalog::documents::Service;
use crate::catalog::documents::Stored;
use crate::catalog::documents::Workspace;
use crate::catalog::fields;
use crate::catalog::history::Changed;
use crate::catalog::history::History;
use crate::catalog::pool::StringPool;
use crate::catalog::similar;
use crate::sorted::SortedMap;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;
use xxhash_rust::xxh3;

/// Largest number of documents in one change. Bounds the duration of one `apply` and the memory of
/// the history. Larger imports are split into several changes.
pub const MAX_CHANGE_DOCUMENTS: usize = 500;

/// Number of digits of a key hash that messages show.
const SHOWN_HASH_DIGITS: usize = 8;

/// Documents of the configuration, indexed by name and by caller key.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Config {
    #[serde(deserialize_with = "deserialize_documents")]
    documents: SortedMap<Name, Stored>,
    revision: u64,
    /// Wrapping sum of the hashes of all documents, so that a change hashes only the documents that
    /// it changes.
    #[serde(skip)]
    digest: u64,
    /// Name of the workspace of each caller key, by the hash of the key.
    #[serde(skip)]
    keys: SortedMap<Arc<str>, Arc<str>>,
}

impl Config {
    /// Log index of the last change, or 0 before the first one.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Digest of all documents. It does not depend on the order of the changes.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Number of documents.
    pub fn len(&self) -> usize {
        self.documents.len()
    }

    /// Whether there is no document.
    pub fn is_empty(&self) -> bool {
        self.documents.is_empty()
    }

    /// Document of this name with the revision of its last change.
    pub fn get(&self, name: &Name) -> Option<&Stored> {
        self.documents.get(name)
    }

    /// Documents of one kind, sorted by name.
    pub fn of_kind(&self, kind: Kind) -> impl Iterator<Item = &Stored> {
        let rest = self.documents.iter().skip_while(move |(n, _)| n.kind < kind);
        rest.take_while(move |(n, _)| n.kind == kind).map(|(_, s)| s)
    }

    /// One page of the documents that follow `after`, sorted by name: at most `limit` documents and
    /// [`catalog::MAX_PAGE_BYTES`]. `kind` restricts the page to one kind.
    pub fn list(&self, kind: Option<Kind>, after: Option<&Name>, limit: u32) -> Vec<Stored> {
        let first = kind.map(|k| Name::new(k, ""));
        let from = after.max(first.as_ref());
        let rest: Box<dyn Iterator<Item = (&Name, &Stored)>> = match from {
            Some(from) => Box::new(self.documents.range_from(from)),
            None => Box::new(self.documents.iter()),
        };
        let documents = rest
            .filter(|(n, _)| after != Some(*n))
            .take_while(|(n, _)| kind.is_none_or(|k| k == n.kind))
            .map(|(_, s)| s.clone());
        catalog::page(documents, limit)
    }

    /// Workspace of this name.
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        match self.body(Kind::Workspace, name)? {
            Body::Workspace(workspace) => Some(workspace),
            _ => None,
        }
    }

    /// Workspace that owns the caller key with this lowercase hexadecimal sha256 hash.
    pub fn workspace_by_key(&self, hash: &str) -> Option<&Workspace> {
        self.workspace(self.keys.get(hash)?)
    }

    /// Policy of the model, or that of the fleet if the model has none.
    pub fn policy(&self, model: &str) -> Option<&Policy> {
        let own = self.body(Kind::Policy, model);
        match own.or_else(|| self.body(Kind::Policy, FLEET_POLICY))? {
            Body::Policy(policy) => Some(policy),
            _ => None,
        }
    }

    /// Plain service of this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        match self.body(Kind::Service, name)? {
            Body::Service(service) => Some(service),
            _ => None,
        }
    }

    fn body(&self, kind: Kind, name: &str) -> Option<&Body> {
        self.documents.get(&Name::new(kind, name)).map(|s| &s.document.body)
    }

    /// Explains that a document does not exist, with its last withdrawal and similar names.
    pub fn explain_missing(&self, name: &Name, history: &History) -> Problem {
        Problem::NoDocument {
            name: name.clone(),
            last: history.last_withdrawal(name),
            similar: self.similar(name.kind, &name.name),
        }
    }

    fn similar(&self, kind: Kind, name: &str) -> Vec<Arc<str>> {
        let from = Name::new(kind, "");
        let known = self.documents.range_from(&from).take_while(|(n, _)| n.kind == kind);
        similar::names(name, known.map(|(n, _)| &*n.name))
    }

    /// Validates a change against the current documents. The error lists every problem.
    pub fn check(&self, changes: &[Change], history: &History) -> Result<(), Vec<Problem>> {
        if changes.is_empty() {
            return Err(vec![Problem::Empty]);
        }
        if changes.len() > MAX_CHANGE_DOCUMENTS {
            let (count, limit) = (changes.len() as u64, MAX_CHANGE_DOCUMENTS as u64);
            return Err(vec![Problem::TooMany { count, limit }]);
        }
        let mut problems = Vec::new();
        let proposed = ProposedConfig::new(self, changes, &mut problems);
        for change in changes {
            match change {
                Change::Put { name, document } => proposed.check_put(name, document, &mut problems),
                Change::Withdraw { name } => proposed.check_withdraw(name, history, &mut problems),
            }
        }
        if problems.is_empty() { Ok(()) } else { Err(problems) }
    }

    /// Applies a change that passed [`Config::check`]. Returns the documents that changed; the list
    /// is empty if every document already had the new content.
    pub fn commit(
        &mut self,
        revision: u64,
        changes: Vec<Change>,
        pool: &mut StringPool,
    ) -> Vec<Changed> {
        let mut changed = Vec::new();
        for change in changes {
            let (name, document) = match change {
                Change::Put { mut document, .. } => {
                    document.intern_strings(pool);
                    (document.name(), Some(Arc::new(document)))
                }
                Change::Withdraw { name } => (name, None),
            };
            let old = self.documents.get(&name);
            if old.map(|s| &s.document) == document.as_ref() {
                continue;
            }
            changed.push(Changed { name, before: old.map(|s| s.revision), document });
        }
        if changed.is_empty() {
            return changed;
        }
        self.revision = revision;
        // A key may move from one workspace to another in one change, so all old documents are
        // removed before the new ones are inserted.
        for change in &changed {
            self.remove_document(&change.name);
        }
        for change in &changed {
            if let Some(document) = &change.document {
                self.insert_document(&change.name, document, revision);
            }
        }
        changed
    }

    fn remove_document(&mut self, name: &Name) {
        let Some(old) = self.documents.get(name) else { return };
        self.digest = self.digest.wrapping_sub(document_hash(&old.document));
        if let Body::Workspace(workspace) = &old.document.body {
            for key in &workspace.keys {
                self.keys.remove(key);
            }
        }
        self.documents.remove(name);
    }

    fn insert_document(&mut self, name: &Name, document: &Arc<Document>, revision: u64) {
        self.digest = self.digest.wrapping_add(document_hash(document));
        if let Body::Workspace(workspace) = &document.body {
            for key in &workspace.keys {
                self.keys.insert(key.clone(), workspace.name.clone());
            }
        }
        self.documents.insert(name.clone(), Stored { document: document.clone(), revision });
    }

    /// Rebuilds the digest and the index of keys, which snapshots do not contain, and shares the
    /// allocations of documents with the history.
    pub fn rebuild(&mut self, history: &History) {
        let mut keys = Vec::new();
        self.digest = 0;
        for (name, stored) in self.documents.iter_mut() {
            if let Some(document) = history.document(stored.revision, name) {
                stored.document = document.clone();
            }
            self.digest = self.digest.wrapping_add(document_hash(&stored.document));
            if let Body::Workspace(workspace) = &stored.document.body {
                keys.extend(workspace.keys.iter().map(|k| (k.clone(), workspace.name.clone())));
            }
        }
        keys.sort_unstable();
        self.keys = keys.into_iter().collect();
    }
}

/// Deserializes documents and interns the strings of each one as it is read. Interning them after
/// all documents are read would not reduce the peak memory.
fn deserialize_documents<'de, D>(deserializer: D) -> Result<SortedMap<Name, Stored>, D::Error>
where
    D: serde::Deserializer<'de>,
{
    deserializer.deserialize_seq(DocumentsVisitor)
}

/// Visitor of [`deserialize_documents`].
struct DocumentsVisitor;

impl<'de> serde::de::Visitor<'de> for DocumentsVisitor {
    type Value = SortedMap<Name, Stored>;

    fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("a sequence of documents")
    }

    fn visit_seq<A>(self, mut pairs: A) -> Result<Self::Value, A::Error>
    where
        A: serde::de::SeqAccess<'de>,
    {
        let mut pool = StringPool::default();
        let mut documents = SortedMap::new();
        while let Some((name, mut stored)) = pairs.next_element::<(Name, Stored)>()? {
            if let Some(document) = Arc::get_mut(&mut stored.document) {
                document.intern_strings(&mut pool);
            }
            let own = stored.document.name();
            documents.insert(if own == name { own } else { name }, stored);
        }
        Ok(documents)
    }
}

/// Hash of one document. The body contains the document's name, so the hash covers it.
fn document_hash(document: &Document) -> u64 {
    xxh3::xxh3_64(&catalog::encode(document))
}

/// Configuration that results from a change, as an overlay over the current one. References and
/// key owners are checked against it.
struct ProposedConfig<'a> {
    current: &'a Config,
    /// New document of each changed name, or `None` if it is withdrawn.
    changes: SortedMap<&'a Name, Option<&'a Document>>,
}

impl<'a> ProposedConfig<'a> {
    /// Builds the overlay and reports documents that are changed twice.
    fn new(
        current: &'a Config,
        changes: &'a [Change],
        problems: &mut Vec<Problem>,
    ) -> ProposedConfig<'a> {
        let mut proposed = ProposedConfig { current, changes: SortedMap::new() };
        for change in changes {
            let document = match change {
                Change::Put { document, .. } => Some(document),
                Change::Withdraw { .. } => None,
            };
            if proposed.changes.insert(change.name(), document).is_some() {
                problems.push(Problem::Twice { name: change.name().clone() });
            }
        }
        proposed
    }

    fn contains(&self, name: &Name) -> bool {
        match self.changes.get(name) {
            Some(document) => document.is_some(),
            None => self.current.documents.contains(name),
        }
    }

    fn check_put(&self, name: &Name, document: &Document, problems: &mut Vec<Problem>) {
        if *name != document.name() {
            let document = document.name();
            problems.push(Problem::Mismatch { name: name.clone(), document });
        }
        fields::check(document, problems);
        if let Some(workspace) = document.workspace()
            && !self.contains(&Name::new(Kind::Workspace, workspace.clone()))
        {
            problems.push(Problem::NoWorkspace {
                name: name.clone(),
                workspace: workspace.clone(),
                similar: self.current.similar(Kind::Workspace, workspace),
            });
        }
        if let Body::Workspace(workspace) = &document.body {
            for key in &workspace.keys {
                self.check_key(name, key, problems);
            }
        }
    }

    fn check_key(&self, name: &Name, key: &Arc<str>, problems: &mut Vec<Problem>) {
        let Some(owner) = self.key_owner(name, key) else { return };
        problems.push(Problem::KeyTaken {
            name: name.clone(),
            hash: key.get(..SHOWN_HASH_DIGITS).unwrap_or(key).into(),
            owner,
        });
    }

    /// Workspace other than `name` that would own the key after the change.
    fn key_owner(&self, name: &Name, key: &Arc<str>) -> Option<Arc<str>> {
        let changed = self.changes.iter().find(|(n, d)| {
            let body = d.map(|d| &d.body);
            **n != name && matches!(body, Some(Body::Workspace(w)) if w.keys.contains(key))
        });
        if let Some((other, _)) = changed {
            return Some(other.name.clone());
        }
        let owner = self.current.keys.get(key)?;
        let replaced = self.changes.contains(&Name::new(Kind::Workspace, owner.clone()));
        (!replaced).then(|| owner.clone())
    }

    fn check_withdraw(&self, name: &Name, history: &History, problems: &mut Vec<Problem>) {
        if !self.current.documents.contains(name) {
            problems.push(self.current.explain_missing(name, history));
            return;
        }
        if name.kind != Kind::Workspace {
            return;
        }
        let users = self.users(&name.name);
        if !users.is_empty() {
            problems.push(Problem::InUse { name: name.clone(), users });
        }
    }

    /// Names of the documents that would refer to the workspace after the change, sorted.
    fn users(&self, workspace: &Arc<str>) -> Vec<Name> {
        let kept = [Kind::Assistant, Kind::BatchPlan]
            .into_iter()
            .flat_map(|k| self.current.of_kind(k))
            .map(|s| (s.document.name(), &*s.document))
            .filter(|(n, _)| !self.changes.contains(n));
        let put = self.changes.iter().filter_map(|(n, d)| d.map(|d| ((*n).clone(), d)));
        let mut users: Vec<Name> = kept
            .chain(put)
            .filter(|(_, d)| d.workspace() == Some(workspace))
            .map(|(n, _)| n)
            .collect();
        users.sort_unstable();
        users
    }
}
