//! HTTP client for the platform list.

use std::time::Duration;

use coursestand_model::LoadError;
use coursestand_model::load::parse;
use coursestand_model::platform::PlatformList;
use snafu::{ResultExt, Snafu};

const TIMEOUT: Duration = Duration::from_secs(2);

/// Errors of reading the platform list.
#[derive(Debug, Snafu)]
pub enum PlatformError {
    /// The request failed.
    #[snafu(display("the platform list can't be read: {source}"))]
    Request {
        /// Cause.
        source: reqwest::Error,
    },
    /// The response is not a valid platform list.
    #[snafu(display("the platform list is invalid: {source}"))]
    Invalid {
        /// Cause.
        source: LoadError,
    },
}

/// Reads the platform list over HTTP.
pub struct PlatformClient {
    client: reqwest::Client,
    url: String,
}

impl PlatformClient {
    /// Returns a client for the list at `url`.
    pub fn new(url: &str) -> Result<PlatformClient, PlatformError> {
        let client = reqwest::Client::builder()
            .timeout(TIMEOUT)
            .no_proxy()
            .build()
            .context(RequestSnafu)?;
        Ok(PlatformClient {
            client,
            url: url.to_owned(),
        })
    }

    /// Fetches the list.
    pub async fn read(&self) -> Result<PlatformList, PlatformError> {
        let response = self
            .client
            .get(&self.url)
            .send()
            .await
            .and_then(reqwest::Response::error_for_status)
            .context(RequestSnafu)?;
        let text = response.text().await.context(RequestSnafu)?;
        parse(&self.url, &text).context(InvalidSnafu)
    }
}
