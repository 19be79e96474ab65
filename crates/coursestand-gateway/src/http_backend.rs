//! Back ends over HTTP/1.1, with `reqwest`.

use std::sync::RwLock;
use std::time::Duration;

use async_trait::async_trait;
use coursestand_model::headers;
use futures::{StreamExt, TryStreamExt};
use snafu::{ResultExt, Snafu};

use crate::backend_edge::{
    BackendAnswer, BackendEdge, Dispatch, DispatchError, ProbeAnswer, RequestBody,
};

/// Maximum idle connections to one back end: as many as a back end has slots. Together
/// with those in use, a daemon has at most twice its slots in connections.
const MAX_IDLE_CONNECTIONS: usize = 4;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
const CANCEL_TIMEOUT: Duration = Duration::from_millis(1000);

/// The HTTP client could not be created.
#[derive(Debug, Snafu)]
#[snafu(display("the HTTP client for back ends can't be created: {source}"))]
pub struct HttpBackendError {
    source: reqwest::Error,
}

/// Back ends reached over HTTP.
pub struct HttpBackends {
    client: RwLock<reqwest::Client>,
}

impl HttpBackends {
    /// Creates a client without connections.
    pub fn new() -> Result<HttpBackends, HttpBackendError> {
        Ok(HttpBackends {
            client: RwLock::new(new_client().context(HttpBackendSnafu)?),
        })
    }

    fn client(&self) -> reqwest::Client {
        self.client
            .read()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .clone()
    }

    /// Drops all idle connections. Called after an answer to another request arrived on one
    /// of them, since the others may be out of sync as well.
    fn drop_connections(&self) {
        if let Ok(client) = new_client() {
            *self
                .client
                .write()
                .unwrap_or_else(std::sync::PoisonError::into_inner) = client;
        }
    }
}

fn new_client() -> Result<reqwest::Client, reqwest::Error> {
    reqwest::Client::builder()
        .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
        .connect_timeout(CONNECT_TIMEOUT)
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .no_proxy()
        .tcp_nodelay(true)
        .build()
}

#[async_trait]
impl BackendEdge for HttpBackends {
    async fn dispatch(&self, dispatch: Dispatch) -> Result<BackendAnswer, DispatchError> {
        let url = format!("http://{}{}", dispatch.address, dispatch.path);
        let body = match dispatch.body {
            RequestBody::Buffered(bytes) => reqwest::Body::from(bytes),
            RequestBody::Streamed(stream) => reqwest::Body::wrap_stream(stream),
        };
        let sent = self
            .client()
            .request(dispatch.method, url)
            .headers(dispatch.headers)
            .header(headers::REQUEST_ID, &dispatch.request_id)
            .header(headers::DEADLINE, dispatch.deadline.as_millis().to_string())
            .body(body)
            .send();
        let response = tokio::time::timeout(dispatch.deadline, sent)
            .await
            .map_err(|_| DispatchError::Deadline)?
            .map_err(classify)?;
        let echoed = response.headers().get(headers::REQUEST_ID);
        if echoed.is_none_or(|echoed| echoed.as_bytes() != dispatch.request_id.as_bytes()) {
            self.drop_connections();
            return Err(DispatchError::Unknown {
                reason: "the answer is for another request".to_owned(),
            });
        }
        if response.headers().contains_key(headers::SHED) {
            return Err(DispatchError::NotRun {
                reason: "shed by the back end".to_owned(),
            });
        }
        Ok(BackendAnswer {
            status: response.status(),
            headers: response.headers().clone(),
            length: response.content_length(),
            body: response
                .bytes_stream()
                .map_err(std::io::Error::other)
                .boxed(),
        })
    }

    async fn cancel(&self, address: &str, request_id: &str) -> bool {
        let url = format!("http://{address}/cancel/{request_id}");
        let sent = self.client().post(url).timeout(CANCEL_TIMEOUT).send();
        sent.await
            .is_ok_and(|response| response.status().is_success())
    }

    async fn probe(&self, address: &str) -> Option<ProbeAnswer> {
        let url = format!("http://{address}/probe");
        let sent = self.client().get(url).timeout(PROBE_TIMEOUT).send();
        sent.await.ok()?.json().await.ok()
    }
}

/// Maps a client error to a dispatch error. Only a failed connect proves that no byte of
/// the request was sent.
fn classify(error: reqwest::Error) -> DispatchError {
    if error.is_connect() {
        return DispatchError::NotRun {
            reason: "the back end accepts no connection".to_owned(),
        };
    }
    DispatchError::Unknown {
        reason: error.without_url().to_string(),
    }
}
