//! HTTP/1.1 on blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A message head: the words of its first line, and its headers.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: Vec<String>,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn length(&self) -> Option<usize> {
        self.get("content-length")?.parse().ok()
    }

    pub fn status(&self) -> u16 {
        self.first
            .get(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or_default()
    }

    pub fn closes(&self) -> bool {
        self.get("connection")
            .is_some_and(|text| text.eq_ignore_ascii_case("close"))
    }
}

/// A connection with a read buffer.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, limit)?;
        stream.set_read_timeout(Some(limit))?;
        stream.set_write_timeout(Some(limit))?;
        Ok(Self::new(stream))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut piece = [0; 16 << 10];
        let count = self.stream.read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..count]);
        Ok(count)
    }

    /// Reads a head; `None` if the connection ends before its first byte.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self
                .buffer
                .windows(4)
                .position(|bytes| bytes == b"\r\n\r\n")
            {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or_default();
                let first = first.splitn(3, ' ').map(str::to_owned).collect();
                let headers = lines.filter_map(|line| {
                    let (name, value) = line.split_once(':')?;
                    Some((name.to_owned(), value.trim().to_owned()))
                });
                return Ok(Some(Head {
                    first,
                    headers: headers.collect(),
                }));
            }
            if self.fill()? == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        }
    }

    /// Reads `length` bytes.
    pub fn read_body(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}
