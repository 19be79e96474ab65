//! Validation of callers' requests.

use std::time::Duration;

use bytes::Bytes;
use coursestand_coordination::once::OnceKey;
use coursestand_model::bundle::Service;
use coursestand_model::{ServiceId, ZoneId, headers};
use coursestand_steering::steering::Rules;
use futures::{StreamExt, TryStreamExt};
use poem::http::{HeaderMap, HeaderName, Method, Uri, header};
use poem::{Body, Request};
use tokio::time::Instant;

use crate::answer::Reason;
use crate::backend_edge::{ByteStream, RequestBody};

/// Bodies up to this length are buffered, so that a request can be sent again; longer ones
/// are streamed.
pub const MAX_BUFFERED_BYTES: u64 = 64 * 1024;

/// Headers that concern one connection only, and are not forwarded.
const CONNECTION_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::HOST,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
];

/// A validated request.
pub struct Call {
    /// Requested service.
    pub service: ServiceId,
    /// Zone of the client.
    pub origin: ZoneId,
    /// HTTP method.
    pub method: Method,
    /// Path and query for the back end.
    pub path: String,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Body.
    pub body: RequestBody,
    /// Time until which the caller waits for the answer.
    pub deadline: Instant,
    /// Maximum wait for a slot.
    pub max_queue_time: Duration,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Key of a request that must not run more than once.
    pub key: Option<OnceKey>,
}

/// Limits of a request's wait for a slot.
#[derive(Clone, Copy, Debug)]
pub struct WaitLimits {
    /// Time until which the caller waits for the answer.
    pub deadline: Instant,
    /// Maximum wait for a slot.
    pub max_queue_time: Duration,
}

impl Call {
    /// Returns the limits of the request's wait for a slot.
    pub fn wait_limits(&self) -> WaitLimits {
        WaitLimits {
            deadline: self.deadline,
            max_queue_time: self.max_queue_time,
        }
    }
}

/// Removes headers that concern one connection only.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    for name in &CONNECTION_HEADERS {
        headers.remove(name);
    }
}

/// Validates a request against the rules in force. Clients of unknown origin count as
/// clients of `local_zone`.
pub async fn check(
    rules: &Rules,
    local_zone: &ZoneId,
    service: &str,
    request: &Request,
    body: Body,
) -> Result<Call, Reason> {
    let arrived = Instant::now();
    let id = ServiceId::from(service);
    let Some(service) = rules.service(&id) else {
        return Err(Reason::UnknownService(id.0));
    };
    let deadline = arrived + deadline_of(service, request.headers())?;
    let changes_state = !request.method().is_safe();
    let repeatable = service.repeatable || !changes_state;
    let key = if repeatable {
        None
    } else {
        Some(key_of(service, request.headers())?)
    };
    let origin = origin_of(rules, local_zone, request)?;
    let body = body_of(service, request, body).await?;
    let mut headers = request.headers().clone();
    strip_connection_headers(&mut headers);
    headers.remove(headers::DEADLINE);
    headers.remove(header::CONTENT_LENGTH);
    Ok(Call {
        service: id,
        origin,
        method: request.method().clone(),
        path: backend_path(request.original_uri()),
        headers,
        body,
        deadline,
        max_queue_time: Duration::from_millis(service.queue_ms),
        repeatable,
        key,
    })
}

/// Returns the path after `/v1/services/<service>`, with the query.
fn backend_path(uri: &Uri) -> String {
    let path = uri.path().splitn(5, '/').nth(4).unwrap_or_default();
    match uri.query() {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    }
}

fn deadline_of(service: &Service, headers: &HeaderMap) -> Result<Duration, Reason> {
    let max = Duration::from_millis(service.deadline_ms);
    let Some(text) = header_text(headers, headers::DEADLINE)? else {
        return Ok(max);
    };
    let requested = text
        .parse()
        .map(Duration::from_millis)
        .map_err(|_| bad_header(headers::DEADLINE, text, "whole milliseconds"))?;
    if requested.is_zero() {
        return Err(Reason::Deadline);
    }
    Ok(requested.min(max))
}

fn key_of(service: &Service, headers: &HeaderMap) -> Result<OnceKey, Reason> {
    const ALLOWED: &str = "<issued Unix milliseconds>-<unique text>, 128 bytes at most";
    let text = header_text(headers, headers::IDEMPOTENCY_KEY)?.unwrap_or_default();
    OnceKey::parse(&service.id, text)
        .ok_or_else(|| bad_header(headers::IDEMPOTENCY_KEY, "another value", ALLOWED))
}

fn origin_of(rules: &Rules, local_zone: &ZoneId, request: &Request) -> Result<ZoneId, Reason> {
    if let Some(client) = header_text(request.headers(), headers::CLIENT)? {
        let known = rules.origin_of(client);
        return Ok(known.unwrap_or_else(|| local_zone.clone()));
    }
    let address = request.remote_addr().as_socket_addr();
    let known = address.and_then(|address| rules.clients.zone_of(address.ip()));
    Ok(known.unwrap_or(local_zone).clone())
}

async fn body_of(service: &Service, request: &Request, body: Body) -> Result<RequestBody, Reason> {
    let length: Option<u64> = header_text(request.headers(), header::CONTENT_LENGTH.as_str())?
        .and_then(|text| text.parse().ok());
    let is_chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
    let limit = service.max_body_bytes;
    match length {
        None if !is_chunked => Ok(RequestBody::Buffered(Bytes::new())),
        Some(length) if length > limit => Err(Reason::BodyTooLong),
        Some(length) if length <= MAX_BUFFERED_BYTES => {
            let bytes = body
                .into_bytes()
                .await
                .map_err(|error| Reason::BadRequest(error.to_string()))?;
            Ok(RequestBody::Buffered(bytes))
        }
        _ => Ok(RequestBody::Streamed(with_length_limit(body, limit))),
    }
}

/// Streams a body, with an error once it is longer than `limit` bytes.
fn with_length_limit(body: Body, limit: u64) -> ByteStream {
    let mut forwarded = 0_u64;
    body.into_bytes_stream()
        .map_err(std::io::Error::other)
        .map(move |chunk| {
            let chunk = chunk?;
            forwarded += chunk.len() as u64;
            if forwarded > limit {
                return Err(std::io::Error::other("the body is too long"));
            }
            Ok(chunk)
        })
        .boxed()
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Reason> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    value
        .to_str()
        .map(Some)
        .map_err(|_| bad_header(name, "bytes that are not text", "text"))
}

fn bad_header(name: &str, found: &str, allowed: &str) -> Reason {
    Reason::BadRequest(format!(
        "header `{name}`: found {found}, allowed: {allowed}"
    ))
}
