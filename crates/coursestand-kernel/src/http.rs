//! An HTTP server with graceful shutdown.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use poem::listener::{Acceptor, TcpAcceptor};
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::connections::{CallerConnections, TrackingAcceptor};

/// Why a server could not start.
#[derive(Debug, Snafu)]
pub enum HttpError {
    /// The listener could not be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
}

/// A running HTTP server.
pub struct HttpServer {
    address: SocketAddr,
    shutdown: watch::Sender<bool>,
    task: Mutex<Option<JoinHandle<()>>>,
}

impl HttpServer {
    /// Listens on `address` and serves `endpoint`. After [`HttpServer::drain`] is called,
    /// requests in flight have up to `grace` to finish.
    pub async fn start<E>(
        address: SocketAddr,
        endpoint: E,
        grace: Duration,
    ) -> Result<HttpServer, HttpError>
    where
        E: poem::IntoEndpoint,
        E::Endpoint: 'static,
    {
        let listener = TcpListener::bind(address)
            .await
            .context(ListenSnafu { address })?;
        let address = listener.local_addr().context(ListenSnafu { address })?;
        let acceptor = TcpAcceptor::from_tokio(listener).context(ListenSnafu { address })?;
        Ok(HttpServer::serve(address, acceptor, endpoint, grace))
    }

    /// Like [`Self::start`], and enters each open connection into `connections`.
    pub async fn start_tracking<E>(
        address: SocketAddr,
        endpoint: E,
        grace: Duration,
        connections: Arc<CallerConnections>,
    ) -> Result<HttpServer, HttpError>
    where
        E: poem::IntoEndpoint,
        E::Endpoint: 'static,
    {
        let listener = TcpListener::bind(address)
            .await
            .context(ListenSnafu { address })?;
        let address = listener.local_addr().context(ListenSnafu { address })?;
        let acceptor =
            TrackingAcceptor::new(listener, connections).context(ListenSnafu { address })?;
        Ok(HttpServer::serve(address, acceptor, endpoint, grace))
    }

    fn serve<A, E>(address: SocketAddr, acceptor: A, endpoint: E, grace: Duration) -> HttpServer
    where
        A: Acceptor + 'static,
        E: poem::IntoEndpoint,
        E::Endpoint: 'static,
    {
        let (shutdown, signal) = watch::channel(false);
        let endpoint = endpoint.into_endpoint();
        let task = tokio::spawn(serve(acceptor, endpoint, signal, grace));
        HttpServer {
            address,
            shutdown,
            task: Mutex::new(Some(task)),
        }
    }

    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and waits for requests in flight.
    pub async fn drain(&self) {
        self.shutdown.send_replace(true);
        let task = self.take_task();
        if let Some(task) = task {
            // If the server task panicked, no request is in flight.
            let _ = task.await;
        }
    }

    /// Aborts the server and every request in flight.
    pub fn abort(&self) {
        if let Some(task) = self.take_task() {
            task.abort();
        }
    }

    fn take_task(&self) -> Option<JoinHandle<()>> {
        self.task
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .take()
    }
}

async fn serve<A, E>(acceptor: A, endpoint: E, mut signal: watch::Receiver<bool>, grace: Duration)
where
    A: Acceptor + 'static,
    E: poem::Endpoint + 'static,
{
    let stop = async move {
        // The sender is dropped only with the server itself.
        let _ = signal.wait_for(|stop| *stop).await;
    };
    let result = poem::Server::new_with_acceptor(acceptor)
        .run_with_graceful_shutdown(endpoint, stop, Some(grace))
        .await;
    if let Err(error) = result {
        log::error!(target: "kernel", "HTTP server failed: {error}");
    }
}
