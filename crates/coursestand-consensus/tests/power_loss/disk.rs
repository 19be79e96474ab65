//! A disk in memory that loses power.
//!
//! After a loss of power, a file holds what its last sync covered. Each later write is there,
//! missing or torn, and a name that was created, changed or removed since the last sync of the
//! names has changed or not, each file for itself. A new file lasts with its own sync.

use std::collections::BTreeMap;
use std::io::{self, Cursor};
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard};

use coursestand_consensus::wal::disk::{Disk, DiskWriter};

use crate::choices::Choices;

/// Positions at which a write is torn, besides its middle and its last byte.
const CUTS: [usize; 6] = [1, 4, 6, 8, 12, 13];

/// Names and contents of all files.
pub type Files = BTreeMap<String, Vec<u8>>;

type FileId = usize;

/// A change of a name that has not been synced.
#[derive(Clone)]
enum NameChange {
    Created(String),
    Renamed { from: String, to: String },
    Removed(String),
}

#[derive(Clone, Default)]
struct StoredFile {
    /// Contents according to the last sync.
    synced: Vec<u8>,
    /// Writes since then.
    writes: Vec<Vec<u8>>,
    name_changes: Vec<NameChange>,
}

impl StoredFile {
    fn contents(&self) -> Vec<u8> {
        let mut contents = self.synced.clone();
        contents.extend(self.writes.concat());
        contents
    }

    /// Returns what the file may hold after a loss of power.
    fn contents_after_power_loss(&self, choices: &mut Choices) -> Vec<u8> {
        let mut contents = self.synced.clone();
        let mut offset = contents.len();
        for write in &self.writes {
            write_torn(&mut contents, offset, write, choices);
            offset += write.len();
        }
        contents
    }
}

/// Puts at `offset` what may be left of a write. The file is extended by zeros where needed.
fn write_torn(contents: &mut Vec<u8>, offset: usize, write: &[u8], choices: &mut Choices) {
    let length = write.len();
    let cuts = CUTS.into_iter().chain([length / 2, length - 1]);
    let mut cuts: Vec<usize> = cuts.filter(|cut| (1..length).contains(cut)).collect();
    cuts.sort_unstable();
    cuts.dedup();
    let mut put = |from: usize, bytes: &[u8]| {
        contents.resize(contents.len().max(offset + from + bytes.len()), 0);
        contents[offset + from..offset + from + bytes.len()].copy_from_slice(bytes);
    };
    match choices.choose(3 + 3 * cuts.len()) {
        0 => put(0, write),
        1 => {}
        2 => put(length, &[]),
        choice => {
            let cut = cuts[(choice - 3) / 3];
            match (choice - 3) % 3 {
                0 => put(0, &write[..cut]),
                1 => {
                    put(0, &write[..cut]);
                    put(length, &[]);
                }
                _ => put(cut, &write[cut..]),
            }
        }
    }
}

#[derive(Default)]
struct DiskState {
    files: Vec<StoredFile>,
    names: BTreeMap<String, FileId>,
    synced_names: BTreeMap<String, FileId>,
    /// Operations until the process ends; none if it doesn't.
    operations_left: Option<usize>,
}

impl DiskState {
    /// Counts an operation that changes something. Fails once the process has ended.
    fn count(&mut self) -> io::Result<()> {
        match &mut self.operations_left {
            Some(0) => Err(io::Error::other("the process has ended")),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn file(&mut self, name: &str) -> io::Result<FileId> {
        let found = self.names.get(name).copied();
        found.ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))
    }

    fn files_after_kill(&self) -> Files {
        let names = self.names.iter();
        names
            .map(|(name, id)| (name.clone(), self.files[*id].contents()))
            .collect()
    }

    fn files_after_power_loss(&self, choices: &mut Choices) -> Files {
        let mut names = self.synced_names.clone();
        for (id, file) in self.files.iter().enumerate() {
            let kept = choices.choose(file.name_changes.len() + 1);
            for change in &file.name_changes[..kept] {
                match change {
                    NameChange::Created(name) => {
                        names.insert(name.clone(), id);
                    }
                    NameChange::Renamed { from, to } => {
                        names.remove(from);
                        names.insert(to.clone(), id);
                    }
                    NameChange::Removed(name) => {
                        names.remove(name);
                    }
                }
            }
        }
        names
            .into_iter()
            .map(|(name, id)| (name, self.files[id].contents_after_power_loss(choices)))
            .collect()
    }
}

