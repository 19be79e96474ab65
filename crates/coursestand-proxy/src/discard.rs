//! Reads on after a refusal, so that it reaches its caller.
//!
//! A connection that is closed with bytes unread is reset, and a caller that still
//! sends its body then sees a failure that promises nothing, instead of the refusal,
//! which says that it may come back. Bodies up to [`HELD_BYTES`] are read to their end
//! and their connections stay usable.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::timeout;

use crate::collect::HELD_BYTES;

/// Longest time for which a refused body is read: at 2 Mbit/s a link brings a quarter
/// of the longest such body meanwhile, and most are far shorter.
const READING_TIME: Duration = Duration::from_secs(1);

/// Reads the body of a refused request beside its answer, and forgets it.
pub(crate) fn discard(body: Incoming) {
    if !body.is_end_stream() {
        tokio::spawn(timeout(READING_TIME, read_on(body)));
    }
}

async fn read_on(mut body: Incoming) {
    let mut read: usize = 0;
    while read <= HELD_BYTES {
        let Some(Ok(frame)) = body.frame().await else {
            return;
        };
        read += frame.data_ref().map_or(0, bytes::Bytes::len);
    }
}
