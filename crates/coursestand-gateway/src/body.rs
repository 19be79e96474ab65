//! Bodies of answers: read whole, or passed on with the slot that they use.

use bytes::Bytes;
use futures::StreamExt;
use tokio::time::Instant;

use crate::backend_edge::ByteStream;
use crate::slot_guard::SlotGuard;

/// Reads a body that has to be there by `deadline`.
pub(crate) async fn read_whole(
    mut body: ByteStream,
    deadline: Instant,
) -> Result<Bytes, std::io::Error> {
    let read = async {
        let mut whole = Vec::new();
        while let Some(piece) = body.next().await {
            whole.extend_from_slice(&piece?);
        }
        Ok(Bytes::from(whole))
    };
    tokio::time::timeout_at(deadline, read)
        .await
        .map_err(std::io::Error::other)?
}

/// Passes a body on; the slot is freed when the body has ended whole, and counts
/// as abandoned when the caller goes away or the body breaks off.
pub(crate) fn guarded(body: ByteStream, slot: SlotGuard, deadline: Instant) -> ByteStream {
    let state = Some((body, slot));
    futures::stream::unfold(state, move |state| async move {
        let (mut body, slot) = state?;
        match tokio::time::timeout_at(deadline, body.next()).await {
            Ok(Some(Ok(piece))) => Some((Ok(piece), Some((body, slot)))),
            Ok(Some(Err(error))) => Some((Err(error), None)),
            Ok(None) => {
                slot.finish();
                None
            }
            Err(expired) => Some((Err(std::io::Error::other(expired)), None)),
        }
    })
    .boxed()
}