/// A disk that its clones share.
#[derive(Clone, Default)]
pub struct UnreliableDisk(Arc<Mutex<DiskState>>);

impl UnreliableDisk {
    /// Returns a disk that holds `files`, all of them synced.
    pub fn with_files(files: &Files) -> UnreliableDisk {
        let disk = UnreliableDisk::default();
        let mut state = disk.state();
        for (id, (name, contents)) in files.iter().enumerate() {
            state.files.push(StoredFile {
                synced: contents.clone(),
                ..StoredFile::default()
            });
            state.names.insert(name.clone(), id);
        }
        state.synced_names = state.names.clone();
        drop(state);
        disk
    }

    fn state(&self) -> MutexGuard<'_, DiskState> {
        self.0.lock().expect("no panic")
    }

    /// Lets the process end after this many operations.
    pub fn end_process_after(&self, operations: usize) {
        self.state().operations_left = Some(operations);
    }

    /// Returns whether the process has ended.
    pub fn has_process_ended(&self) -> bool {
        self.state().operations_left == Some(0)
    }

    /// Returns the files that the next process finds.
    pub fn files_after_kill(&self) -> Files {
        self.state().files_after_kill()
    }

    /// Returns the files that the next process finds if power was lost.
    pub fn files_after_power_loss(&self, choices: &mut Choices) -> Files {
        self.state().files_after_power_loss(choices)
    }
}

impl Disk for UnreliableDisk {
    type Writer = UnreliableFile;
    type Reader = Cursor<Vec<u8>>;

    fn folder(&self) -> &Path {
        Path::new("disk")
    }

    fn names(&self) -> io::Result<Vec<String>> {
        Ok(self.state().names.keys().cloned().collect())
    }

    fn create(&self, name: &str) -> io::Result<UnreliableFile> {
        let mut state = self.state();
        state.count()?;
        if state.names.contains_key(name) {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        let id = state.files.len();
        state.files.push(StoredFile {
            name_changes: vec![NameChange::Created(name.to_owned())],
            ..StoredFile::default()
        });
        state.names.insert(name.to_owned(), id);
        let disk = self.clone();
        Ok(UnreliableFile { disk, id })
    }

    fn open(&self, name: &str) -> io::Result<(Cursor<Vec<u8>>, u64)> {
        let mut state = self.state();
        let id = state.file(name)?;
        let contents = state.files[id].contents();
        let length = contents.len() as u64;
        Ok((Cursor::new(contents), length))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state();
        state.count()?;
        let id = state.file(from)?;
        state.names.remove(from);
        state.names.insert(to.to_owned(), id);
        state.files[id].name_changes.push(NameChange::Renamed {
            from: from.to_owned(),
            to: to.to_owned(),
        });
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.count()?;
        let id = state.file(name)?;
        state.names.remove(name);
        let removed = NameChange::Removed(name.to_owned());
        state.files[id].name_changes.push(removed);
        Ok(())
    }

    fn sync_names(&self) -> io::Result<()> {
        let mut state = self.state();
        state.count()?;
        state.synced_names = state.names.clone();
        for file in &mut state.files {
            file.name_changes.clear();
        }
        Ok(())
    }
}

/// An open file of an [`UnreliableDisk`].
pub struct UnreliableFile {
    disk: UnreliableDisk,
    id: FileId,
}

impl DiskWriter for UnreliableFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.disk.state();
        state.count()?;
        state.files[self.id].writes.push(bytes.to_vec());
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        let mut state = self.disk.state();
        state.count()?;
        let file = &mut state.files[self.id];
        file.synced = file.contents();
        file.writes.clear();
        // A new file lasts with its own sync.
        if let Some(NameChange::Created(name)) = file.name_changes.first().cloned() {
            file.name_changes.remove(0);
            state.synced_names.insert(name, self.id);
        }
        Ok(())
    }
}
