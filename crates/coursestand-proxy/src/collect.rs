//! Reads bodies that are short enough to be buffered.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;

/// Bodies of up to this many bytes are buffered: a request so that it can be sent again, an
/// answer so that an incomplete one never looks complete.
pub(crate) const MAX_BUFFERED_BYTES: usize = 1024 * 1024;

/// Result of reading a body.
pub(crate) enum Collected<B> {
    /// The complete body.
    Complete(Bytes),
    /// The part that has been read is longer than may be buffered; the remaining stream
    /// follows.
    Partial(Bytes, B),
}

/// Reads a body up to its end, or until it is longer than `max_bytes` bytes.
pub(crate) async fn collect<B>(mut body: B, max_bytes: usize) -> Result<Collected<B>, hyper::Error>
where
    B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    let mut first: Option<Bytes> = None;
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        // Most bodies arrive in a single frame, which need not be copied.
        match first.take() {
            None if whole.is_empty() => first = Some(data),
            None => whole.extend_from_slice(&data),
            Some(earlier) => {
                whole.extend_from_slice(&earlier);
                whole.extend_from_slice(&data);
            }
        }
        let length = first.as_ref().map_or(whole.len(), Bytes::len);
        if length > max_bytes {
            let partial = first.unwrap_or_else(|| whole.freeze());
            return Ok(Collected::Partial(partial, body));
        }
    }
    Ok(Collected::Complete(first.unwrap_or_else(|| whole.freeze())))
}
