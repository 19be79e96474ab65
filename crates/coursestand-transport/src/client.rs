//! The asking side of an exchange.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use nng::options::protocol::reqrep::ResendTime;
use nng::options::{Options, ReconnectMaxTime, ReconnectMinTime, RecvMaxSize};
use nng::{Aio, AioResult, Context, Message, Protocol, Socket};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use tokio::sync::oneshot;

use crate::frame::{MAX_FRAME_BYTES, MessagingSnafu, TransportError, decode, encode};

/// The library would resend a request by itself after this time; longer than any
/// deadline, because only the caller knows whether a request may be sent again.
const NEVER_RESEND: Duration = Duration::from_secs(24 * 3600);
const RECONNECT_MIN: Duration = Duration::from_millis(50);
const RECONNECT_MAX: Duration = Duration::from_millis(500);

/// Sends requests of one type to one address.
pub struct Client<Request, Reply> {
    address: SocketAddr,
    socket: Socket,
    types: PhantomData<fn(Request) -> Reply>,
}

type Answer = Result<Message, nng::Error>;

impl<Request: Serialize, Reply: DeserializeOwned> Client<Request, Reply> {
    /// A client for `address`; it connects in the background and reconnects.
    pub fn new(address: SocketAddr) -> Result<Self, TransportError> {
        let context = MessagingSnafu { address };
        let socket = Socket::new(Protocol::Req0).context(context)?;
        socket
            .set_opt::<ResendTime>(Some(NEVER_RESEND))
            .context(context)?;
        socket
            .set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN))
            .context(context)?;
        socket
            .set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX))
            .context(context)?;
        socket
            .set_opt::<RecvMaxSize>(MAX_FRAME_BYTES)
            .context(context)?;
        socket
            .dial_async(&format!("tcp://{address}"))
            .context(context)?;
        Ok(Client {
            address,
            socket,
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
        let context = Context::new(&self.socket).context(MessagingSnafu {
            address: self.address,
        })?;
        let (aio, answer) = self.receive_into(&context)?;
        context
            .send(&aio, Message::from(frame.as_slice()))
            .map_err(|(_, source)| source)
            .context(MessagingSnafu {
                address: self.address,
            })?;
        let expired = || TransportError::Deadline {
            address: self.address,
            deadline_ms: deadline.as_millis(),
        };
        let result = tokio::time::timeout(deadline, answer).await;
        // Closing the context cancels what is outstanding, so that a late reply
        // is dropped and never taken for that of another request.
        context.close();
        let message = result
            .map_err(|_| expired())?
            .map_err(|_| expired())?
            .context(MessagingSnafu {
                address: self.address,
            })?;
        decode(message.as_slice())
    }

    fn receive_into(
        &self,
        context: &Context,
    ) -> Result<(Aio, oneshot::Receiver<Answer>), TransportError> {
        let (sender, receiver) = oneshot::channel();
        let sender = Mutex::new(Some(sender));
        let context = context.clone();
        let deliver = move |answer: Answer| {
            let sender = sender
                .lock()
                .unwrap_or_else(std::sync::PoisonError::into_inner)
                .take();
            if let Some(sender) = sender {
                // The asker may have given up.
                let _ = sender.send(answer);
            }
        };
        let aio = Aio::new(move |aio, result| match result {
            AioResult::Send(Ok(())) => {
                if let Err(error) = context.recv(&aio) {
                    deliver(Err(error));
                }
            }
            AioResult::Send(Err((_, error))) => deliver(Err(error)),
            AioResult::Recv(answer) => deliver(answer),
            AioResult::Sleep(_) => {}
        })
        .context(MessagingSnafu {
            address: self.address,
        })?;
        Ok((aio, receiver))
    }
}
