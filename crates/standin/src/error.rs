//! Errors of the stand-ins.

use std::io;
use std::path::{Path, PathBuf};

use derive_more::{Display, Error};

/// Reason why a stand-in could not start or go on.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// A socket could not be opened or used.
    #[display("{operation}: {source}; choose another address or port 0")]
    Socket {
        /// Operation that failed.
        operation: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A file could not be read or written.
    #[display("{}: {source}; check the path and its permissions", path.display())]
    File {
        /// File in question.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Certificates could not be created, read or used.
    #[display("{reason}; make new ones with `monsoon-standin certs --dir DIR`")]
    Certificate {
        /// Operation that failed and its error.
        #[error(not(source))]
        reason: String,
    },
    /// An argument is missing or has an invalid value.
    #[display("{reason}; see `monsoon-standin --help`")]
    Argument {
        /// Name of the argument and the values that it accepts.
        #[error(not(source))]
        reason: String,
    },
}

impl Error {
    /// Returns a converter for errors of `operation` on a socket.
    pub fn socket(operation: &'static str) -> impl FnOnce(io::Error) -> Self {
        move |source| Self::Socket { operation, source }
    }

    /// Returns a converter for errors of the file at `path`.
    pub fn file(path: &Path) -> impl FnOnce(io::Error) -> Self {
        let path = path.to_path_buf();
        move |source| Self::File { path, source }
    }

    /// Returns a converter for certificate errors of any library.
    pub fn certificate<E: std::fmt::Display>(context: &'static str) -> impl FnOnce(E) -> Self {
        move |error| Self::Certificate {
            reason: format!("{context}: {error}"),
        }
    }

    /// Error for an argument that is missing or invalid.
    pub fn argument(reason: impl Into<String>) -> Self {
        Self::Argument {
            reason: reason.into(),
        }
    }
}
