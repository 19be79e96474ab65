//! Reads bodies that are short enough to be buffered.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame};

use crate::memory_budget::{FREE_BYTES, MemoryPermit};

/// Bodies of up to this many bytes are buffered: a request so that it can be sent again, an
/// answer so that an incomplete one never looks complete.
pub(crate) const MAX_BUFFERED_BYTES: usize = 1024 * 1024;

/// Result of reading a body.
pub(crate) enum Collected {
    /// The complete body.
    Complete(Bytes),
    /// The part that has been read is longer than may be buffered.
    Partial(Bytes),
    /// There is no memory for more than the parts that have been read.
    NoRoom([Bytes; 2]),
}

/// What is next in a body.
enum Next {
    Frame(Result<Frame<Bytes>, hyper::Error>),
    End,
    /// The body is to be given up.
    Evicted,
}

/// Bytes with the permit to keep them.
struct Charged<T> {
    data: T,
    _permit: MemoryPermit,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for Charged<T> {
    fn as_ref(&self) -> &[u8] {
        self.data.as_ref()
    }
}

/// Returns bytes that are charged until the last copy is dropped.
pub(crate) fn charged<T>(data: T, permit: MemoryPermit) -> Bytes
where
    T: AsRef<[u8]> + Send + 'static,
{
    Bytes::from_owner(Charged {
        data,
        _permit: permit,
    })
}

/// What has been read of a body.
struct Collector {
    /// The only frame so far. Most bodies arrive in a single one, which need not be copied.
    first: Option<Bytes>,
    whole: Vec<u8>,
    max_bytes: usize,
    permit: MemoryPermit,
    /// Bytes that are charged besides `whole`, among them those of the reader's buffers.
    other_bytes: usize,
    reader_bytes: usize,
}

impl Collector {
    fn len(&self) -> usize {
        self.first.as_ref().map_or(self.whole.len(), Bytes::len)
    }

    /// Adds a frame, or returns it if there is no room for it.
    fn add(&mut self, data: Bytes) -> Result<(), Bytes> {
        if self.first.is_none() && self.whole.is_empty() && data.len() <= FREE_BYTES {
            self.first = Some(data);
            return Ok(());
        }
        if !self.reserve(self.len() + data.len()) {
            return Err(data);
        }
        if let Some(first) = self.first.take() {
            self.whole.extend_from_slice(&first);
        }
        self.whole.extend_from_slice(&data);
        Ok(())
    }

    /// Grows the buffer to hold `bytes`, in steps so that its capacity is known.
    fn reserve(&mut self, bytes: usize) -> bool {
        if bytes <= self.whole.capacity() {
            return true;
        }
        let step = (2 * self.whole.capacity()).clamp(FREE_BYTES, self.max_bytes.max(FREE_BYTES));
        let capacity = step.max(bytes);
        let is_free = capacity <= FREE_BYTES && !self.permit.is_reception();
        if !is_free && self.permit.resize(self.other_bytes + capacity).is_err() {
            return false;
        }
        self.whole.reserve_exact(capacity - self.whole.len());
        true
    }

    /// Polls for the next frame, unless the body has been evicted.
    fn poll_frame<B>(&self, body: &mut B, context: &mut Context<'_>) -> Poll<Next>
    where
        B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
    {
        if self.permit.poll_evicted(context).is_ready() {
            return Poll::Ready(Next::Evicted);
        }
        Pin::new(body)
            .poll_frame(context)
            .map(|frame| frame.map_or(Next::End, Next::Frame))
    }

    /// Returns what was read, charged to the permit if anything is. Fails if the body has been
    /// evicted.
    fn finish(mut self) -> Option<Bytes> {
        if self.permit.bytes() == 0 {
            return Some(self.first.unwrap_or_else(|| Bytes::from(self.whole)));
        }
        self.permit.keep().ok()?;
        if self.whole.capacity() > 0 {
            let kept = self.permit.bytes() - self.reader_bytes;
            self.permit.resize(kept).ok()?;
        }
        Some(match self.first {
            Some(first) => charged(first, self.permit),
            None => charged(self.whole, self.permit),
        })
    }
}

/// Reads a body up to its end, or until it is longer than `max_bytes` bytes or there is no memory
/// for more. What is read is charged to `permit`, and `reader_bytes` more for the buffers of
/// its reader while a body that isn't short is read.
pub(crate) async fn collect<B>(
    body: &mut B,
    max_bytes: usize,
    permit: MemoryPermit,
    reader_bytes: usize,
) -> Result<Collected, hyper::Error>
where
    B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    let mut collector = Collector {
        first: None,
        whole: Vec::new(),
        max_bytes,
        other_bytes: permit.bytes() + reader_bytes,
        reader_bytes,
        permit,
    };
    let evicted = || Collected::NoRoom([Bytes::new(), Bytes::new()]);
    loop {
        let polled = poll_fn(|context| collector.poll_frame(body, context)).await;
        let frame = match polled {
            Next::Evicted => return Ok(evicted()),
            Next::End => break,
            Next::Frame(frame) => frame?,
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if let Err(last) = collector.add(data) {
            let first = collector.finish().unwrap_or_default();
            return Ok(Collected::NoRoom([first, last]));
        }
        if collector.len() > max_bytes {
            return Ok(collector.finish().map_or_else(evicted, Collected::Partial));
        }
    }
    Ok(collector.finish().map_or_else(evicted, Collected::Complete))
}
