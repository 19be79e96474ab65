//! The stand-in of the platform list: tells of machines, and lags.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use coursestand_kernel::http::{HttpError, HttpServer};
use coursestand_model::platform::{PlatformBackend, PlatformList};
use poem::web::{Data, Json};
use poem::{EndpointExt, Route, get, handler};

use crate::records::{Record, Records};

const GRACE: Duration = Duration::from_millis(200);

struct Lagging {
    lag: Duration,
    /// Lists and when each became true, oldest first.
    lists: Mutex<VecDeque<(Instant, PlatformList)>>,
}

/// Serves the platform list as it was some time ago.
pub struct EmulatedPlatform {
    state: Arc<Lagging>,
    server: HttpServer,
}

impl EmulatedPlatform {
    /// Serves on `address`, `lag` behind.
    pub async fn start(
        address: SocketAddr,
        lag: Duration,
        first: Vec<PlatformBackend>,
        records: Records,
    ) -> Result<EmulatedPlatform, HttpError> {
        let list = PlatformList { backends: first };
        let state = Arc::new(Lagging {
            lag,
            lists: Mutex::new(VecDeque::from([(Instant::now() - lag, list)])),
        });
        let routes = Route::new()
            .at("/v1/backends", get(get_backends))
            .at("/lab/records", get(get_records))
            .data(Arc::clone(&state))
            .data(records);
        let server = HttpServer::start(address, routes, GRACE).await?;
        Ok(EmulatedPlatform { state, server })
    }

    /// The list as it is from now on.
    pub fn update(&self, backends: Vec<PlatformBackend>) {
        let list = PlatformList { backends };
        self.state
            .lists
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push_back((Instant::now(), list));
    }

    /// URL of the list.
    pub fn url(&self) -> String {
        format!("http://{}/v1/backends", self.server.address())
    }
}

/// For the testbed only: what the back ends saw.
#[handler]
fn get_records(records: Data<&Records>) -> Json<Vec<Record>> {
    Json(records.all())
}

#[handler]
fn get_backends(state: Data<&Arc<Lagging>>) -> Json<PlatformList> {
    let mut lists = state.lists.lock().unwrap_or_else(PoisonError::into_inner);
    let visible = |at: Instant| at.elapsed() >= state.lag;
    while lists.len() > 1 && lists.get(1).is_some_and(|(at, _)| visible(*at)) {
        lists.pop_front();
    }
    let newest = lists.front().map(|(_, list)| list.clone());
    Json(newest.unwrap_or_default())
}
