//! Reads bodies in chunked transfer encoding.

use bytes::Buf;

use super::super::body::BodyBuffer;
use super::super::buffer_budget::BufferAccount;
use super::super::error::{HttpError, Result};
use super::{Connection, occupy};

/// Longest chunk size line and longest trailer line, in bytes.
const LINE_LIMIT: usize = 4 << 10;
/// Longest trailer section, in bytes.
const TRAILERS_LIMIT: usize = 64 << 10;

impl Connection {
    pub(super) async fn read_chunks(
        &mut self,
        body: &mut BodyBuffer,
        limit: usize,
        account: &mut BufferAccount,
    ) -> Result<()> {
        loop {
            let size = self.read_chunk_size().await?;
            let end = body.len().checked_add(size);
            let Some(end) = end.filter(|end| *end <= limit) else {
                return Err(HttpError::BodyTooLong);
            };
            if size == 0 {
                return self.skip_trailers().await;
            }
            while body.len() < end {
                if self.buffer.is_empty() {
                    self.fill_body().await?;
                }
                self.move_to_body(body, end - body.len(), 0);
                occupy(account, body.occupied())?;
            }
            while self.buffer.len() < 2 {
                self.fill_body().await?;
            }
            if &self.buffer[..2] != b"\r\n" {
                return Err(HttpError::Malformed("chunk end"));
            }
            self.buffer.advance(2);
        }
    }

    async fn read_chunk_size(&mut self) -> Result<usize> {
        loop {
            match httparse::parse_chunk_size(&self.buffer) {
                Ok(httparse::Status::Complete((length, size))) => {
                    self.buffer.advance(length);
                    return usize::try_from(size).map_err(|_| HttpError::BodyTooLong);
                }
                Ok(httparse::Status::Partial) if self.buffer.len() <= LINE_LIMIT => {
                    self.fill_body().await?;
                }
                _ => return Err(HttpError::Malformed("chunk size")),
            }
        }
    }

    /// Reads the trailers, which are not passed on, to the end of the body.
    async fn skip_trailers(&mut self) -> Result<()> {
        let mut skipped = 0;
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                if end > 0 && !is_header_line(&self.buffer[..end]) {
                    return Err(HttpError::Malformed("trailer"));
                }
                self.buffer.advance(end + 2);
                skipped += end + 2;
                if end == 0 {
                    return Ok(());
                }
                if skipped > TRAILERS_LIMIT {
                    return Err(HttpError::Malformed("trailers are too long"));
                }
                continue;
            }
            if self.buffer.len() > LINE_LIMIT {
                return Err(HttpError::Malformed("trailer"));
            }
            self.fill_body().await?;
        }
    }
}

/// Whether a line, without its end, is a header.
fn is_header_line(line: &[u8]) -> bool {
    let section = [line, b"\r\n\r\n"].concat();
    let mut header = [httparse::EMPTY_HEADER];
    let parsed = httparse::parse_headers(&section, &mut header);
    parsed.is_ok_and(|status| {
        matches!(status, httparse::Status::Complete((length, _)) if length == section.len())
    })
}
