//! The path where a successor finds its predecessor.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

use thiserror::Error;

use crate::channel::{Channel, ChannelError};

/// Only the broker's own user may connect.
const OWNER_ONLY: u32 = 0o600;

/// Why no successor can be served.
#[derive(Debug, Error)]
pub enum RendezvousError {
    /// The path is taken by something that is no socket.
    #[error("{0}: is there and is no socket: move it away, or give another $TMPDIR")]
    NotASocket(PathBuf),
    /// Another process of this broker listens there.
    #[error(
        "{0}: another process of this broker waits there: end this one, start it again after the upgrade"
    )]
    InUse(PathBuf),
    /// The system refused it.
    #[error("{path}: {source}: $TMPDIR has to be a folder that this user can write, with a short path")]
    Io {
        /// The path.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
}

/// A path in the folder that both processes share.
#[derive(Clone, Debug)]
pub struct Rendezvous {
    path: PathBuf,
}

impl Rendezvous {
    /// The path for a broker by its name and address. It is kept short, as the system allows some hundred bytes.
    pub fn new(folder: &Path, name: &str, listen: SocketAddr) -> Self {
        let identity = format!("{name} {listen}");
        // FNV-1a: the same in each build, unlike the standard library's hash.
        let hash = identity.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
        Rendezvous { path: folder.join(format!("handover-{hash:016x}.sock")) }
    }

    /// The path.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Connects to a predecessor. Nothing where there is none.
    ///
    /// # Errors
    ///
    /// When there is one that can't be used.
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

    /// Listens for a successor where no other process does: for one that has been refused, as another one takes over. A
    /// socket that a process of before has left is replaced.
    ///
    /// # Errors
    ///
    /// When another process listens there, or the path can't be used.
    pub fn listen_if_free(&self) -> Result<UnixListener, RendezvousError> {
        match UnixStream::connect(&self.path) {
            Ok(_) => Err(RendezvousError::InUse(self.path.clone())),
            Err(_) => self.listen(),
        }
    }

    /// Listens for a successor. A socket that is there is replaced, whether its process still listens or has left it:
    /// this one has taken over from it.
    ///
    /// # Errors
    ///
    /// When the path can't be used.
    pub fn listen(&self) -> Result<UnixListener, RendezvousError> {
        let fault = |source| RendezvousError::Io { path: self.path.clone(), source };
        match fs::symlink_metadata(&self.path) {
            Ok(found) if found.file_type().is_socket() => fs::remove_file(&self.path).map_err(fault)?,
            Ok(_) => return Err(RendezvousError::NotASocket(self.path.clone())),
            Err(error) if error.kind() == io::ErrorKind::NotFound => {}
            Err(error) => return Err(fault(error)),
        }
        let listener = UnixListener::bind(&self.path).map_err(fault)?;
        fs::set_permissions(&self.path, fs::Permissions::from_mode(OWNER_ONLY)).map_err(fault)?;
        listener.set_nonblocking(true).map_err(fault)?;
        Ok(listener)
    }
}
