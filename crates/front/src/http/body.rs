//! The body of a message, in parts that are never copied together.

use bytes::{BufMut, Bytes, BytesMut};

/// Capacity of a part, in bytes: what a body that grows occupies beyond its own bytes, at most.
const PART_SIZE: usize = 16 << 10;

/// A complete body.
#[derive(Clone, Debug, Default)]
pub(crate) struct Body {
    parts: Vec<Bytes>,
    length: usize,
}

impl Body {
    /// Number of bytes.
    pub(crate) fn len(&self) -> usize {
        self.length
    }

    /// Whether there are no bytes.
    pub(crate) fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// The bytes, in order.
    pub(crate) fn parts(&self) -> &[Bytes] {
        &self.parts
    }

    /// The bytes in one piece, which copies those of a body with several parts.
    pub(crate) fn into_bytes(self) -> Bytes {
        match <[Bytes; 1]>::try_from(self.parts) {
            Ok([part]) => part,
            Err(parts) => Bytes::from(parts.concat()),
        }
    }
}

impl From<Vec<u8>> for Body {
    fn from(bytes: Vec<u8>) -> Self {
        Self {
            length: bytes.len(),
            parts: vec![Bytes::from(bytes)],
        }
    }
}

/// A body that is being read.
#[derive(Debug, Default)]
pub(super) struct BodyBuffer {
    full: Vec<Bytes>,
    last: BytesMut,
    length: usize,
}

impl BodyBuffer {
    /// Number of bytes read.
    pub(super) fn len(&self) -> usize {
        self.length
    }

    /// Adds bytes, of a body that will have at most `expected` more.
    pub(super) fn append(&mut self, mut bytes: &[u8], expected: usize) {
        self.length += bytes.len();
        while !bytes.is_empty() {
            let room = self.last.capacity() - self.last.len();
            if room == 0 {
                let full = std::mem::take(&mut self.last).freeze();
                if !full.is_empty() {
                    self.full.push(full);
                }
                self.last = BytesMut::with_capacity(expected.max(bytes.len()).min(PART_SIZE));
                continue;
            }
            let (now, later) = bytes.split_at(room.min(bytes.len()));
            self.last.put_slice(now);
            bytes = later;
        }
    }

    /// The complete body.
    pub(super) fn finish(mut self) -> Body {
        if !self.last.is_empty() {
            self.full.push(self.last.freeze());
        }
        Body {
            parts: self.full,
            length: self.length,
        }
    }
}
