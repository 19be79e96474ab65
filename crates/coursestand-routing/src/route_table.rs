//! Finds the route of a request: the route of its host with the longest prefix that matches
//! the path.

use std::collections::HashMap;
use std::sync::Arc;

use coursestand_catalog::{Catalog, ItemVersion, Route};

/// A route with its name and version.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteEntry {
    /// Its name.
    pub name: String,
    /// Its version.
    pub version: ItemVersion,
    /// Its definition.
    pub route: Route,
}

/// All routes by host.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// The routes of a host, longest prefix first.
    by_host: HashMap<String, Vec<Arc<RouteEntry>>>,
}

impl RouteTable {
    /// Builds the table of the routes in `catalog`.
    pub fn new(catalog: &Catalog) -> RouteTable {
        let mut by_host: HashMap<String, Vec<Arc<RouteEntry>>> = HashMap::new();
        for (name, version, route) in catalog.routes() {
            let entry = RouteEntry {
                name: name.to_owned(),
                version,
                route: route.clone(),
            };
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().push(Arc::new(entry));
        }
        for routes in by_host.values_mut() {
            routes.sort_by(|left, right| {
                let by_length = right
                    .route
                    .path_prefix
                    .len()
                    .cmp(&left.route.path_prefix.len());
                // Of routes with the same host and prefix, the later version comes first,
                // then the lower name, so that every daemon chooses the same one.
                by_length
                    .then(right.version.cmp(&left.version))
                    .then(left.name.cmp(&right.name))
            });
        }
        RouteTable { by_host }
    }

    /// Returns the route of a request, if any. `host` may include a port.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteEntry>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.by_host.get(name) {
            Some(routes) => routes,
            None => self.by_host.get(&name.to_ascii_lowercase())?,
        };
        routes
            .iter()
            .find(|entry| path.starts_with(&entry.route.path_prefix))
    }
}
