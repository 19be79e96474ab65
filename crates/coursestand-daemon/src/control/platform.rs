//! The edge towards the platform list.

use std::time::Duration;

use coursestand_model::LoadError;
use coursestand_model::load::parse;
use coursestand_model::platform::PlatformList;
use snafu::{ResultExt, Snafu};

const TIMEOUT: Duration = Duration::from_secs(2);

/// Why the list could not be read.
#[derive(Debug, Snafu)]
pub enum PlatformError {
    /// The platform does not answer.
    #[snafu(display("the platform list can't be read: {source}"))]
    NoAnswer {
        /// Cause.
        source: reqwest::Error,
    },
    /// The answer is not a platform list.
    #[snafu(display("the platform list is refused: {source}"))]
    Refused {
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
    /// Reads the list at `url`.
    pub fn new(url: &str) -> Result<PlatformClient, PlatformError> {
        let client = reqwest::Client::builder()
            .timeout(TIMEOUT)
            .no_proxy()
            .build()
            .context(NoAnswerSnafu)?;
        Ok(PlatformClient {
            client,
            url: url.to_owned(),
        })
    }

    /// The list as it is now.
    pub async fn read(&self) -> Result<PlatformList, PlatformError> {
        let answer = self
            .client
            .get(&self.url)
            .send()
            .await
            .and_then(reqwest::Response::error_for_status)
            .context(NoAnswerSnafu)?;
        let text = answer.text().await.context(NoAnswerSnafu)?;
        parse(&self.url, &text).context(RefusedSnafu)
    }
}
