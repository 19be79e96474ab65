//! The client side of an exchange.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use nng::options::protocol::reqrep::ResendTime;
use nng::options::{Options, ReconnectMaxTime, ReconnectMinTime, RecvMaxSize};
use nng::{Aio, AioResult, Context, Message, Protocol, Socket};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use tokio::sync::oneshot;

use crate::close::close_in_background;
use crate::frame::{MAX_FRAME_BYTES, MessagingSnafu, TransportError, decode, encode};

/// Time after which the library resends a request by itself. Longer than any deadline,
/// because only the caller can decide whether a request may be sent again.
const RESEND_TIME: Duration = Duration::from_secs(24 * 3600);
const RECONNECT_MIN: Duration = Duration::from_millis(50);
const RECONNECT_MAX: Duration = Duration::from_millis(500);

type Answer = Result<Message, nng::Error>;
type PendingReply = Arc<Mutex<Option<oneshot::Sender<Answer>>>>;

/// A socket context with its asynchronous operation; serves one exchange at a time.
struct RequestSlot {
    context: Context,
    operation: Aio,
    pending_reply: PendingReply,
}

/// Sends requests of one type to one address.
pub struct Client<Request, Reply> {
    address: SocketAddr,
    socket: Option<Socket>,
    idle: Mutex<Vec<RequestSlot>>,
    types: PhantomData<fn(Request) -> Reply>,
}

impl<Request: Serialize, Reply: DeserializeOwned> Client<Request, Reply> {
    /// Creates a client for `address`; it connects and reconnects in the background.
    pub fn new(address: SocketAddr) -> Result<Self, TransportError> {
        let socket = connect(address).context(MessagingSnafu { address })?;
        Ok(Client {
            address,
            socket: Some(socket),
            idle: Mutex::default(),
            types: PhantomData,
        })
    }

    /// Returns the server's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and waits for its reply. After an error the request may or may not
    /// have been processed.
    pub async fn exchange(
        &self,
        request: &Request,
        deadline: Duration,
    ) -> Result<Reply, TransportError> {
        let frame = encode(request)?;
        let address = self.address;
        let slot = self.acquire_slot()?;
        let (sender, answer) = oneshot::channel();
        *locked(&slot.pending_reply) = Some(sender);
        slot.context
            .send(&slot.operation, Message::from(frame.as_slice()))
            .map_err(|(_, source)| source)
            .context(MessagingSnafu { address })?;
        let deadline_error = TransportError::Deadline {
            address,
            deadline_ms: deadline.as_millis(),
        };
        // After a time-out the slot is dropped and its context closed, so that a late
        // reply is never matched to another request.
        let Ok(Ok(answer)) = tokio::time::timeout(deadline, answer).await else {
            return Err(deadline_error);
        };
        let message = answer.context(MessagingSnafu { address })?;
        locked(&self.idle).push(slot);
        decode(message.as_slice())
    }

    fn acquire_slot(&self) -> Result<RequestSlot, TransportError> {
        if let Some(slot) = locked(&self.idle).pop() {
            return Ok(slot);
        }
        let address = self.address;
        let Some(socket) = &self.socket else {
            let source = nng::Error::Closed;
            return Err(TransportError::Messaging { address, source });
        };
        open_slot(socket).context(MessagingSnafu { address })
    }
}

impl<Request, Reply> Drop for Client<Request, Reply> {
    fn drop(&mut self) {
        let slots = std::mem::take(&mut *locked(&self.idle));
        let socket = self.socket.take();
        close_in_background(move || {
            drop(slots);
            drop(socket);
        });
    }
}

fn connect(address: SocketAddr) -> Result<Socket, nng::Error> {
    let socket = Socket::new(Protocol::Req0)?;
    socket.set_opt::<ResendTime>(Some(RESEND_TIME))?;
    socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN))?;
    socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX))?;
    socket.set_opt::<RecvMaxSize>(MAX_FRAME_BYTES)?;
    socket.dial_async(&format!("tcp://{address}"))?;
    Ok(socket)
}

fn open_slot(socket: &Socket) -> Result<RequestSlot, nng::Error> {
    let context = Context::new(socket)?;
    let pending_reply = PendingReply::default();
    let pending = Arc::clone(&pending_reply);
    let deliver = move |answer: Answer| {
        if let Some(sender) = locked(&pending).take() {
            // The receiver is dropped if the deadline has passed.
            let _ = sender.send(answer);
        }
    };
    let for_callback = context.clone();
    let operation = Aio::new(move |operation, result| match result {
        AioResult::Send(Ok(())) => {
            if let Err(error) = for_callback.recv(&operation) {
                deliver(Err(error));
            }
        }
        AioResult::Send(Err((_, error))) => deliver(Err(error)),
        AioResult::Recv(answer) => deliver(answer),
        AioResult::Sleep(_) => {}
    })?;
    Ok(RequestSlot {
        context,
        operation,
        pending_reply,
    })
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
