//! Transfers messages and file descriptors over a Unix socket.

use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::net::UnixStream;

use rustix::net::sockopt::socket_peercred;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use thiserror::Error;

use crate::message::Message;

/// Maximum length of a received message; enough for a snapshot of several thousand servers.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;
/// Maximum number of sockets attached to one message.
const MAX_SOCKETS: usize = 4;
/// Size of the buffer for a single read.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Size of the length prefix of a message.
const LENGTH_PREFIX_BYTES: usize = 4;

/// An error after which the channel can't be used any more.
#[derive(Debug, Error)]
pub enum ChannelError {
    /// The other process has exited or closed the connection.
    #[error("the other process has closed the hand-over connection")]
    Closed,
    /// The other process runs as another user.
    #[error("the other process runs as user {0}: start both processes as the same user")]
    OtherUser(u32),
    /// A message could not be decoded.
    #[error("invalid hand-over message: {0}; the other process may be of another version")]
    Malformed(String),
    /// An operation on the connection failed.
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// A received message with its attached sockets.
#[derive(Debug)]
pub struct Received {
    /// The message.
    pub message: Message,
    /// The attached sockets.
    pub sockets: Vec<OwnedFd>,
}

/// A connection between predecessor and successor.
#[derive(Debug)]
pub struct Channel {
    stream: UnixStream,
    incoming: Vec<u8>,
    incoming_sockets: Vec<OwnedFd>,
    outgoing: Vec<u8>,
    /// Sockets to be attached to the next byte written.
    outgoing_sockets: Vec<OwnedFd>,
}

impl Channel {
    /// Creates a channel over a connection whose other end must be a process of the same user.
    ///
    /// # Errors
    ///
    /// If the other process runs as another user, or its user can't be determined.
    pub fn new(stream: UnixStream) -> Result<Self, ChannelError> {
        let peer = socket_peercred(&stream).map_err(io::Error::from)?;
        if peer.uid != rustix::process::geteuid() {
            return Err(ChannelError::OtherUser(peer.uid.as_raw()));
        }
        let (incoming, outgoing) = (Vec::new(), Vec::new());
        Ok(Channel { stream, incoming, incoming_sockets: Vec::new(), outgoing, outgoing_sockets: Vec::new() })
    }

    /// The underlying connection, for registration with a poller.
    pub fn stream(&self) -> &UnixStream {
        &self.stream
    }

    /// Whether unsent bytes are queued.
    pub fn wants_write(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// Queues a message with duplicates of up to four sockets, and writes as much as the connection accepts.
    ///
    /// # Errors
    ///
    /// If the message is too long, a socket can't be duplicated, or the connection has failed.
    pub fn send(&mut self, message: &Message, sockets: &[BorrowedFd<'_>]) -> Result<(), ChannelError> {
        let json = serde_json::to_vec(message).map_err(|error| ChannelError::Malformed(error.to_string()))?;
        let length =
            u32::try_from(json.len()).map_err(|_| ChannelError::Malformed("message too long".to_owned()))?;
        self.outgoing.extend_from_slice(&length.to_be_bytes());
        self.outgoing.extend_from_slice(&json);
        for socket in sockets.iter().take(MAX_SOCKETS) {
            self.outgoing_sockets.push(socket.try_clone_to_owned()?);
        }
        self.flush()
    }

    /// Writes as many queued bytes as the connection accepts.
    ///
    /// # Errors
    ///
    /// If the connection has failed.
    pub fn flush(&mut self) -> Result<(), ChannelError> {
        while !self.outgoing.is_empty() {
            match self.write_once() {
                Ok(written) => drop(self.outgoing.drain(..written)),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::BrokenPipe => return Err(ChannelError::Closed),
                Err(error) => return Err(error.into()),
            }
        }
        self.outgoing.shrink_to_fit();
        Ok(())
    }

    fn write_once(&mut self) -> io::Result<usize> {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_SOCKETS))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        let sockets: Vec<BorrowedFd<'_>> = self.outgoing_sockets.iter().map(AsFd::as_fd).collect();
        if !sockets.is_empty() {
            control.push(SendAncillaryMessage::ScmRights(&sockets));
        }
        let written =
            sendmsg(&self.stream, &[IoSlice::new(&self.outgoing)], &mut control, SendFlags::NOSIGNAL)?;
        self.outgoing_sockets.clear();
        Ok(written)
    }

    /// Returns the next complete message, or `None` if more bytes must arrive first.
    ///
    /// # Errors
    ///
    /// If the connection is closed or has failed, or a message can't be decoded.
    pub fn receive(&mut self) -> Result<Option<Received>, ChannelError> {
        loop {
            if let Some(message) = self.decode_message()? {
                return Ok(Some(Received { message, sockets: std::mem::take(&mut self.incoming_sockets) }));
            }
            match self.read_once() {
                Ok(0) => return Err(ChannelError::Closed),
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(None),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::ConnectionReset => {
                    return Err(ChannelError::Closed);
                }
                Err(error) => return Err(error.into()),
            }
        }
    }

    fn read_once(&mut self) -> io::Result<usize> {
        let mut bytes = vec![0; READ_BUFFER_BYTES];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_SOCKETS))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let mut buffers = [IoSliceMut::new(&mut bytes)];
        let received = recvmsg(&self.stream, &mut buffers, &mut control, RecvFlags::CMSG_CLOEXEC)?;
        for ancillary in control.drain() {
            if let RecvAncillaryMessage::ScmRights(sockets) = ancillary {
                self.incoming_sockets.extend(sockets);
            }
        }
        self.incoming_sockets.truncate(MAX_SOCKETS);
        self.incoming.extend_from_slice(&bytes[..received.bytes]);
        Ok(received.bytes)
    }

    fn decode_message(&mut self) -> Result<Option<Message>, ChannelError> {
        let Some((length, rest)) = self.incoming.split_first_chunk::<LENGTH_PREFIX_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*length) as usize;
        if length > MAX_MESSAGE_BYTES {
            return Err(ChannelError::Malformed(format!(
                "length of {length} bytes exceeds {MAX_MESSAGE_BYTES}"
            )));
        }
        let Some(json) = rest.get(..length) else { return Ok(None) };
        let message =
            serde_json::from_slice(json).map_err(|error| ChannelError::Malformed(error.to_string()))?;
        self.incoming.drain(..LENGTH_PREFIX_BYTES + length);
        Ok(Some(message))
    }
}
