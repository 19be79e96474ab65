//! Bodies of answers: buffered, or streamed while the request's slot is in use.

use bytes::Bytes;
use futures::StreamExt;
use tokio::time::Instant;

use crate::backend_edge::ByteStream;
use crate::slot_guard::SlotGuard;

/// Reads a whole body. Fails if it is incomplete or does not arrive before `deadline`.
pub(crate) async fn read_all(
    mut body: ByteStream,
    deadline: Instant,
) -> Result<Bytes, std::io::Error> {
    let read = async {
        let mut bytes = Vec::new();
        while let Some(chunk) = body.next().await {
            bytes.extend_from_slice(&chunk?);
        }
        Ok(Bytes::from(bytes))
    };
    tokio::time::timeout_at(deadline, read)
        .await
        .map_err(std::io::Error::other)?
}

/// Streams a body. The slot is freed when the body is complete, and counts as abandoned if
/// the caller disconnects or the body is truncated.
pub(crate) fn with_slot(body: ByteStream, slot: SlotGuard, deadline: Instant) -> ByteStream {
    let state = Some((body, slot));
    futures::stream::unfold(state, move |state| async move {
        let (mut body, slot) = state?;
        match tokio::time::timeout_at(deadline, body.next()).await {
            Ok(Some(Ok(chunk))) => Some((Ok(chunk), Some((body, slot)))),
            Ok(Some(Err(error))) => Some((Err(error), None)),
            Ok(None) => {
                slot.release();
                None
            }
            Err(expired) => Some((Err(std::io::Error::other(expired)), None)),
        }
    })
    .boxed()
}
