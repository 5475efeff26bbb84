//! The Unix socket path on which a successor connects to its predecessor.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

use thiserror::Error;

use crate::channel::{Channel, ChannelError};

/// File mode of the socket: only the broker's own user may connect.
const OWNER_ONLY_MODE: u32 = 0o600;

/// Why this process can't listen for a successor.
#[derive(Debug, Error)]
pub enum RendezvousError {
    /// A file that is not a socket exists at the path.
    #[error("{0}: exists and is not a socket: move it away, or set another $TMPDIR")]
    NotASocket(PathBuf),
    /// Another process of this broker listens on the path.
    #[error(
        "{0}: another process of this broker listens on it: stop this one and start it again after the upgrade"
    )]
    InUse(PathBuf),
    /// The socket could not be created.
    #[error("{path}: {source}: $TMPDIR must be a directory with a short path that this user can write to")]
    Io {
        /// The socket's path.
        path: PathBuf,
        /// The underlying error.
        source: io::Error,
    },
}

/// The path of the Unix socket, in a directory that both processes share.
#[derive(Clone, Debug)]
pub struct Rendezvous {
    path: PathBuf,
}

impl Rendezvous {
    /// Derives the path from the broker's name and address. It is kept short, as a Unix socket path may have
    /// about 100 bytes.
    pub fn new(directory: &Path, name: &str, listen: SocketAddr) -> Self {
        let identity = format!("{name} {listen}");
        // FNV-1a: unlike the standard library's hash, its result is the same in every build.
        let hash = identity.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
        Rendezvous { path: directory.join(format!("handover-{hash:016x}.sock")) }
    }

    /// The socket's path.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Connects to the predecessor. Returns `None` if no process listens on the path.
    ///
    /// # Errors
    ///
    /// If the connection fails for another reason, or the predecessor runs as another user.
    pub fn connect(&self) -> Result<Option<Channel>, ChannelError> {
        match UnixStream::connect(&self.path) {
            Ok(stream) => Channel::new(stream).map(Some),
            Err(error)
                if matches!(error.kind(), io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused) =>
            {
                Ok(None)
            }
            Err(error) => Err(error.into()),
        }
    }

    /// Listens for a successor unless another process does. Used by a process whose request was refused
    /// because another one is taking over. A stale socket of an earlier process is replaced.
    ///
    /// # Errors
    ///
    /// If another process listens on the path, or the socket can't be created.
    pub fn listen_if_free(&self) -> Result<UnixListener, RendezvousError> {
        match UnixStream::connect(&self.path) {
            Ok(_) => Err(RendezvousError::InUse(self.path.clone())),
            Err(_) => self.listen(),
        }
    }

    /// Listens for a successor. An existing socket is replaced, whether or not its process still listens on
    /// it: this process has taken over from it.
    ///
    /// # Errors
    ///
    /// If the socket can't be created, or a file that is not a socket exists at the path.
    pub fn listen(&self) -> Result<UnixListener, RendezvousError> {
        let io_error = |source| RendezvousError::Io { path: self.path.clone(), source };
        match fs::symlink_metadata(&self.path) {
            Ok(found) if found.file_type().is_socket() => fs::remove_file(&self.path).map_err(io_error)?,
            Ok(_) => return Err(RendezvousError::NotASocket(self.path.clone())),
            Err(error) if error.kind() == io::ErrorKind::NotFound => {}
            Err(error) => return Err(io_error(error)),
        }
        let listener = UnixListener::bind(&self.path).map_err(io_error)?;
        fs::set_permissions(&self.path, fs::Permissions::from_mode(OWNER_ONLY_MODE)).map_err(io_error)?;
        listener.set_nonblocking(true).map_err(io_error)?;
        Ok(listener)
    }
}
