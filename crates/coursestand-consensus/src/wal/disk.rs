//! File operations of a log. Tests put a disk below the log that loses power.

use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// A folder on a disk.
///
/// What is written lasts once the file is synced; a new, renamed or removed name lasts once the
/// names are synced.
pub trait Disk: Send {
    /// A file that is written.
    type Writer: DiskWriter;
    /// A file that is read.
    type Reader: Read;

    /// Path of the folder, for error messages.
    fn folder(&self) -> &Path;

    /// Returns the names of all files.
    fn names(&self) -> io::Result<Vec<String>>;

    /// Creates an empty file. Fails if there is one of this name.
    fn create(&self, name: &str) -> io::Result<Self::Writer>;

    /// Opens a file for reading and returns its length in bytes.
    fn open(&self, name: &str) -> io::Result<(Self::Reader, u64)>;

    /// Renames a file. Replaces one that has the new name.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Syncs the names of all files.
    fn sync_names(&self) -> io::Result<()>;
}

/// A file to which is appended.
pub trait DiskWriter: Send {
    /// Appends bytes.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Syncs all that was appended.
    fn sync(&self) -> io::Result<()>;
}

/// A folder of the file system.
#[derive(Debug)]
pub struct FileSystem {
    folder: PathBuf,
}

impl FileSystem {
    /// Returns the files in `folder`, which must exist.
    pub fn new(folder: &Path) -> FileSystem {
        FileSystem {
            folder: folder.to_owned(),
        }
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }
}

impl Disk for FileSystem {
    type Writer = File;
    type Reader = File;

    fn folder(&self) -> &Path {
        &self.folder
    }

    fn names(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in std::fs::read_dir(&self.folder)? {
            // A name that isn't text belongs to no file of a log.
            names.extend(entry?.file_name().into_string());
        }
        Ok(names)
    }

    fn create(&self, name: &str) -> io::Result<File> {
        OpenOptions::new()
            .create_new(true)
            .append(true)
            .open(self.path(name))
    }

    fn open(&self, name: &str) -> io::Result<(File, u64)> {
        let file = File::open(self.path(name))?;
        let length = file.metadata()?.len();
        Ok((file, length))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.path(from), self.path(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.path(name))
    }

    fn sync_names(&self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }
}

impl DiskWriter for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn sync(&self) -> io::Result<()> {
        self.sync_data()
    }
}
