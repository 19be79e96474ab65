//! Reads bodies that are short enough to be held whole.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Bodies up to this many bytes are held whole: a request so that it can be sent
/// again, an answer so that a broken one never looks complete.
pub(crate) const HELD_BYTES: usize = 1024 * 1024;

/// What was read of a body.
pub(crate) enum Collected {
    /// All of it.
    Whole(Bytes),
    /// What has come so far is longer than may be held.
    Part(Bytes, Incoming),
}

/// Reads a body up to its end, or until it is longer than `longest` bytes.
pub(crate) async fn collect(mut body: Incoming, longest: usize) -> Result<Collected, hyper::Error> {
    let mut first: Option<Bytes> = None;
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        // Most bodies come in one piece, which need not be copied.
        match first.take() {
            None if whole.is_empty() => first = Some(data),
            None => whole.extend_from_slice(&data),
            Some(earlier) => {
                whole.extend_from_slice(&earlier);
                whole.extend_from_slice(&data);
            }
        }
        let length = first.as_ref().map_or(whole.len(), Bytes::len);
        if length > longest {
            let part = first.unwrap_or_else(|| whole.freeze());
            return Ok(Collected::Part(part, body));
        }
    }
    Ok(Collected::Whole(first.unwrap_or_else(|| whole.freeze())))
}
