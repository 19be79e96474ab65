//! The server side of an exchange.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use log::{debug, warn};
use nng::options::{Options, RecvMaxSize};
use nng::{Aio, AioResult, Context, Message, Protocol, Socket};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use tokio::runtime::Handle;

use crate::close::close_in_background;
use crate::frame::{MAX_FRAME_BYTES, MessagingSnafu, TransportError, decode, encode};

const LOG: &str = "transport";

/// Handles requests of one type.
pub trait Handler<Request, Reply>: Send + Sync + 'static {
    /// Handles a request and returns its reply.
    fn handle(&self, request: Request) -> impl Future<Output = Reply> + Send;
}

/// A listening socket that serves a fixed number of concurrent exchanges.
pub struct Server {
    address: SocketAddr,
    open: Mutex<Option<OpenSocket>>,
}

struct OpenSocket {
    socket: Socket,
    contexts: Vec<Arc<ExchangeContext>>,
    /// Kept because an operation is cancelled when its handle is dropped.
    operations: Vec<Aio>,
}

/// A context of the socket, which serves one exchange at a time.
///
/// Starting an operation and closing exclude each other: if a context and its socket are
/// closed while an operation is being started, the library accesses the socket after it has
/// been freed, and aborts the process.
struct ExchangeContext(Mutex<Option<Context>>);

impl ExchangeContext {
    fn open(socket: &Socket) -> Result<ExchangeContext, nng::Error> {
        let context = Context::new(socket)?;
        Ok(ExchangeContext(Mutex::new(Some(context))))
    }

    fn context(&self) -> MutexGuard<'_, Option<Context>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts to receive the next request.
    fn receive(&self, aio: &Aio) -> Result<(), nng::Error> {
        match &*self.context() {
            Some(context) => context.recv(aio),
            None => Err(nng::Error::Closed),
        }
    }

    /// Starts to send the reply to the latest request.
    fn send(&self, aio: &Aio, reply: Message) -> Result<(), nng::Error> {
        match &*self.context() {
            Some(context) => context.send(aio, reply).map_err(|(_, error)| error),
            None => Err(nng::Error::Closed),
        }
    }

    /// Closes the context, which aborts its operation. Operations that are started later fail.
    fn close(&self) {
        let context = self.context().take();
        if let Some(context) = context {
            context.close();
        }
    }
}

impl Server {
    /// Listens on `address` and serves up to `exchanges` concurrent requests with
    /// `handler`; further requests wait in the socket. Must be called within a tokio
    /// runtime.
    pub fn start<Request, Reply, H>(
        address: SocketAddr,
        exchanges: usize,
        handler: Arc<H>,
    ) -> Result<Server, TransportError>
    where
        Request: DeserializeOwned + Send + 'static,
        Reply: Serialize + Send + 'static,
        H: Handler<Request, Reply>,
    {
        let context = MessagingSnafu { address };
        let socket = Socket::new(Protocol::Rep0).context(context)?;
        socket
            .set_opt::<RecvMaxSize>(MAX_FRAME_BYTES)
            .context(context)?;
        let runtime = Handle::current();
        let started = (0..exchanges)
            .map(|_| start_exchange(&socket, Arc::clone(&handler), runtime.clone()))
            .collect::<Result<Vec<_>, nng::Error>>()
            .context(context)?;
        let (contexts, operations) = started.into_iter().unzip();
        socket
            .listen(&format!("tcp://{address}"))
            .context(context)?;
        let open = OpenSocket {
            socket,
            contexts,
            operations,
        };
        Ok(Server {
            address,
            open: Mutex::new(Some(open)),
        })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening; exchanges in progress get no reply.
    pub fn stop(&self) {
        let open = self
            .open
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        let Some(open) = open else {
            return;
        };
        close_in_background(move || {
            // Contexts first: closing the socket waits for open contexts.
            for context in &open.contexts {
                context.close();
            }
            open.socket.close();
            drop(open.operations);
        });
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

fn start_exchange<Request, Reply, H>(
    socket: &Socket,
    handler: Arc<H>,
    runtime: Handle,
) -> Result<(Arc<ExchangeContext>, Aio), nng::Error>
where
    Request: DeserializeOwned + Send + 'static,
    Reply: Serialize + Send + 'static,
    H: Handler<Request, Reply>,
{
    let context = Arc::new(ExchangeContext::open(socket)?);
    let for_callback = Arc::clone(&context);
    let aio = Aio::new(move |aio, result| match result {
        AioResult::Recv(Ok(message)) => {
            let handler = Arc::clone(&handler);
            let context = Arc::clone(&for_callback);
            runtime.spawn(async move { answer(handler, context, aio, message).await });
        }
        AioResult::Recv(Err(nng::Error::Closed))
        | AioResult::Send(Err((_, nng::Error::Closed))) => {}
        AioResult::Recv(Err(_)) | AioResult::Send(_) | AioResult::Sleep(_) => {
            receive_next(&for_callback, &aio);
        }
    })?;
    context.receive(&aio)?;
    Ok((context, aio))
}

async fn answer<Request, Reply, H>(
    handler: Arc<H>,
    context: Arc<ExchangeContext>,
    aio: Aio,
    message: Message,
) where
    Request: DeserializeOwned + Send + 'static,
    Reply: Serialize + Send + 'static,
    H: Handler<Request, Reply>,
{
    let request: Request = match decode(message.as_slice()) {
        Ok(request) => request,
        Err(error) => {
            // The client gets no reply and reports that its deadline has passed.
            warn!(target: LOG, "request can't be decoded: {error}");
            receive_next(&context, &aio);
            return;
        }
    };
    let reply = handler.handle(request).await;
    match encode(&reply) {
        Ok(frame) => {
            if let Err(error) = context.send(&aio, Message::from(frame.as_slice())) {
                debug!(target: LOG, "reply can't be sent: {error}");
            }
        }
        Err(error) => {
            warn!(target: LOG, "reply can't be encoded: {error}");
            receive_next(&context, &aio);
        }
    }
}

fn receive_next(context: &ExchangeContext, aio: &Aio) {
    if let Err(error) = context.receive(aio)
        && error != nng::Error::Closed
    {
        warn!(target: LOG, "exchange stopped, can't receive further requests: {error}");
    }
}
