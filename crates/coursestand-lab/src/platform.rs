//! An emulated platform list, which shows changes with a delay.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use coursestand_kernel::http::{HttpError, HttpServer};
use coursestand_model::platform::{PlatformBackend, PlatformList};
use poem::web::{Data, Json};
use poem::{EndpointExt, Route, get, handler};

use crate::records::{Record, Records};

const STOP_GRACE: Duration = Duration::from_millis(200);

struct DelayedLists {
    lag: Duration,
    /// Lists and the time at which each was set, oldest first.
    lists: Mutex<VecDeque<(Instant, PlatformList)>>,
}

/// Serves the platform list with a fixed delay.
pub struct EmulatedPlatform {
    state: Arc<DelayedLists>,
    server: HttpServer,
}

impl EmulatedPlatform {
    /// Starts to serve on `address`, with the delay `lag`.
    pub async fn start(
        address: SocketAddr,
        lag: Duration,
        first: Vec<PlatformBackend>,
        records: Records,
    ) -> Result<EmulatedPlatform, HttpError> {
        let list = PlatformList { backends: first };
        let state = Arc::new(DelayedLists {
            lag,
            lists: Mutex::new(VecDeque::from([(Instant::now() - lag, list)])),
        });
        let routes = Route::new()
            .at("/v1/backends", get(get_backends))
            .at("/lab/records", get(get_records))
            .data(Arc::clone(&state))
            .data(records);
        let server = HttpServer::start(address, routes, STOP_GRACE).await?;
        Ok(EmulatedPlatform { state, server })
    }

    /// Sets the list, which is served once the delay has passed.
    pub fn update(&self, backends: Vec<PlatformBackend>) {
        let list = PlatformList { backends };
        self.state
            .lists
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push_back((Instant::now(), list));
    }

    /// Returns the URL of the list.
    pub fn url(&self) -> String {
        format!("http://{}/v1/backends", self.server.address())
    }
}

/// Returns the records of the back ends; for the testbed only.
#[handler]
fn get_records(records: Data<&Records>) -> Json<Vec<Record>> {
    Json(records.all())
}

#[handler]
fn get_backends(state: Data<&Arc<DelayedLists>>) -> Json<PlatformList> {
    let mut lists = state.lists.lock().unwrap_or_else(PoisonError::into_inner);
    let visible = |at: Instant| at.elapsed() >= state.lag;
    while lists.len() > 1 && lists.get(1).is_some_and(|(at, _)| visible(*at)) {
        lists.pop_front();
    }
    let current = lists.front().map(|(_, list)| list.clone());
    Json(current.unwrap_or_default())
}
