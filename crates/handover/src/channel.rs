//! Messages and sockets over a Unix socket.

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

/// Longest message that is read: a snapshot of some thousands of servers.
const MAX_MESSAGE: usize = 4 * 1024 * 1024;
/// Sockets that travel with one message at the most.
const MAX_SOCKETS: usize = 4;
/// Bytes read at once.
const READ_BYTES: usize = 64 * 1024;
/// Length of a message's length.
const LENGTH_BYTES: usize = 4;

/// Why a channel can't be used any more.
#[derive(Debug, Error)]
pub enum ChannelError {
    /// The other process has ended, or has closed it.
    #[error("the other process has ended the hand-over")]
    Closed,
    /// The other process runs as another user.
    #[error("the other process runs as user {0}: start both as the same user")]
    OtherUser(u32),
    /// What came can't be read as a message.
    #[error("a message can't be read: {0}; the other process may be of another version")]
    Malformed(String),
    /// The system refused to carry it.
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// A message and the sockets that came with it.
#[derive(Debug)]
pub struct Received {
    /// The message.
    pub message: Message,
    /// Its sockets.
    pub sockets: Vec<OwnedFd>,
}

/// A connection between the two processes.
#[derive(Debug)]
pub struct Channel {
    stream: UnixStream,
    incoming: Vec<u8>,
    incoming_sockets: Vec<OwnedFd>,
    outgoing: Vec<u8>,
    /// Sockets that leave with the next byte.
    outgoing_sockets: Vec<OwnedFd>,
}

impl Channel {
    /// A channel over a connection, whose other end must be a process of the same user.
    ///
    /// # Errors
    ///
    /// When it is not, or can't be told.
    pub fn new(stream: UnixStream) -> Result<Self, ChannelError> {
        let peer = socket_peercred(&stream).map_err(io::Error::from)?;
        if peer.uid != rustix::process::geteuid() {
            return Err(ChannelError::OtherUser(peer.uid.as_raw()));
        }
        let (incoming, outgoing) = (Vec::new(), Vec::new());
        Ok(Channel { stream, incoming, incoming_sockets: Vec::new(), outgoing, outgoing_sockets: Vec::new() })
    }

    /// The connection, to be polled.
    pub fn stream(&self) -> &UnixStream {
        &self.stream
    }

    /// Whether anything waits to be written.
    pub fn wants_write(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// Queues a message with copies of sockets, four at the most, and writes what the connection takes.
    ///
    /// # Errors
    ///
    /// When the connection has failed.
    pub fn send(&mut self, message: &Message, sockets: &[BorrowedFd<'_>]) -> Result<(), ChannelError> {
        let json = serde_json::to_vec(message).map_err(|error| ChannelError::Malformed(error.to_string()))?;
        let length =
            u32::try_from(json.len()).map_err(|_| ChannelError::Malformed("it is too long".to_owned()))?;
        self.outgoing.extend_from_slice(&length.to_be_bytes());
        self.outgoing.extend_from_slice(&json);
        for socket in sockets.iter().take(MAX_SOCKETS) {
            self.outgoing_sockets.push(socket.try_clone_to_owned()?);
        }
        self.flush()
    }

    /// Writes what the connection takes.
    ///
    /// # Errors
    ///
    /// When the connection has failed.
    pub fn flush(&mut self) -> Result<(), ChannelError> {
        while !self.outgoing.is_empty() {
            match self.write_some() {
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

    fn write_some(&mut self) -> io::Result<usize> {
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

    /// The next message that has come whole; none where the connection has no more to read for now.
    ///
    /// # Errors
    ///
    /// When the connection has ended, or brings what is no message.
    pub fn receive(&mut self) -> Result<Option<Received>, ChannelError> {
        loop {
            if let Some(message) = self.take_message()? {
                return Ok(Some(Received { message, sockets: std::mem::take(&mut self.incoming_sockets) }));
            }
            match self.read_some() {
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

    fn read_some(&mut self) -> io::Result<usize> {
        let mut bytes = vec![0; READ_BYTES];
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

    fn take_message(&mut self) -> Result<Option<Message>, ChannelError> {
        let Some((length, rest)) = self.incoming.split_first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let length = u32::from_be_bytes(*length) as usize;
        if length > MAX_MESSAGE {
            return Err(ChannelError::Malformed(format!("it is {length} bytes long")));
        }
        let Some(json) = rest.get(..length) else { return Ok(None) };
        let message =
            serde_json::from_slice(json).map_err(|error| ChannelError::Malformed(error.to_string()))?;
        self.incoming.drain(..LENGTH_BYTES + length);
        Ok(Some(message))
    }
}
