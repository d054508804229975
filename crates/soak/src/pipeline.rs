//! Callers that send several reads on one connection before the first has been answered.

use std::net::SocketAddr;
use std::time::Instant;

use async_std::io::prelude::BufReadExt as _;
use async_std::io::{BufReader, ReadExt as _, WriteExt as _};
use async_std::net::TcpStream;

use crate::callers::{CALLER_TIMEOUT, RequestKind, RequestResult};
use crate::tenants;

/// Sends reads with the given identifiers at once; an answer counts for the request whose turn it is.
pub(crate) async fn send_pipelined(
    host: usize,
    address: SocketAddr,
    ids: Vec<String>,
    key: u16,
) -> Vec<RequestResult> {
    let sent_at = Instant::now();
    let mut results: Vec<RequestResult> = ids
        .into_iter()
        .map(|id| RequestResult::unanswered(id, RequestKind::Read, host, sent_at))
        .collect();
    // Requests that are not answered in time stay unanswered.
    let _ = async_std::future::timeout(CALLER_TIMEOUT, exchange(address, &mut results, key)).await;
    results
}

async fn exchange(address: SocketAddr, results: &mut [RequestResult], key: u16) -> Option<()> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let requests = results.iter().map(|request| {
        format!(
            "GET /read/x HTTP/1.1\r\nHost: shop\r\nRequest-Id: {}\r\nRequest-Deadline-Ms: {}\r\n\
             Shard-Key: {key}\r\nAuthorization: Bearer {}\r\n\r\n",
            request.id,
            CALLER_TIMEOUT.as_millis(),
            tenants::key(request.kind, &request.id),
        )
    });
    let text: String = requests.collect();
    stream.write_all(text.as_bytes()).await.ok()?;
    let mut reader = BufReader::new(stream);
    for request in results {
        let answer = read_answer(&mut reader, request).await;
        request.ended_at = Instant::now();
        answer?;
    }
    Some(())
}

/// Reads one response; `None` if the connection has ended or nothing more is answered on it.
async fn read_answer(reader: &mut BufReader<TcpStream>, request: &mut RequestResult) -> Option<()> {
    let mut line = String::new();
    reader.read_line(&mut line).await.ok()?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let (mut length, mut is_closing, mut is_signed) = (0, false, false);
    loop {
        line.clear();
        reader.read_line(&mut line).await.ok()?;
        let Some((name, value)) = line.split_once(':') else {
            break;
        };
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.trim().parse().ok()?,
            "connection" => is_closing = value.trim().eq_ignore_ascii_case("close"),
            "upstream-signature" => is_signed = true,
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).await.ok()?;
    request.answer = Some((status, String::from_utf8(body).ok()?));
    request.is_signed = is_signed;
    (!is_closing).then_some(())
}
