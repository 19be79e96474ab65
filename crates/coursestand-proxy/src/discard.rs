//! Drains the body of a refused request, so that the refusal reaches the caller.
//!
//! Closing a connection with unread bytes resets it. A caller that is still sending its body
//! would then see a connection error, which says nothing about whether the request ran,
//! instead of the refusal, which says when to retry. Bodies of up to [`MAX_BUFFERED_BYTES`]
//! are read to the end, and their connections stay usable.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::timeout;

use crate::collect::MAX_BUFFERED_BYTES;
use crate::guarded_body::CallerBody;

/// Longest time for which a refused body is read: a link of 2 Mbit/s transfers a quarter of
/// the longest such body in this time, and most bodies are far shorter.
const MAX_READ_TIME: Duration = Duration::from_secs(1);

/// Reads the body of a refused request in a background task and discards it.
pub(crate) fn discard(mut body: CallerBody) {
    drop(body.take_memory());
    if !body.is_end_stream() {
        tokio::spawn(timeout(MAX_READ_TIME, drain(body)));
    }
}

async fn drain(mut body: CallerBody) {
    let mut read: usize = 0;
    while read <= MAX_BUFFERED_BYTES {
        let Some(Ok(frame)) = body.frame().await else {
            return;
        };
        read += frame.data_ref().map_or(0, bytes::Bytes::len);
    }
}
