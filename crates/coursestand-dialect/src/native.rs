//! The default dialect, documented in `docs/CALLERS.md`.

use std::net::SocketAddr;

use coursestand_catalog::item::ItemVersion;
use coursestand_catalog::{Catalog, Item, ItemKey, Patch};
use coursestand_discovery::InstanceUpdate;
use coursestand_model::{BackendId, Millis, RegionId, ZoneId};
use coursestand_proxy::HeaderNames;
use http::{Method, Uri};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize, Serializer};
use serde_json::json;

use crate::call::{Call, CallError, Dialect, Reply, query_number, query_value};

/// Query parameter with the revision for which an order is confirmed.
const REVISION: &str = "revision";

/// The default dialect: JSON bodies under `/v1`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Native;

/// The start time of an incarnation, a field at the top level of a body.
#[derive(Deserialize)]
struct IncarnationStart {
    born: Option<Millis>,
}

/// Returns the start time in a body, or `None` if the body is empty or has no start time.
fn parse_born(body: &[u8]) -> Result<Option<Millis>, CallError> {
    if body.is_empty() {
        return Ok(None);
    }
    Ok(parse_json::<IncarnationStart>(body)?.born)
}

/// The reply to a read of the catalog. It is written item by item, without a JSON tree.
#[derive(Serialize)]
struct CatalogBody<'a> {
    items: LiveItems<'a>,
}

struct LiveItems<'a>(&'a Catalog);

#[derive(Serialize)]
struct LiveItem<'a> {
    item: &'a Item,
    key: &'a ItemKey,
    version: ItemVersion,
}

impl Serialize for LiveItems<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let items = self.0.live_items();
        serializer.collect_seq(items.map(|(key, version, item)| LiveItem { item, key, version }))
    }
}

fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, CallError> {
    serde_json::from_slice(body).map_err(|error| CallError::body("body", error))
}

impl Dialect for Native {
    fn header_names(&self) -> HeaderNames {
        HeaderNames::default()
    }

    fn parse(&self, method: &Method, uri: &Uri, body: &[u8]) -> Result<Call, CallError> {
        let path: Vec<&str> = uri.path().trim_matches('/').split('/').collect();
        let call = match (method.as_str(), path.as_slice()) {
            ("POST", ["v1", "catalog"]) => Call::PatchCatalog(parse_json::<Patch>(body)?),
            ("GET", ["v1", "catalog"]) => Call::ReadCatalog,
            ("POST", ["v1", "backends", _]) => {
                let mut update = parse_json::<InstanceUpdate>(body)?;
                update.instance.born = parse_json::<IncarnationStart>(body)?.born;
                Call::Heartbeat(update)
            }
            ("DELETE", ["v1", "backends", id]) => Call::Deregister {
                id: BackendId::from(*id),
                born: parse_born(body)?,
            },
            ("PUT" | "DELETE", ["v1", "closed-zones", zone]) => Call::Evacuate {
                zone: ZoneId::from(*zone),
                is_active: method == Method::PUT,
                revision: query_number(uri, REVISION)?,
            },
            ("GET", ["v1", "entry-daemons"]) => Call::Lookup {
                region: RegionId(query_value(uri, "region")),
                zone: ZoneId(query_value(uri, "zone")),
            },
            ("GET", ["v1", "ready"]) => Call::Ready,
            _ => {
                return Err(CallError::Unknown {
                    method: method.to_string(),
                    path: uri.path().to_owned(),
                });
            }
        };
        Ok(call)
    }

    /// The redirected call keeps its method, which says whether the zone is evacuated.
    fn evacuation_path(&self, zone: &ZoneId, _is_active: bool, revision: u64) -> String {
        format!("/v1/closed-zones/{zone}?{REVISION}={revision}")
    }

    fn catalog(&self, catalog: &Catalog) -> Result<Reply, serde_json::Error> {
        Reply::stream_json(&CatalogBody {
            items: LiveItems(catalog),
        })
    }

    fn heartbeat_accepted(&self, home: Option<SocketAddr>) -> Reply {
        Reply::json(&json!({ "home": home }))
    }

    fn lookup(&self, addresses: &[SocketAddr], ttl: Millis) -> Reply {
        Reply::json(&json!({ "addresses": addresses, "ttl_ms": ttl }))
    }
}
