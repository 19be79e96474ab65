//! The messages of callers that do not behave.

use std::time::Duration;

use crate::backend::LARGE;
use crate::crowd::Message;
use crate::system::MAX_HEADER_BYTES;

const KIB: usize = 1024;
const MIB: usize = 1024 * 1024;
/// Far over the limit of the catalog, and less than the bound of the reader.
const LONG_HEAD_BYTES: usize = 250_000;

/// Returns the start of a head on the route without its end.
fn open_head(method: &str, path: &str) -> String {
    format!(
        "{method} /a/{path} HTTP/1.1\r\nhost: h.example\r\nx-request-id: c\r\nx-object-key: k\r\n\
         x-deadline-ms: 60000\r\n"
    )
}

/// Returns the start of a head for an interface of the system without its end.
fn open_interface_head(method: &str, path: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\nhost: h.example\r\n")
}

/// Returns a complete head of a chunked body.
fn chunked(open_head: String) -> String {
    format!("{open_head}transfer-encoding: chunked\r\n\r\n")
}

/// Returns a chunk with its frame.
fn chunk(bytes: usize) -> Vec<u8> {
    let mut chunk = format!("{bytes:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + bytes, b'x');
    chunk.extend_from_slice(b"\r\n");
    chunk
}

fn filler_line(bytes: usize) -> String {
    format!("x-filler: {}\r\n", "x".repeat(bytes))
}

/// A head without end.
pub fn endless_head() -> Message {
    Message::once(open_head("GET", "x")).then_repeat(filler_line(KIB), 4 * MIB)
}

/// A long head without end, whose last lines arrive one after another.
pub fn endless_slow_head() -> Message {
    let Message { start, .. } = stopped(open_head("GET", "x"), LONG_HEAD_BYTES);
    slowly(start, filler_line(KIB / 8))
}

/// Many empty lines in place of a request, the last of which arrive one after another.
pub fn slow_empty_lines() -> Message {
    let start = "\r\n".repeat(LONG_HEAD_BYTES / 2).into_bytes();
    slowly(start, "\r\n".to_owned())
}

/// Sends `start`, then one line after another.
fn slowly(start: impl Into<Vec<u8>>, line: String) -> Message {
    const LINES: usize = 20;
    let bytes = LINES * line.len();
    let message = Message::once(start).then_repeat(line, bytes);
    Message {
        pause: Duration::from_millis(500),
        ..message
    }
}

/// A head of `bytes` bytes that lacks its end.
fn stopped(open_head: String, bytes: usize) -> Message {
    let mut head = format!("{open_head}x-filler: ").into_bytes();
    head.resize(bytes, b'x');
    Message::once(head)
}

/// A head that is far over the limit and just under the bound of the reader, and stops.
pub fn long_stopped_head() -> Message {
    stopped(open_head("GET", "x"), LONG_HEAD_BYTES)
}

/// A head that is just under the limit and stops.
pub fn stopped_head_under_the_limit() -> Message {
    stopped(open_head("GET", "x"), MAX_HEADER_BYTES - 100)
}

/// A head that is just over the limit and stops.
pub fn stopped_head_over_the_limit() -> Message {
    stopped(open_head("GET", "x"), MAX_HEADER_BYTES + 100)
}

/// A long head at an interface of the system that stops.
pub fn stopped_interface_head(method: &str, path: &str) -> Message {
    stopped(open_interface_head(method, path), LONG_HEAD_BYTES)
}

/// Empty lines in place of a request.
pub fn empty_lines() -> Message {
    Message::default().then_repeat("\r\n".repeat(2 * KIB), 4 * MIB)
}

/// A body in chunks of 256 KiB that stops before its end.
pub fn body_in_large_chunks() -> Message {
    Message::once(chunked(open_head("POST", "x"))).then_repeat(chunk(256 * KIB), 4 * MIB)
}

/// A body in small chunks that stops before its end.
pub fn body_in_small_chunks() -> Message {
    small_chunks(open_head("POST", "x"), 256 * KIB)
}

/// A body of `bytes` bytes in small chunks, and then without end in chunks of one byte.
fn small_chunks(open_head: String, bytes: usize) -> Message {
    let mut start = chunked(open_head).into_bytes();
    start.extend(small_chunks_of(bytes));
    Message::once(start).then_repeat(chunk(1).repeat(KIB), 6 * MIB)
}

/// Returns `bytes` bytes in small chunks.
fn small_chunks_of(bytes: usize) -> Vec<u8> {
    const CHUNK_BYTES: usize = 16;
    chunk(CHUNK_BYTES).repeat(bytes / CHUNK_BYTES)
}

/// A body at an interface of the system in large chunks that stops before its end.
pub fn interface_body_in_large_chunks(method: &str, path: &str) -> Message {
    let head = chunked(open_interface_head(method, path));
    Message::once(head).then_repeat(chunk(256 * KIB), 4 * MIB)
}

/// A body at an interface of the system in small chunks that stops before its end.
pub fn interface_body_in_small_chunks(method: &str, path: &str) -> Message {
    small_chunks(open_interface_head(method, path), 256 * KIB)
}

/// A short body at an interface of the system in small chunks that stops before its end.
pub fn short_interface_body_in_small_chunks(method: &str, path: &str) -> Message {
    let mut start = chunked(open_interface_head(method, path)).into_bytes();
    start.extend(small_chunks_of(60 * KIB));
    Message::once(start)
}

/// A body of an announced length that lacks its last bytes.
pub fn body_that_stops_short(method: &str) -> Message {
    const LENGTH: usize = 4 * MIB;
    const MISSING: usize = 600;
    let head = open_head(method, "x");
    Message::once(format!("{head}content-length: {LENGTH}\r\n\r\n"))
        .then_repeat(vec![b'x'; KIB], LENGTH - MISSING)
}

/// One header line after another, each in time.
pub fn slow_head() -> Message {
    slowly(open_head("GET", "x"), filler_line(KIB / 2))
}

/// Requests in a row.
pub fn pipelined_requests() -> Message {
    let request = format!("{}\r\n", open_head("GET", "x"));
    Message::default().then_repeat(request.repeat(16), 2 * MIB)
}

/// Trailers without end after a body.
pub fn endless_trailers() -> Message {
    let start = format!("{}1\r\nx\r\n0\r\n", chunked(open_head("POST", "x")));
    Message::once(start).then_repeat(filler_line(KIB), 4 * MIB)
}

/// An extension of a chunk without end.
pub fn endless_chunk_extension() -> Message {
    let start = format!("{}1;x=", chunked(open_head("POST", "x")));
    Message::once(start).then_repeat(vec![b'x'; KIB], 4 * MIB)
}

/// A request for a large answer.
pub fn request_for_a_large_answer() -> Message {
    Message::once(format!("{}\r\n", open_head("GET", LARGE)))
}

/// A long message between processes that stops: its length, then a part of it.
pub fn stopped_internal_message() -> Message {
    const ANNOUNCED: u32 = 63 * 1024 * 1024;
    Message::once(ANNOUNCED.to_be_bytes()).then_repeat(vec![0; KIB], MIB)
}

/// Nothing.
pub fn silence() -> Message {
    Message::default()
}
