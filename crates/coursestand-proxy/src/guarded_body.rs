//! Bodies that keep a connection from counting as idle.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::answer::AnswerBody;
use crate::idle_timer::{BusyGuard, Reception};
use crate::memory_budget::MemoryPermit;

/// The body of a caller's request, which is in progress until this is dropped.
pub struct CallerBody {
    body: Incoming,
    busy: BusyGuard,
    /// What is kept of the head.
    memory: Option<MemoryPermit>,
}

impl CallerBody {
    pub(crate) fn new(body: Incoming, busy: BusyGuard, memory: Option<MemoryPermit>) -> CallerBody {
        CallerBody { body, busy, memory }
    }

    /// Begins to receive the body.
    pub(crate) fn begin_reception(&self) -> Reception {
        self.busy.begin_reception()
    }

    /// Replaces the permit for what is kept of the head.
    pub(crate) fn with_memory(self, memory: Option<MemoryPermit>) -> CallerBody {
        CallerBody { memory, ..self }
    }

    /// Takes the permit for what is kept of the head, if it is more than usual.
    pub(crate) fn take_memory(&mut self) -> Option<MemoryPermit> {
        self.memory.take()
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The body of an answer that is written to a caller, whose request is in progress until this is
/// dropped.
pub(crate) struct WrittenBody {
    body: AnswerBody,
    busy: BusyGuard,
}

impl WrittenBody {
    pub(crate) fn new(body: AnswerBody, busy: BusyGuard) -> WrittenBody {
        WrittenBody { body, busy }
    }
}

impl Body for WrittenBody {
    type Data = <AnswerBody as Body>::Data;
    type Error = <AnswerBody as Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        if matches!(frame, Poll::Ready(Some(Err(_)))) {
            self.busy.note_broken_answer();
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
