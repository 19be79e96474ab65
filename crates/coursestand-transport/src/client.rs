//! The asking side of an exchange.

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

use crate::close::close_aside;
use crate::frame::{MAX_FRAME_BYTES, MessagingSnafu, TransportError, decode, encode};

/// The library would resend a request by itself after this time; longer than any
/// deadline, because only the caller knows whether a request may be sent again.
const NEVER_RESEND: Duration = Duration::from_secs(24 * 3600);
const RECONNECT_MIN: Duration = Duration::from_millis(50);
const RECONNECT_MAX: Duration = Duration::from_millis(500);

type Answer = Result<Message, nng::Error>;
type Waiting = Arc<Mutex<Option<oneshot::Sender<Answer>>>>;

/// A context of the socket with its operation; carries one exchange at a time.
struct Lane {
    context: Context,
    operation: Aio,
    waiting: Waiting,
}

/// Sends requests of one type to one address.
pub struct Client<Request, Reply> {
    address: SocketAddr,
    socket: Option<Socket>,
    idle: Mutex<Vec<Lane>>,
    types: PhantomData<fn(Request) -> Reply>,
}

impl<Request: Serialize, Reply: DeserializeOwned> Client<Request, Reply> {
    /// A client for `address`; it connects in the background and reconnects.
    pub fn new(address: SocketAddr) -> Result<Self, TransportError> {
        let socket = connect(address).context(MessagingSnafu { address })?;
        Ok(Client {
            address,
            socket: Some(socket),
            idle: Mutex::default(),
            types: PhantomData,
        })
    }

    /// The other side.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and waits for its reply. After an error the request may
    /// or may not have been taken.
    pub async fn exchange(
        &self,
        request: &Request,
        deadline: Duration,
    ) -> Result<Reply, TransportError> {
        let frame = encode(request)?;
        let address = self.address;
        let lane = self.take_lane()?;
        let (sender, answer) = oneshot::channel();
        *locked(&lane.waiting) = Some(sender);
        lane.context
            .send(&lane.operation, Message::from(frame.as_slice()))
            .map_err(|(_, source)| source)
            .context(MessagingSnafu { address })?;
        let expired = TransportError::Deadline {
            address,
            deadline_ms: deadline.as_millis(),
        };
        // A lane that still waits is dropped and closed, so that a late reply
        // is never taken for that of another request.
        let Ok(Ok(answer)) = tokio::time::timeout(deadline, answer).await else {
            return Err(expired);
        };
        let message = answer.context(MessagingSnafu { address })?;
        locked(&self.idle).push(lane);
        decode(message.as_slice())
    }

    fn take_lane(&self) -> Result<Lane, TransportError> {
        if let Some(lane) = locked(&self.idle).pop() {
            return Ok(lane);
        }
        let address = self.address;
        let Some(socket) = &self.socket else {
            let source = nng::Error::Closed;
            return Err(TransportError::Messaging { address, source });
        };
        new_lane(socket).context(MessagingSnafu { address })
    }
}

impl<Request, Reply> Drop for Client<Request, Reply> {
    fn drop(&mut self) {
        let lanes = std::mem::take(&mut *locked(&self.idle));
        let socket = self.socket.take();
        close_aside(move || {
            drop(lanes);
            drop(socket);
        });
    }
}

fn connect(address: SocketAddr) -> Result<Socket, nng::Error> {
    let socket = Socket::new(Protocol::Req0)?;
    socket.set_opt::<ResendTime>(Some(NEVER_RESEND))?;
    socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN))?;
    socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX))?;
    socket.set_opt::<RecvMaxSize>(MAX_FRAME_BYTES)?;
    socket.dial_async(&format!("tcp://{address}"))?;
    Ok(socket)
}

fn new_lane(socket: &Socket) -> Result<Lane, nng::Error> {
    let context = Context::new(socket)?;
    let waiting = Waiting::default();
    let to = Arc::clone(&waiting);
    let deliver = move |answer: Answer| {
        if let Some(sender) = locked(&to).take() {
            // The asker may have given up.
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
    Ok(Lane {
        context,
        operation,
        waiting,
    })
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
