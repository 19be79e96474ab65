//! Bodies that keep a connection from counting as idle.

use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::answer::AnswerBody;
use crate::idle_timer::BusyGuard;
use crate::memory_budget::MemoryPermit;

/// A body that is part of a request in progress until it is dropped.
pub struct GuardedBody<B> {
    body: B,
    busy: BusyGuard,
    /// Whether it is the body of an answer.
    is_answer: bool,
    /// What is kept of the head.
    memory: Option<MemoryPermit>,
}

/// The body of a caller's request.
pub type CallerBody = GuardedBody<Incoming>;
/// The body of an answer that is written to a caller.
pub(crate) type WrittenBody = GuardedBody<AnswerBody>;

impl<B> GuardedBody<B> {
    /// Guards the body of a request.
    pub(crate) fn of_request(body: B, busy: BusyGuard) -> GuardedBody<B> {
        GuardedBody {
            body,
            busy,
            is_answer: false,
            memory: None,
        }
    }

    /// Guards the body of an answer.
    pub(crate) fn of_answer(body: B, busy: BusyGuard) -> GuardedBody<B> {
        GuardedBody {
            is_answer: true,
            ..GuardedBody::of_request(body, busy)
        }
    }

    /// Adds the permit for what is kept of the head.
    pub(crate) fn with_memory(self, memory: Option<MemoryPermit>) -> GuardedBody<B> {
        GuardedBody { memory, ..self }
    }

    /// Takes the permit for what is kept of the head, if it is more than usual.
    pub(crate) fn take_memory(&mut self) -> Option<MemoryPermit> {
        self.memory.take()
    }
}

impl<B: Body + Unpin> Body for GuardedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        if self.is_answer && matches!(frame, Poll::Ready(Some(Err(_)))) {
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
