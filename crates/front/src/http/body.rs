//! The body of a message, in parts that are never copied together.

use bytes::{BufMut, Bytes, BytesMut};

/// Largest capacity of a part, in bytes: what a body that grows occupies beyond its own bytes, at most.
const PART_SIZE: usize = 16 << 10;
/// Smallest capacity of a part of a body without a length, in bytes. Later parts have room for as much as
/// all earlier ones, so that few are needed however small the pieces are in which a body arrives.
const MIN_PART_SIZE: usize = 64;
/// Bytes that a part occupies beyond its capacity: its entry in a list that grows by doubling, its
/// reference count, and what the allocator adds.
const PART_OVERHEAD: usize = 128;

/// The bytes that a body occupies whose length is known before it is read.
pub(super) fn occupied_by(length: usize) -> usize {
    length.saturating_add(length.div_ceil(PART_SIZE).saturating_mul(PART_OVERHEAD))
}

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
    occupied: usize,
}

impl BodyBuffer {
    /// Number of bytes read.
    pub(super) fn len(&self) -> usize {
        self.length
    }

    /// The bytes that the body occupies in memory, unused capacity and lists included.
    pub(super) fn occupied(&self) -> usize {
        self.occupied
    }

    /// Adds bytes, of a body that will have at most `expected` more; 0 if that is unknown.
    pub(super) fn append(&mut self, mut bytes: &[u8], expected: usize) {
        let before = self.length;
        self.length += bytes.len();
        while !bytes.is_empty() {
            let room = self.last.capacity() - self.last.len();
            if room == 0 {
                let full = std::mem::take(&mut self.last).freeze();
                if !full.is_empty() {
                    self.full.push(full);
                }
                let wanted = if expected == 0 {
                    bytes.len().max(before).max(MIN_PART_SIZE)
                } else {
                    expected.max(bytes.len())
                };
                self.last = BytesMut::with_capacity(wanted.min(PART_SIZE));
                self.occupied += self.last.capacity() + PART_OVERHEAD;
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

#[cfg(test)]
mod tests {
    use super::{BodyBuffer, PART_OVERHEAD, PART_SIZE, occupied_by};

    // Guards against Fault: a body in chunks of one byte had an allocation for each of them.
    #[test]
    fn body_in_single_bytes_occupies_little_more_than_its_length() {
        let mut body = BodyBuffer::default();

        for _ in 0..100_000 {
            body.append(b"x", 0);
        }

        assert_eq!(body.len(), 100_000);
        assert!(body.occupied() < 100_000 + PART_SIZE + 20 * PART_OVERHEAD);
        assert!(body.finish().parts().len() < 20);
    }

    #[test]
    fn short_body_occupies_little() {
        let mut body = BodyBuffer::default();

        body.append(b"an order", 0);

        assert!(body.occupied() < 256, "{}", body.occupied());
    }

    // Guards against Fault: a body whose length was reserved was given up because it occupied more.
    #[test]
    fn body_with_a_length_occupies_what_is_reserved() {
        for length in [1, PART_SIZE, 3 * PART_SIZE + 5] {
            let mut body = BodyBuffer::default();
            for sent in 0..length {
                body.append(b"x", length - sent);
            }
            assert_eq!(body.occupied(), occupied_by(length));
        }
    }
}
